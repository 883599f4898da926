package agent

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"chicorytray.example/chicorytray/lease"
)

// OrderError adds to the error of a call to a worker over TCP what it says about the
// order: lease.ErrWorkerDown if the connection was refused, and
// lease.ErrConnectionBroken if it was closed from the worker's side while the order
// waited. A connection that was closed before the order was sent says nothing:
// servers close idle ones.
func OrderError(err error) error {
	is := func(targets ...error) bool {
		for _, t := range targets {
			if errors.Is(err, t) {
				return true
			}
		}
		return false
	}
	switch {
	case is(syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", lease.ErrWorkerDown, err)
	case is(io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE):
		return fmt.Errorf("%w: %w", lease.ErrConnectionBroken, err)
	}
	return err
}
