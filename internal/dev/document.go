package dev

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"chicorytray.example/chicorytray/config"
)

// Values of the templates in the initial configuration.
const (
	interactiveDeadlineMS = 10_000
	bulkDeadlineMS        = 60_000
	// expectedMS is the expected task duration that all templates declare.
	// Tasks of the load tool take from 50 ms to 6 s, and its jobs declare
	// durations that are wrong by up to a factor of 10.
	expectedMS = 300
	// unrunnableAccelerators exceeds the accelerators of every worker.
	unrunnableAccelerators = 64
)

// Token returns the bearer token of an account in a development deployment.
func Token(account string) string { return account + "-token" }

// Document returns the initial configuration of a deployment.
func (l Layout) Document() *config.Document {
	d := &config.Document{Generation: 1, WriteID: "dev"}
	for _, name := range l.DataCentres {
		delays := map[string]float64{}
		for _, other := range l.DataCentres {
			if other != name {
				delays[other] = float64(l.InterDataCentreDelay) / float64(time.Millisecond)
			}
		}
		d.DataCentres = append(d.DataCentres, config.DataCentre{
			Name: name, Region: l.Region, InService: true, DelaysMS: delays,
		})
	}
	for _, account := range []string{l.Names.PublicAccount, l.Names.OfficeAccount} {
		sum := sha256.Sum256([]byte(Token(account)))
		d.Accounts = append(d.Accounts, config.Account{Name: account, TokenSHA256: []string{hex.EncodeToString(sum[:])}})
	}
	d.Templates = []config.Template{
		{Name: l.Names.Interactive, Account: l.Names.PublicAccount, Kind: config.KindJob, Tasks: l.tasks(),
			Urgency: 0, DeadlineMS: interactiveDeadlineMS, ExpectedMS: expectedMS},
		{Name: l.Names.Request, Account: l.Names.PublicAccount, Kind: config.KindRequest,
			Urgency: 0, Idempotent: true, DeadlineMS: interactiveDeadlineMS, ExpectedMS: expectedMS},
		{Name: l.Names.Bulk, Account: l.Names.OfficeAccount, Kind: config.KindJob, Tasks: l.tasks(),
			Urgency: 1, DeadlineMS: bulkDeadlineMS, ExpectedMS: expectedMS},
		{Name: l.Names.Unrunnable, Account: l.Names.OfficeAccount, Kind: config.KindJob, Tasks: l.tasks(),
			Urgency: 1, DeadlineMS: bulkDeadlineMS, ExpectedMS: expectedMS,
			Needs: config.Needs{Accelerators: unrunnableAccelerators}},
	}
	return d
}

func (l Layout) tasks() []config.Task {
	tasks := make([]config.Task, len(l.Names.Tasks))
	for i, name := range l.Names.Tasks {
		tasks[i] = config.Task{
			Name: name, Method: "POST", Path: "/" + l.Service + "/" + name,
			Header: map[string]string{"Content-Type": "application/json"}, Body: "{}",
		}
	}
	return tasks
}
