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

// nopManager is the recordManager of an entry whose settings allow no durable
// jobs. It does not call the store. All entries must have the same setting, so
// it reports that no durable job exists.
type nopManager struct{}

func (nopManager) Run(ctx context.Context) { <-ctx.Done() }
func (nopManager) Valid(time.Time) bool    { return false }
func (nopManager) Create(_ durable.Record, done func(f durable.LookupResult, err error)) {
	done(durable.LookupResult{}, durable.ErrNotStored)
}
func (nopManager) Update(durable.Record, time.Duration, func())                       {}
func (nopManager) Finish(durable.EndRecord, func())                                   {}
func (nopManager) GiveUp(string)                                                      {}
func (nopManager) Lookup(context.Context, string) (f durable.LookupResult, err error) { return f, nil }
func (nopManager) PeerLost(string)                                                    {}
func (nopManager) HandOver(context.Context) error                                     { return nil }
func (nopManager) Status() (s durable.Status)                                         { return s }
func (nopManager) Workload(r *durable.Record) string                                  { return r.WorkloadHash() }
func (nopManager) Presences(_ context.Context, ids []string) (map[string]durable.Presence, error) {
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
