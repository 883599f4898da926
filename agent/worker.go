package agent

import (
	"context"

	"chicorytray.example/chicorytray/lease"
)

// Worker is one life of the machine beside the agent, which runs leased tasks.
// The calls are safe for concurrent use. An error other than lease.ErrDown
// means that the order may have been carried out or may be carried out later.
type Worker interface {
	Start(ctx context.Context, o lease.StartOrder) (lease.Answer, error)
	Stop(ctx context.Context, o lease.StopOrder) (lease.Answer, error)
	Renew(ctx context.Context, o lease.RenewOrder) (lease.List, error)
	// Close ends the connections to this life.
	Close()
}

// WorkerAnnounced takes over what the worker beside the agent says of itself.
// It returns when the agent acts on it: after the announcement of a draining
// worker no leased task starts here. Announcements of an older life, or with an
// older sequence of the same life, are ignored.
func (a *Agent) WorkerAnnounced(n lease.Announcement) { _ = n }

// WorkerLeft handles the announced end of a worker.
func (a *Agent) WorkerLeft(id string) { _ = id }
