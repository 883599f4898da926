package entry

import (
	"context"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// reasonDurableDisabled is the reason of a refusal because
// limits.max_durable_jobs is 0.
const reasonDurableDisabled wire.Reason = "durable_jobs_disabled"

// disabledKeeper is the recordKeeper of an entry whose settings allow no durable
// jobs. It does not call the store. All entries must have the same setting, so
// it reports that no durable job exists.
type disabledKeeper struct{}

func (disabledKeeper) Run(ctx context.Context) { <-ctx.Done() }
func (disabledKeeper) Valid(time.Time) bool    { return false }
func (disabledKeeper) Create(_ durable.Record, done func(f durable.LookupResult, err error)) {
	done(durable.LookupResult{}, durable.ErrNotStored)
}
func (disabledKeeper) Update(durable.Record, time.Duration, func()) {}
func (disabledKeeper) Finish(durable.EndRecord, func())             {}
func (disabledKeeper) GiveUp(string)                                {}
func (disabledKeeper) Lookup(context.Context, string) (f durable.LookupResult, err error) {
	return f, nil
}
func (disabledKeeper) PeerLost(string)                   {}
func (disabledKeeper) HandOver(context.Context) error    { return nil }
func (disabledKeeper) Status() (s durable.Status)        { return s }
func (disabledKeeper) Workload(r *durable.Record) string { return r.WorkloadHash() }
func (disabledKeeper) Presences(_ context.Context, ids []string) (map[string]durable.Presence, error) {
	out := make(map[string]durable.Presence, len(ids))
	for _, id := range ids {
		out[id] = durable.JobAbsent
	}
	return out, nil
}

// durableDisabled reports whether the settings allow no durable jobs.
func (e *Entry) durableDisabled() bool { return e.settings.Limits.MaxDurableJobs == 0 }

func durableDisabledError() error {
	return notRun(http.StatusServiceUnavailable, reasonDurableDisabled, "durable jobs are not enabled (limits.max_durable_jobs)")
}
