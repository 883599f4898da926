package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// DefaultDistance is the one-way delay assumed between data centres for which the
// document gives none. It exceeds every delay that a document may give
// (MaxDelayMS), so that such data centres are tried last.
const DefaultDistance = time.Minute

// View is an index of a document for lookups. It is safe for concurrent use. The
// document must not be changed while the view is in use.
type View struct {
	document     *Document
	dataCentres  map[string]*DataCentre
	accounts     map[string]*Account
	byToken      map[string]*Account
	templates    map[string]*Template
	tasks        map[string]map[string]*Task
	routes       map[string][]pathRoute // by host in lower case, longest prefix first
	outOfService []string
	inService    []string
}

// NewView builds the index of a valid document.
func NewView(d *Document) *View {
	v := &View{
		document:    d,
		dataCentres: make(map[string]*DataCentre, len(d.DataCentres)),
		accounts:    make(map[string]*Account, len(d.Accounts)),
		byToken:     make(map[string]*Account, len(d.Accounts)),
		templates:   make(map[string]*Template, len(d.Templates)),
		tasks:       make(map[string]map[string]*Task, len(d.Templates)),
		routes:      make(map[string][]pathRoute, len(d.Routes)),
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		v.routes[host] = append(v.routes[host], pathRoute{r, plainPath(r.Prefix)})
	}
	for _, list := range v.routes {
		slices.SortStableFunc(list, func(a, b pathRoute) int { return len(b.prefix) - len(a.prefix) })
	}
	for i := range d.DataCentres {
		dc := &d.DataCentres[i]
		v.dataCentres[dc.Name] = dc
		if dc.InService {
			v.inService = append(v.inService, dc.Name)
		} else {
			v.outOfService = append(v.outOfService, dc.Name)
		}
	}
	slices.Sort(v.inService)
	slices.Sort(v.outOfService)
	for i := range d.Accounts {
		a := &d.Accounts[i]
		v.accounts[a.Name] = a
		for _, hash := range a.TokenSHA256 {
			v.byToken[hash] = a
		}
	}
	resolve := regionResolver(d)
	for i := range d.Templates {
		t := resolve(&d.Templates[i])
		v.templates[t.Name] = t
		tasks := make(map[string]*Task, len(t.Tasks))
		for j := range t.Tasks {
			tasks[t.Tasks[j].Name] = &t.Tasks[j]
		}
		v.tasks[t.Name] = tasks
	}
	return v
}

// HashToken returns the hash of a bearer token as Account.TokenSHA256 lists it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Document returns the indexed document, which must not be changed.
func (v *View) Document() *Document { return v.document }

// Generation returns the document's generation.
func (v *View) Generation() uint64 { return v.document.Generation }

// Account returns the account that lists the token hash; see HashToken.
func (v *View) Account(tokenHash string) (*Account, bool) {
	a, ok := v.byToken[tokenHash]
	return a, ok
}

// AccountNamed returns the account of that name.
func (v *View) AccountNamed(name string) (*Account, bool) {
	a, ok := v.accounts[name]
	return a, ok
}

// Template returns the template of that name, with its regions resolved to
// DataCentres. Names are unique over all accounts; the caller checks the template's
// account.
func (v *View) Template(name string) (*Template, bool) {
	t, ok := v.templates[name]
	return t, ok
}

// Task returns a task definition of a template.
func (v *View) Task(template, name string) (*Task, bool) {
	t, ok := v.tasks[template][name]
	return t, ok
}

// Route returns, of the routes of the host whose prefix matches the path, the one
// with the longest prefix, and the decoded rest of the path. The host has no port;
// upper and lower case are the same. The path is as it was sent, with its percent
// encoding. Whether the path or the prefix encodes a character makes no difference,
// except for "/" and "%".
func (v *View) Route(host, path string) (r Route, rest string, ok bool) {
	path = plainPath(path)
	for _, r := range v.routes[strings.ToLower(host)] {
		if rest, ok = strings.CutPrefix(path, r.prefix); ok {
			return r.Route, rest, true
		}
	}
	return Route{}, "", false
}

// DataCentre returns the data centre of that name.
func (v *View) DataCentre(name string) (*DataCentre, bool) {
	dc, ok := v.dataCentres[name]
	return dc, ok
}

// InService reports whether tasks may start in the data centre. It is false for a
// data centre that the document does not list.
func (v *View) InService(name string) bool {
	dc, ok := v.dataCentres[name]
	return ok && dc.InService
}

// OutOfService returns the names of the data centres out of service, sorted.
func (v *View) OutOfService() []string { return slices.Clone(v.outOfService) }

// AgentConfig returns the part of the document that agents need.
func (v *View) AgentConfig() wire.AgentConfig {
	return wire.AgentConfig{Generation: v.Generation(), InService: slices.Clone(v.inService)}
}

// Distance returns the one-way delay between two data centres: 0 if they are the
// same, the delay of the opposite direction if the document gives only that, and
// DefaultDistance if it gives none.
func (v *View) Distance(from, to string) time.Duration {
	if from == to {
		return 0
	}
	for _, pair := range [2][2]string{{from, to}, {to, from}} {
		dc, ok := v.dataCentres[pair[0]]
		if !ok {
			continue
		}
		if ms, ok := dc.DelaysMS[pair[1]]; ok {
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return DefaultDistance
}

// TaskLimitPerJob returns the largest number of tasks of a job; the default if
// MaxTasksPerJob is 0.
func (l Limits) TaskLimitPerJob() int {
	if l.MaxTasksPerJob == 0 {
		return DefaultMaxTasksPerJob
	}
	return l.MaxTasksPerJob
}

// QueuedTaskLimit returns the largest number of tasks queued at one entry; the
// default if MaxQueuedTasks is 0.
func (l Limits) QueuedTaskLimit() int {
	if l.MaxQueuedTasks == 0 {
		return DefaultMaxQueuedTasks
	}
	return l.MaxQueuedTasks
}
