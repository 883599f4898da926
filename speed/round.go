package speed

// MaxHeld is the number of tasks that are held in one round of placing tasks, which
// bounds the cost of a round.
const MaxHeld = 16

// maxHeldOfTemplate is the number of tasks of one template that are held in one round.
// Tasks of other templates, which have other durations, are tried after that.
const maxHeldOfTemplate = 2

// Round counts the tasks that are held in one round of placing waiting tasks.
type Round struct {
	byTemplate map[string]int
	held       int
}

// NewRound returns a round in which no task is held.
func NewRound() *Round { return &Round{byTemplate: map[string]int{}} }

// Hold counts a task of the template as held.
func (r *Round) Hold(template string) {
	r.byTemplate[template]++
	r.held++
}

// Held returns the number of tasks that are held.
func (r *Round) Held() int { return r.held }

// Closed reports whether no more tasks of the template are tried in this round.
func (r *Round) Closed(template string) bool { return r.byTemplate[template] >= maxHeldOfTemplate }

// Reset begins the next round.
func (r *Round) Reset() {
	clear(r.byTemplate)
	r.held = 0
}

// IsLast reports whether a task is one of the last of its job: the last quarter of the
// tasks, after others have started.
func IsLast(tasks, waiting int, started bool) bool {
	return started && waiting <= max(1, tasks/4)
}
