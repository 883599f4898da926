package entry

import (
	"net/http"
	"slices"
	"strings"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/wire"
)

// taskCount returns the number of tasks of the submission's job.
func taskCount(s *submission) int {
	switch {
	case s.kind == config.KindRequest:
		return 1
	case s.kind == config.KindLeased:
		return s.request.Count
	case len(s.request.Tasks) == 0:
		return len(s.template.Tasks)
	default:
		return len(s.request.Tasks)
	}
}

// checkTasks returns an error if the submission's tasks are invalid. It runs
// before a key is claimed or capacity is reserved for the submission.
func checkTasks(s *submission) error {
	limit := s.view.Document().Limits.TaskLimitPerJob()
	n := taskCount(s)
	if err := checkLeasedFields(s); err != nil {
		return err
	}
	if n <= 0 {
		return notRun(http.StatusBadRequest, reasonInvalid, "the job has no tasks")
	}
	if n > limit {
		return notRun(http.StatusRequestEntityTooLarge, reasonTooLarge, "the job has %d tasks; the limit is %d", n, limit)
	}
	for i, t := range s.request.Tasks {
		if !hasTask(s, t.Name) {
			return notRun(http.StatusBadRequest, reasonInvalid, "tasks[%d]: template %s has no task %q", i, s.template.Name, t.Name)
		}
	}
	return nil
}

// hasTask reports whether the submission's template has a task of that name.
func hasTask(s *submission, name string) bool {
	_, ok := s.view.Task(s.template.Name, name)
	return ok
}

// expand creates the tasks of an admitted job.
func (e *Entry) expand(s *submission) {
	j := s.job
	base := wire.Task{
		Job: j.id, Template: s.template.Name, Account: s.account.Name, Urgency: s.template.Urgency,
		Needs: s.template.Needs.Resources(), MaxResponse: e.settings.Limits.MaxResultBytes,
	}
	j.tasks = make([]wire.Task, 0, j.count)
	j.taskNames = make([]string, j.count)
	if s.kind == config.KindRequest {
		base.Request, base.AnyStatus = s.forwardedRequest, true
		j.tasks = append(j.tasks, base)
		return
	}
	wanted := s.request.Tasks
	if len(wanted) == 0 {
		for _, d := range s.template.Tasks {
			wanted = append(wanted, taskRequest{Name: d.Name})
		}
	}
	for i, w := range wanted {
		t := base
		t.Index = i
		d, _ := s.view.Task(s.template.Name, w.Name) // exists, see checkTasks
		t.Request = buildRequest(d, w, s.requestID)
		j.taskNames[i] = w.Name
		j.tasks = append(j.tasks, t)
	}
}

// buildRequest returns the upstream request of one task. Header fields and the body
// of the submission override those of the template.
func buildRequest(d *config.Task, w taskRequest, requestID string) wire.Request {
	r := wire.Request{Method: d.Method, Path: d.Path}
	merged := map[string]string{}
	for name, v := range d.Header {
		merged[http.CanonicalHeaderKey(name)] = v
	}
	for name, v := range w.Header {
		merged[http.CanonicalHeaderKey(name)] = v
	}
	merged[headerRequestID] = requestID
	for name, v := range merged {
		r.Header = append(r.Header, wire.Header{Name: name, Value: v})
	}
	slices.SortFunc(r.Header, func(a, b wire.Header) int { return strings.Compare(a.Name, b.Name) })
	switch {
	case w.Body != nil:
		r.Body = []byte(*w.Body)
	case w.BodyBase64 != nil:
		r.Body = w.BodyBase64
	default:
		r.Body = []byte(d.Body)
	}
	return r
}
