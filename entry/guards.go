package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/ingest"
	"chicorytray.example/chicorytray/internal/clientlimit"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// reasonShortOfMemory refuses a request for which the process has no memory.
const reasonShortOfMemory wire.Reason = "short_of_memory"

// guards hold what the limits on clients need. Without limits, all but waiting are
// nil.
type guards struct {
	budget         *ingest.Budget
	callers, admin *clientlimit.Guard
	peers          *ingest.Group
	waiting        *waitingBytes
}

func newGuards(l settings.Limits, scope tally.Scope) guards {
	g := guards{waiting: &waitingBytes{
		limit: l.WaitingLimit(), gauge: scope.Gauge("waiting_bytes"), refused: scope.Counter("waiting_refused"),
	}}
	if !l.Limited() {
		return g
	}
	g.budget = ingest.NewBudget(l.ReadLimit())
	perGroup := ingest.GroupLimits{Bytes: l.ReadLimit() / 2, Connections: l.AdminConnectionLimit()}
	g.admin = clientlimit.New(g.budget.Group(perGroup), l.MaxHeaderLines)
	g.peers = g.budget.Group(ingest.GroupLimits{Connections: l.PeerConnectionLimit()})
	perGroup.Connections, perGroup.ConnectionsPerAddress = l.ConnectionLimit(), l.MaxConnectionsPerAddress
	g.callers = clientlimit.New(g.budget.Group(perGroup), l.MaxHeaderLines).WithBoundedDecoding()
	return g
}

// AdminGuard returns the limits of the operators' address, which also apply to other
// addresses of the process that only the platform uses; nil without limits.
func (e *Entry) AdminGuard() *clientlimit.Guard { return e.guards.admin }

// bodyError returns the problem of a body that could not be read.
func bodyError(err error) error {
	if errors.Is(err, ingest.ErrShort) {
		return retryLater(time.Second, reasonShortOfMemory, "%v", err)
	}
	return notRun(http.StatusBadRequest, reasonInvalid, "the body could not be read completely: %v", err)
}
