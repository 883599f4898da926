package durable

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

const (
	// formatVersion is the version of both record formats. A process leaves a
	// record of another version unchanged.
	formatVersion = 1
	// maxRunBytes is the largest encoded size of a TaskRun: two quotes, a comma, an
	// index of up to 6 digits, a colon and 16 hexadecimal digits make 26 bytes.
	maxRunBytes = 26
	// maxCrashBytes is the largest encoded size of a TaskCrashes: two quotes, a comma,
	// an index of up to 6 digits, three colons and three numbers of up to 3 digits.
	maxCrashBytes = 21
	// reservedRunsPerTask is the number of runs of each task for which a new record
	// must have room: one that is done and one that failed.
	reservedRunsPerTask = 2
	// maxCount is the largest number of tasks in a record, ten times the highest
	// limit on the tasks of one job that a configuration may set.
	maxCount = 100_000
)

// errInvalid means that a record has a missing or unusable field.
var errInvalid = errors.New("durable: invalid record")

// openValue is the JSON form of a Record.
type openValue struct {
	Version    int            `json:"v"`
	Identifier string         `json:"id"`
	Account    string         `json:"account"`
	Template   string         `json:"template"`
	Count      int            `json:"count"`
	Needs      wire.Resources `json:"needs"`
	Spec       string         `json:"spec"`
	Expected   int64          `json:"expected_ns,omitempty"`
	Accepted   int64          `json:"accepted_ms"`
	Owner      Epoch          `json:"owner"`
	Serial     hexNumber      `json:"serial"`
	Started    bool           `json:"started,omitempty"`
	Restarted  bool           `json:"restarted,omitempty"`
	Done       []encodedRun   `json:"done,omitempty"`
	Failed     []encodedRun   `json:"failed,omitempty"`
	// Crashes is absent in records without any, so that processes of earlier
	// versions can read those.
	Crashes []encodedCrashes `json:"crashes,omitempty"`
}

// endValue is the JSON form of an EndRecord.
type endValue struct {
	Version    int    `json:"v"`
	Identifier string `json:"id"`
	Account    string `json:"account"`
	Template   string `json:"template"`
	Workload   string `json:"workload"`
	State      State  `json:"state"`
	Ended      int64  `json:"ended_ms"`
	Restarted  bool   `json:"restarted,omitempty"`
}

// hexNumber is a number that is encoded as hexadecimal text, because JSON tools
// lose digits of integers above 2^53.
type hexNumber uint64

// MarshalText implements encoding.TextMarshaler.
func (n hexNumber) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatUint(uint64(n), 16)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *hexNumber) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	*n = hexNumber(v)
	return err
}

// encodedRun is a TaskRun that is encoded as "index:tag", with the tag in
// hexadecimal.
type encodedRun TaskRun

// MarshalText implements encoding.TextMarshaler.
func (r encodedRun) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d:%x", r.Index, uint64(r.Tag)), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *encodedRun) UnmarshalText(text []byte) error {
	index, tag, _ := strings.Cut(string(text), ":")
	i, err := strconv.Atoi(index)
	if err != nil {
		return err
	}
	t, err := strconv.ParseUint(tag, 16, 64)
	*r = encodedRun{i, wire.RunTag(t)}
	return err
}

// encodedCrashes is a TaskCrashes that is encoded as
// "index:crashes:suspicions:unconfirmed", in decimal.
type encodedCrashes TaskCrashes

// MarshalText implements encoding.TextMarshaler.
func (c encodedCrashes) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d:%d:%d:%d", c.Index, c.Crashes, c.Suspicions, c.Unconfirmed), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *encodedCrashes) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ":")
	if len(parts) != 4 {
		return fmt.Errorf("%w: %q does not have the form index:crashes:suspicions:unconfirmed", errInvalid, text)
	}
	index, err := strconv.Atoi(parts[0])
	if err != nil {
		return err
	}
	var counts [3]uint8
	for i := range counts {
		n, err := strconv.ParseUint(parts[i+1], 10, 8)
		if err != nil {
			return err
		}
		counts[i] = uint8(n)
	}
	*c = encodedCrashes{index, counts[0], counts[1], counts[2]}
	return nil
}

// WorkloadHash returns a hash of the fields that must be equal in all submissions
// under one identifier: account, template, number and needs of the tasks, and
// spec.
func (r *Record) WorkloadHash() string {
	h := sha256.New()
	for _, s := range []string{r.Account, r.Template, r.Spec} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	_, _ = fmt.Fprintf(h, "%d %d %d %d", r.Count, r.Needs.Accelerators, r.Needs.MemoryMB, r.Needs.MilliCPU)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Encode returns the value of the record's key. It fails for an invalid record,
// and with store.ErrTooLarge if the value exceeds store.MaxValueBytes.
func (r *Record) Encode() ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	return encode(openValue{
		Version: formatVersion, Identifier: r.Identifier, Account: r.Account, Template: r.Template,
		Count: r.Count, Needs: r.Needs, Spec: r.Spec, Expected: int64(r.Expected), Accepted: millis(r.Accepted),
		Owner: r.Owner, Serial: hexNumber(r.Serial), Started: r.Started, Restarted: r.Restarted,
		Done: convertRuns[encodedRun](r.Done), Failed: convertRuns[encodedRun](r.Failed),
		Crashes: convertCrashes[encodedCrashes](r.Crashes),
	})
}

// checkRoom returns store.ErrTooLarge if the record of a new job could outgrow
// store.MaxValueBytes when runs and crashes are added to it; see
// reservedRunsPerTask.
func (r *Record) checkRoom() error {
	value, err := r.Encode()
	if err == nil && len(value)+(reservedRunsPerTask*maxRunBytes+maxCrashBytes)*r.Count > store.MaxValueBytes {
		return fmt.Errorf("%w: %d bytes, without the runs and crashes of %d tasks", store.ErrTooLarge, len(value), r.Count)
	}
	return err
}

// DecodeRecord decodes the value of an open record's key. It fails with
// ErrUnreadable for an unknown version, for the value of another key, and for
// any value that Encode does not produce.
func DecodeRecord(key string, value []byte) (Record, error) {
	var v openValue
	if err := decode(value, &v); err != nil {
		return Record{}, unreadable(key, err)
	}
	r := Record{
		Identifier: v.Identifier, Account: v.Account, Template: v.Template,
		Count: v.Count, Needs: v.Needs, Spec: v.Spec, Expected: time.Duration(v.Expected), Accepted: fromMillis(v.Accepted),
		Owner: v.Owner, Serial: uint64(v.Serial), Started: v.Started, Restarted: v.Restarted,
		Done: convertRuns[TaskRun](v.Done), Failed: convertRuns[TaskRun](v.Failed),
		Crashes: convertCrashes[TaskCrashes](v.Crashes),
	}
	again, err := r.Encode()
	if err := checkEncoding(key, OpenPrefix+r.Identifier, v.Version, value, again, err); err != nil {
		return Record{}, err
	}
	return r, nil
}

// Encode returns the value of the end record's key. It fails as Record.Encode
// does.
func (e *EndRecord) Encode() ([]byte, error) {
	if err := e.validate(); err != nil {
		return nil, err
	}
	return encode(endValue{
		Version: formatVersion, Identifier: e.Identifier, Account: e.Account, Template: e.Template,
		Workload: e.Workload, State: e.State, Ended: millis(e.Ended), Restarted: e.Restarted,
	})
}

// DecodeEnd decodes the value of an end record's key. It fails as DecodeRecord
// does.
func DecodeEnd(key string, value []byte) (EndRecord, error) {
	var v endValue
	if err := decode(value, &v); err != nil {
		return EndRecord{}, unreadable(key, err)
	}
	e := EndRecord{
		Identifier: v.Identifier, Account: v.Account, Template: v.Template,
		Workload: v.Workload, State: v.State, Ended: fromMillis(v.Ended), Restarted: v.Restarted,
	}
	again, err := e.Encode()
	if err := checkEncoding(key, EndedPrefix+e.Identifier, v.Version, value, again, err); err != nil {
		return EndRecord{}, err
	}
	return e, nil
}

// equal reports whether both end records have the same encoding.
func (e *EndRecord) equal(o *EndRecord) bool {
	a, errA := e.Encode()
	b, errB := o.Encode()
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// validate returns an error for a record that cannot be stored.
func (r *Record) validate() error {
	if err := checkUTF8(r.Identifier, r.Account, r.Template, r.Spec, string(r.Owner)); err != nil {
		return err
	}
	if r.Identifier == "" || r.Count < 1 || r.Count > maxCount || r.Expected < 0 {
		return fmt.Errorf("%w: identifier %q, %d tasks, expected duration %v", errInvalid, r.Identifier, r.Count, r.Expected)
	}
	if r.Needs.Accelerators < 0 || r.Needs.MemoryMB < 0 || r.Needs.MilliCPU < 0 {
		return fmt.Errorf("%w: negative needs %+v", errInvalid, r.Needs)
	}
	done := map[int]bool{}
	for _, run := range r.Done {
		if run.Index < 0 || run.Index >= r.Count || done[run.Index] {
			return fmt.Errorf("%w: done task %d is not one of the %d tasks, or is listed twice", errInvalid, run.Index, r.Count)
		}
		done[run.Index] = true
	}
	for _, run := range r.Failed {
		if run.Index < 0 || run.Index >= r.Count {
			return fmt.Errorf("%w: failed task %d is not one of the %d tasks", errInvalid, run.Index, r.Count)
		}
	}
	crashed := map[int]bool{}
	for _, c := range r.Crashes {
		if c.Index < 0 || c.Index >= r.Count || crashed[c.Index] || int(c.Suspicions)+int(c.Unconfirmed) > int(c.Crashes) {
			return fmt.Errorf("%w: crashes %+v of a job of %d tasks, or of a task that is listed twice", errInvalid, c, r.Count)
		}
		crashed[c.Index] = true
	}
	return nil
}

// validate returns an error for an end record that cannot be stored.
func (e *EndRecord) validate() error {
	if err := checkUTF8(e.Identifier, e.Account, e.Template, e.Workload, string(e.State)); err != nil {
		return err
	}
	if e.Identifier == "" || e.State != Completed && e.State != Failed && e.State != Cancelled {
		return fmt.Errorf("%w: identifier %q, state %q", errInvalid, e.Identifier, e.State)
	}
	return nil
}

// checkUTF8 returns an error for texts that JSON encodes with a loss.
func checkUTF8(list ...string) error {
	for _, s := range list {
		if !utf8.ValidString(s) {
			return fmt.Errorf("%w: text that is not valid UTF-8", errInvalid)
		}
	}
	return nil
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, fmt.Errorf("durable: encode: %w", err)
	}
	value := bytes.TrimSuffix(b.Bytes(), []byte("\n"))
	if len(value) > store.MaxValueBytes {
		return nil, fmt.Errorf("%w: %d bytes", store.ErrTooLarge, len(value))
	}
	return value, nil
}

func decode(value []byte, into any) error {
	if len(value) > store.MaxValueBytes {
		return store.ErrTooLarge
	}
	return json.Unmarshal(value, into)
}

// checkEncoding checks that a decoded value has the expected key and is equal to
// again, its new encoding; err is the error of that encoding. This excludes
// unknown, repeated and differently cased fields.
func checkEncoding(key, want string, version int, value, again []byte, err error) error {
	switch {
	case version != formatVersion:
		return unreadable(key, fmt.Errorf("unknown format version %d", version))
	case err != nil:
		return unreadable(key, err)
	case key != want:
		return unreadable(key, fmt.Errorf("the value belongs to key %q", want))
	case !bytes.Equal(value, again):
		return unreadable(key, errors.New("the value is not in the form that this version writes"))
	}
	return nil
}

// unreadable returns an ErrUnreadable for the key.
func unreadable(key string, cause error) error {
	return fmt.Errorf("%w: key %q: %w", ErrUnreadable, key, cause)
}

// millis returns a Unix time in milliseconds, and 0 for the zero time.
func millis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// convertRuns converts between lists of TaskRun and of encodedRun.
func convertRuns[To, From interface {
	~struct {
		Index int
		Tag   wire.RunTag
	}
}](list []From) []To {
	var to []To
	for _, r := range list {
		to = append(to, To(r))
	}
	return to
}

// convertCrashes converts between lists of TaskCrashes and of encodedCrashes.
func convertCrashes[To, From interface {
	~struct {
		Index       int
		Crashes     uint8
		Suspicions  uint8
		Unconfirmed uint8
	}
}](list []From) []To {
	var to []To
	for _, c := range list {
		to = append(to, To(c))
	}
	return to
}
