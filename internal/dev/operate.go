package dev

import (
	"context"
	"errors"
	"fmt"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/upstreamstub"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

// conflictRetries bounds the attempts of SetInService when other writers
// change the configuration at the same time.
const conflictRetries = 5

// SetInService takes a data centre out of service or brings it back. It changes
// the configuration by compare-and-swap, as an operator does, and returns when
// the store has accepted the change. It notifies no process, so that each has to
// see the change through its own watch.
func (d *Deployment) SetInService(ctx context.Context, dataCentre string, inService bool) error {
	client, err := d.newStoreClient(d.callerProcess, settings.Store{URL: d.StoreURL(), MaxCallsPerSecond: settings.DefaultStoreCallsPerSecond},
		settings.DefaultTiming())
	if err != nil {
		return err
	}
	for range conflictRetries {
		err = changeInService(ctx, client, dataCentre, inService)
		if !errors.Is(err, store.ErrConflict) {
			break
		}
	}
	return err
}

func changeInService(ctx context.Context, s store.Store, dataCentre string, inService bool) error {
	kv, err := s.Get(ctx, config.Key)
	if err != nil {
		return err
	}
	current, err := config.Parse(kv.Value)
	if err != nil {
		return err
	}
	next, err := current.Successor(current)
	if err != nil {
		return err
	}
	next.DataCentres = append([]config.DataCentre(nil), current.DataCentres...)
	found := false
	for i := range next.DataCentres {
		if next.DataCentres[i].Name == dataCentre {
			next.DataCentres[i].InService, found = inService, true
		}
	}
	if !found {
		return fmt.Errorf("data centre %q is not in the configuration", dataCentre)
	}
	data, err := next.EncodeValue()
	if err != nil {
		return err
	}
	_, err = s.CompareAndSwap(ctx, config.Key, kv.Revision, data, 0)
	return err
}

// SetStoreDown starts or ends an outage of the store.
func (d *Deployment) SetStoreDown(down bool) { d.store.SetDown(down) }

// KillEntry ends an entry without a planned stop.
func (d *Deployment) KillEntry(id string) error {
	d.mu.Lock()
	var found *daemon
	for _, e := range d.entries {
		if e.endpoint.ID == id {
			found = e
		}
	}
	d.mu.Unlock()
	if found == nil {
		return fmt.Errorf("deployment has no entry %q", id)
	}
	found.kill()
	return nil
}

// KillWorker ends the agent and the upstream of a worker without a planned
// stop.
func (d *Deployment) KillWorker(id string) error {
	d.mu.Lock()
	a, stub := d.agents[id], d.upstreams[id]
	d.mu.Unlock()
	if a == nil || stub == nil {
		return fmt.Errorf("deployment has no worker %q", id)
	}
	err := stub.Close()
	a.kill()
	return err
}

// SetWorkerFaults replaces the faults of a worker's upstream.
func (d *Deployment) SetWorkerFaults(id string, f upstreamstub.Faults) error {
	d.mu.Lock()
	stub := d.upstreams[id]
	d.mu.Unlock()
	if stub == nil {
		return fmt.Errorf("deployment has no worker %q", id)
	}
	stub.SetFaults(f)
	return nil
}
