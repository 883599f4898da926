package dev

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chicorytray.example/chicorytray/settings"
)

// Layout is the shape of a deployment.
type Layout struct {
	Name        string
	Region      string
	Service     string
	DataCentres []string
	// InterDataCentreDelay is the one-way delay between data centres,
	// ClientDelay the one-way delay between callers and entries.
	InterDataCentreDelay, ClientDelay time.Duration
	Workers                           int
	WorkersPerRack                    int
	Slots                             int   // of one worker
	Connections                       int   // from one agent to its upstream
	MilliCPU                          int64 // of one worker, in thousandths of a core
	MemoryMB                          int64 // of one worker, in megabytes
	Entries                           int
	Placement                         string // placement policy of the entries
	Names                             Names
}

// Names are the names of the accounts and templates of a deployment.
type Names struct {
	// PublicAccount submits urgent jobs and requests, OfficeAccount jobs that
	// can wait.
	PublicAccount, OfficeAccount string
	// Interactive and Request belong to PublicAccount, Bulk and Unrunnable to
	// OfficeAccount. No worker has what Unrunnable needs.
	Interactive, Request, Bulk, Unrunnable string
	// Tasks are the names of the tasks in each job template.
	Tasks []string
}

// Worker is one worker of a layout. An agent and an upstream run on it.
type Worker struct {
	ID, DataCentre, Rack string
}

// Layouts returns the two deployments that section 1.1 of docs/design.md
// describes.
func Layouts() []Layout {
	return []Layout{recife(), tainan()}
}

// LayoutNamed returns the deployment with the name, or an error that lists the
// accepted names.
func LayoutNamed(name string) (Layout, error) {
	var names []string
	for _, l := range Layouts() {
		if l.Name == name {
			return l, nil
		}
		names = append(names, l.Name)
	}
	return Layout{}, fmt.Errorf("deployment %q is not known; accepted: %s", name, strings.Join(names, ", "))
}

func recife() Layout {
	return Layout{
		Name: "recife", Region: "ne-br", Service: "revisa-portal",
		DataCentres:          []string{"ne-br-rec", "ne-br-for", "ne-br-ssa"},
		InterDataCentreDelay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Workers: 11, WorkersPerRack: 3, Slots: 8, Connections: 64, MilliCPU: 64_000, MemoryMB: 256 << 10,
		Entries: 2, Placement: settings.PlacementIdleFirst,
		Names: Names{
			PublicAccount: "candidates", OfficeAccount: "committee",
			Interactive: "review-dossier", Request: "portal-page", Bulk: "round-evaluation", Unrunnable: "plagiarism-model",
			Tasks: []string{"render-section", "check-citations", "sign-review"},
		},
	}
}

func tainan() Layout {
	return Layout{
		Name: "tainan", Region: "tainan", Service: "engrave-desk",
		DataCentres:          []string{"anping", "chihkan", "annan", "rende"},
		InterDataCentreDelay: 500 * time.Microsecond, ClientDelay: time.Millisecond,
		Workers: 11, WorkersPerRack: 3, Slots: 8, Connections: 64, MilliCPU: 32_000, MemoryMB: 128 << 10,
		Entries: 2, Placement: settings.PlacementIdleFirst,
		Names: Names{
			PublicAccount: "engravers", OfficeAccount: "registry",
			Interactive: "inscription-proof", Request: "proof-image", Bulk: "lettering-check", Unrunnable: "relief-model",
			Tasks: []string{"render-plate", "check-lettering", "stamp-proof"},
		},
	}
}

// WorkerList returns the workers, spread evenly over the data centres and
// numbered from w01, with WorkersPerRack to a rack.
func (l Layout) WorkerList() []Worker {
	out := make([]Worker, l.Workers)
	for i := range out {
		dc := l.DataCentres[i%len(l.DataCentres)]
		rack := i / len(l.DataCentres) / l.WorkersPerRack
		out[i] = Worker{ID: fmt.Sprintf("w%02d", i+1), DataCentre: dc, Rack: fmt.Sprintf("%s-r%d", dc, rack+1)}
	}
	return out
}

// EntryID returns the ID of the entry with the index, and its data centre.
func (l Layout) EntryID(index int) (id, dataCentre string) {
	return fmt.Sprintf("entry-%d", index+1), l.DataCentres[index%len(l.DataCentres)]
}

// EntryIDs returns the IDs of all entries.
func (l Layout) EntryIDs() []string {
	ids := make([]string, l.Entries)
	for i := range ids {
		ids[i], _ = l.EntryID(i)
	}
	return ids
}

// HasWorker reports whether the layout has a worker with the ID.
func (l Layout) HasWorker(id string) bool {
	return slices.ContainsFunc(l.WorkerList(), func(w Worker) bool { return w.ID == id })
}
