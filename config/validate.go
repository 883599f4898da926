package config

import (
	"fmt"
	"math"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"chicorytray.example/chicorytray/internal/strictjson"
)

// Bounds of the document's values.
const (
	// MaxUrgency is the least urgent level. The number of levels is small
	// because the queue keeps a separate order for each.
	MaxUrgency = 9
	// MaxDeadlineMS is one hour, in milliseconds. The setting
	// limits.max_deadline of an entry may be lower.
	MaxDeadlineMS = 3_600_000
	// MaxDelayMS is the largest delay between data centres, in milliseconds.
	MaxDelayMS = 10_000
	// MaxValue is the largest relative value of a job.
	MaxValue = 1e6
	// MaxTasksPerJobLimit is the largest value of Limits.MaxTasksPerJob.
	MaxTasksPerJobLimit = 10_000
	// MaxQueuedTasksLimit is the largest value of Limits.MaxQueuedTasks. An
	// entry needs about 1 KB of memory for each queued task.
	MaxQueuedTasksLimit = 10_000_000
	// maxNameBytes is the length of the longest label of a host name, because
	// names may be used as such labels.
	maxNameBytes = 63
	maxPathBytes = 8192
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	headerPattern = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
	methods       = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}
	// reservedHeaders are the headers, in lower case, that the agent sets or
	// that belong to one connection.
	reservedHeaders = []string{"connection", "content-length", "host", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"}
)

// reservedHeaderPrefix is the start, in lower case, of the names of the headers
// that agents add to requests.
const reservedHeaderPrefix = "chicorytray-"

// validator collects the problems of a document.
type validator struct{ problems []strictjson.Problem }

func validate(d *Document) []strictjson.Problem {
	v := new(validator)
	v.check(d.Generation <= MaxGeneration, "generation", "%d is not accepted; give 0 to %d", d.Generation, uint64(MaxGeneration))
	v.check(len(d.WriteID) <= maxNameBytes, "write_id", "%d bytes; at most %d are accepted", len(d.WriteID), maxNameBytes)
	v.limits(d.Limits)
	dataCentres := v.dataCentres(d.DataCentres)
	accounts := v.accounts(d.Accounts)
	names := map[string]bool{}
	regions := regionsOf(d)
	for i := range d.Templates {
		path := fmt.Sprintf("templates[%d]", i)
		v.uniqueName(path+".name", d.Templates[i].Name, names)
		v.template(path, &d.Templates[i], d.Limits.TaskLimitPerJob(), accounts)
		v.places(path, d, &d.Templates[i], dataCentres, regions)
	}
	v.routes(d.Routes, d.Templates)
	return v.problems
}

func (v *validator) check(ok bool, field, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, strictjson.Problem{Field: field, Fault: fmt.Sprintf(format, args...)})
	}
}

// uniqueName checks the form of a name and that it is not in seen, and adds it
// there.
func (v *validator) uniqueName(field, name string, seen map[string]bool) {
	v.label(field, name)
	v.check(name == "" || !seen[name], field, "%q is used more than once; give a unique name", name)
	seen[name] = true
}

func acceptedName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

func (v *validator) label(field, name string) {
	v.check(acceptedName(name), field,
		"%q is not accepted; give 1 to %d of the characters a-z, 0-9 and, inside, -", truncate(name), maxNameBytes)
}

func (v *validator) limits(l Limits) {
	v.inRange("limits.max_tasks_per_job", int64(l.MaxTasksPerJob), MaxTasksPerJobLimit)
	v.inRange("limits.max_queued_tasks", int64(l.MaxQueuedTasks), MaxQueuedTasksLimit)
}

func (v *validator) inRange(field string, n, highest int64) {
	v.check(0 <= n && n <= highest, field, "%d is not accepted; give 0 to %d", n, highest)
}

func (v *validator) dataCentres(list []DataCentre) map[string]bool {
	v.check(len(list) > 0, "data_centres", "empty; give at least one data centre")
	known := make(map[string]bool, len(list))
	for i := range list {
		path := fmt.Sprintf("data_centres[%d]", i)
		v.uniqueName(path+".name", list[i].Name, known)
		v.label(path+".region", list[i].Region)
	}
	for i := range list {
		path := fmt.Sprintf("data_centres[%d].delays_ms", i)
		for _, to := range sortedKeys(list[i].DelaysMS) {
			field, ms := path+"."+to, list[i].DelaysMS[to]
			v.check(known[to], field, "unknown data centre; give one of %s", joinNames(known))
			v.check(to != list[i].Name, field, "is the data centre itself; leave it out")
			v.check(ms >= 0 && ms <= MaxDelayMS, field, "%v is not accepted; give 0 to %d", ms, MaxDelayMS)
		}
	}
	return known
}

func (v *validator) accounts(list []Account) map[string]bool {
	known := make(map[string]bool, len(list))
	hashes := map[string]bool{}
	for i := range list {
		path := fmt.Sprintf("accounts[%d]", i)
		v.uniqueName(path+".name", list[i].Name, known)
		for j, hash := range list[i].TokenSHA256 {
			field := fmt.Sprintf("%s.token_sha256[%d]", path, j)
			v.check(hashPattern.MatchString(hash), field, "%q is not accepted; give 64 lower-case hexadecimal digits", truncate(hash))
			v.check(!hashes[hash], field, "is listed more than once; give each token to one account, once")
			hashes[hash] = true
		}
		v.inRange(path+".max_running_tasks", int64(list[i].MaxRunningTasks), math.MaxInt32)
		rate := list[i].MaxTasksPerSecond
		v.check(rate >= 0 && rate <= math.MaxInt32, path+".max_tasks_per_second",
			"%v is not accepted; give 0 to %d", rate, math.MaxInt32)
	}
	return known
}

func (v *validator) template(path string, t *Template, maxTasks int, accounts map[string]bool) {
	v.check(accounts[t.Account], path+".account", "%q is not an account; give one of %s", truncate(t.Account), joinNames(accounts))
	v.inRange(path+".urgency", int64(t.Urgency), MaxUrgency)
	v.inRange(path+".needs.accelerators", int64(t.Needs.Accelerators), math.MaxInt32)
	v.inRange(path+".needs.memory_mb", t.Needs.MemoryMB, math.MaxInt32)
	v.inRange(path+".needs.milli_cpu", t.Needs.MilliCPU, math.MaxInt32)
	v.check(0 < t.DeadlineMS && t.DeadlineMS <= MaxDeadlineMS, path+".deadline_ms",
		"%d is not accepted; give 1 to %d", t.DeadlineMS, MaxDeadlineMS)
	// An invalid deadline, which was reported above, does not bound ExpectedMS.
	longest := t.DeadlineMS
	if longest <= 0 {
		longest = MaxDeadlineMS
	}
	v.check(0 <= t.ExpectedMS && t.ExpectedMS <= longest, path+".expected_ms",
		"%d is not accepted; give 0 to deadline_ms", t.ExpectedMS)
	v.check(0 <= t.Value && t.Value <= MaxValue, path+".value",
		"%v is not accepted; give 0 to %v, where 0 counts as 1", t.Value, int64(MaxValue))
	v.leased(path, t)
	v.tasks(path, t, maxTasks)
}

func (v *validator) tasks(path string, t *Template, maxTasks int) {
	switch t.Kind {
	case KindRequest, KindLeased:
		v.check(len(t.Tasks) == 0, path+".tasks", "not accepted for kind %q; leave the field out", t.Kind)
		return
	case KindJob:
		v.check(0 < len(t.Tasks) && len(t.Tasks) <= maxTasks, path+".tasks",
			"%d tasks; give 1 to %d, which is limits.max_tasks_per_job", len(t.Tasks), maxTasks)
	default:
		v.check(false, path+".kind", "%q is not accepted; give %q, %q or %q", truncate(string(t.Kind)), KindJob, KindRequest, KindLeased)
	}
	names := map[string]bool{}
	for i := range t.Tasks {
		v.task(fmt.Sprintf("%s.tasks[%d]", path, i), &t.Tasks[i], names)
	}
}

func (v *validator) task(path string, t *Task, names map[string]bool) {
	v.uniqueName(path+".name", t.Name, names)
	v.check(slices.Contains(methods, t.Method), path+".method",
		"%q is not accepted; give one of %s", truncate(t.Method), strings.Join(methods, ", "))
	v.check(validPath(t.Path), path+".path",
		"%q is not accepted; give a path and query of at most %d bytes that begins with one /", truncate(t.Path), maxPathBytes)
	for _, name := range sortedKeys(t.Header) {
		field, lower := path+".header."+name, strings.ToLower(name)
		v.check(headerPattern.MatchString(name), field, "is not an HTTP header name")
		v.check(!slices.Contains(reservedHeaders, lower) && !strings.HasPrefix(lower, reservedHeaderPrefix),
			field, "is set by the system; leave it out")
		v.check(!strings.ContainsFunc(t.Header[name], isControl), field, "has control characters, which a header value may not have")
	}
}

// validPath reports whether the path can be sent in an HTTP request line. A path
// with two leading slashes would be parsed as a host.
func validPath(path string) bool {
	if len(path) > maxPathBytes || !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return false
	}
	if strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '#' }) {
		return false
	}
	_, err := url.ParseRequestURI(path)
	return err == nil
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// truncate shortens a rejected value for an error message.
func truncate(s string) string {
	if len(s) > maxNameBytes {
		return strings.ToValidUTF8(s[:maxNameBytes], "") + "..."
	}
	return s
}

func joinNames(set map[string]bool) string {
	if len(set) == 0 {
		return "(none defined)"
	}
	return strings.Join(sortedKeys(set), ", ")
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
