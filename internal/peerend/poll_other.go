//go:build !linux

package peerend

// canPoll is false: ends are seen without a read on Linux only.
const canPoll = false

func pollEnded(uintptr) bool { return false }
