package peerend

import "golang.org/x/sys/unix"

const canPoll = true

// pollEnded reports whether the kernel has received the end of the connection.
func pollEnded(fd uintptr) bool {
	const end = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(p, 0)
		if err == unix.EINTR {
			continue
		}
		return err == nil && n > 0 && p[0].Revents&end != 0
	}
}
