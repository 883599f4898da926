// Package leasemodel checks the rules that keep two runs of one leased task from
// overlapping (docs/design.md, sections 13.2 and 13.3) by searching all
// reachable states of a small model breadth first. It is used by its own tests
// only; docs/decisions/run-overlap.md holds the argument and the results.
//
// The model has one task, one caller, two entries, and two agents with one
// worker each and room for one run. A run never finishes by itself, which is the
// worst case. Steps of the processes take no time and may happen in any order;
// only a step "time goes on" lets one tick pass, and it has to wait for what a
// working process does at once: noticing a lapse that is H/2 old, ordering a
// stop, delivering a cancellation, handling the end of a connection. Messages
// are lost when a link is down, and delayed messages may arrive at any later
// time and in any order. Every fault costs one of Config.Faults, its end costs
// nothing.
//
// The checked property is that runs are never active at both workers, or twice
// at one, and that no worker starts a run by order of an agent process after it
// has heard of a later one. A run that is being stopped is active.
//
// # Scaling
//
// Times are whole ticks. Scaled maps the settings to the smallest numbers in
// their order: S 50 ms and H/2 75 ms are 1; order validity 300 ms is 2; ping
// with its timeout, 400 ms, and 1.02 W, 510 ms, are 3; L 600 ms is 4. No order is
// reversed; two pairs become equal. Reconcile and R are the scaled sum
// L + H/2 + 1.02 W + 2 S, their lower limit in the design, so that they keep
// their place above all others and a rule that the sum relies on is still
// needed. The search shows that the sum has the right terms; it cannot show a
// difference of less than a tick, such as the 15 ms by which R exceeds the sum.
//
// A wait of n ticks is over when n ticks have passed, and a run whose time is
// over ends before anything else happens in that tick; "at least" in ticks
// therefore stands for "longer than" in the design. Heartbeats and renewals are
// exchanged at every tick: a longer interval only makes them older, which ends
// runs earlier. An entry settles for one tick, the shortest time.
package leasemodel
