// Package leasemodel is a model checker for the rules that prevent concurrent
// runs of one leased task (docs/design.md, sections 13.2 and 13.3). It searches
// all reachable states of a small model breadth first. Only its own tests use
// it; docs/decisions/run-overlap.md has the argument and the results.
//
// The model has one task, one caller, two entries, and two agents with one
// worker each and room for one run. A run never finishes by itself, which is the
// worst case. Steps of the processes take no time and may happen in any order.
// Only the step "time goes on" lets one tick pass. It is possible only when no
// working process has an urgent step left: noticing a lapse that is H/2 old,
// ordering a stop, delivering a cancellation, handling the end of a connection.
// Messages are lost while a link is down. Delayed messages may arrive at any
// later time and in any order. Every fault counts against Config.Faults; the end
// of a fault does not.
//
// A worker's process may end at any time and start again under its identifier, or
// stay down. The next life has seen no fencing token, knows of no run, and its
// clock starts anew: a start order or renewal of an agent that does not know of
// the restart gives a run there the longest lease that a worker grants. Late start
// orders may be executed by a later life. Unless Config.VoidRevive is set, those
// that were void in the life to which they were sent are not. An agent knows of a
// life only what answers tell; the lists it gets while the worker answers renewals
// state the birth. With the rule AnnouncementHint an announcement changes nothing,
// because the agent then asks the worker, which it does at every tick anyway.
// An agent that knows that a run may be at the next life lists its runs at once,
// which is an urgent step. A pause stands for a suspension as well: the rule
// CountsSuspension distinguishes them.
//
// The checked property has two parts. Runs are never active at both workers, or
// twice at one; a run that is being stopped is still active. And no worker
// starts a run on the order of an agent process after it has received an order
// of a later process.
//
// # Scaling
//
// Times are whole ticks. Scaled maps the settings to the smallest numbers that
// keep their order: S 50 ms and H/2 75 ms are 1; order validity 300 ms is 2; ping
// with its timeout, 400 ms, and 1.02 W, 510 ms, are 3; L 600 ms is 4; the longest
// lease of a worker, 1,000 ms, which is below L + 1.02 W, is 7. No two settings
// change their order; two pairs become equal. Reconcile and R are the scaled sum
// L + H/2 + 1.02 W + 2 S, which is their lower limit in the design. They so remain
// the longest settings, and the rules that the sum relies on are
// still needed. The search shows that the sum has the right terms; it cannot
// show a difference of less than a tick, such as the 15 ms by which R exceeds
// the sum.
//
// A wait of n ticks is over when n ticks have passed, and a run whose time is
// over ends before anything else happens in that tick. "At least" in ticks
// therefore stands for "longer than" in the design. Heartbeats and renewals are
// exchanged at every tick: a longer interval only makes them older, which ends
// runs earlier. A session without a task may be dormant when one arrives: it was
// not renewed for L, and the task waits for a renewal. After a pause an entry settles, which means that it starts
// nothing, for one tick, the shortest time.
package leasemodel
