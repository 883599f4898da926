package entry

import (
	"context"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// reasonDurableOff refuses durable jobs at an entry whose settings allow none.
const reasonDurableOff wire.Reason = "durable_jobs_disabled"

// noRecords is the recordKeeper of an entry whose settings allow no durable
// jobs. It makes no calls of the store. The settings agree at all entries, so
// there is no durable job anywhere.
type noRecords struct{}

func (noRecords) Run(ctx context.Context) { <-ctx.Done() }
func (noRecords) Valid(time.Time) bool    { return false }
func (noRecords) Create(_ durable.Record, done func(f durable.LookupResult, err error)) {
	done(durable.LookupResult{}, durable.ErrNotStored)
}
func (noRecords) Update(durable.Record, time.Duration, func())                       {}
func (noRecords) Finish(durable.EndRecord, func())                                   {}
func (noRecords) GiveUp(string)                                                      {}
func (noRecords) Lookup(context.Context, string) (f durable.LookupResult, err error) { return f, nil }
func (noRecords) PeerLost(string)                                                    {}
func (noRecords) HandOver(context.Context) error                                     { return nil }
func (noRecords) Status() (s durable.Status)                                         { return s }
func (noRecords) Workload(r *durable.Record) string                                  { return r.WorkloadHash() }
func (noRecords) Presences(_ context.Context, ids []string) (map[string]durable.Presence, error) {
	out := make(map[string]durable.Presence, len(ids))
	for _, id := range ids {
		out[id] = durable.JobAbsent
	}
	return out, nil
}

// durableOff reports whether the settings allow no durable jobs.
func (e *Entry) durableOff() bool { return e.settings.Limits.MaxDurableJobs == 0 }

func refuseDurable() error {
	return notRun(http.StatusServiceUnavailable, reasonDurableOff, "durable jobs are not enabled (limits.max_durable_jobs)")
}
