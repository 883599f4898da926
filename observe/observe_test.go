package observe

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against log events that take several lines, or whose values cannot be
// told apart.
func TestLogLinesAreKeyValuePairs(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	l := NewLogger(&out, "info")
	l.Debug().Msg("hidden")
	l.Info().Str("job", "e1/7").Str("detail", "a=b \"c\"\nd").Str("none", "").Int("tasks", 3).Msg("job accepted")
	line := out.String()
	c.Check(strings.Count(line, "\n"), qt.Equals, 1)
	c.Check(line, qt.Matches, `level=info time=\S+ .*\n|level=info .*\n`)
	c.Check(strings.Contains(line, `job=e1/7 detail="a=b \"c\"\nd" none="" tasks=3`), qt.IsTrue, qt.Commentf("%s", line))
	c.Check(strings.Contains(line, `message="job accepted"`), qt.IsTrue)
	c.Check(strings.Contains(line, "\x1b"), qt.IsFalse)
}

// Guards against an unknown level in the settings that disables the log.
func TestUnknownLevelCountsAsInfo(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	l := NewLogger(&out, "verbose")
	l.Info().Msg("shown")
	c.Check(out.Len() > 0, qt.IsTrue)
}

// Guards against a log line that grows with what another process sent.
func TestLongValuesAreCut(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	l := NewLogger(&out, "info")
	var n int
	l.Info().Err(json.Unmarshal(bytes.Repeat([]byte("9"), 4<<20), &n)).Str("worker", strings.Repeat("\u20ac", 1<<20)).Msg("rejected")
	c.Check(out.Len() < 5*maxValueBytes, qt.IsTrue, qt.Commentf("%d bytes", out.Len()))
	c.Check(strings.Contains(out.String(), `error="json: cannot unmarshal number 999`), qt.IsTrue)
	c.Check(strings.Contains(out.String(), "(3145728 bytes)"), qt.IsTrue)
	c.Check(strings.HasSuffix(out.String(), " message=rejected\n"), qt.IsTrue)
}

func get(h http.Handler, path string) (int, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

// Guards against two daemons in one process whose metrics are mixed up or rejected
// as duplicates.
func TestMetricsOfTwoDaemonsAreSeparate(t *testing.T) {
	c := qt.New(t)
	one, first, close1 := NewMetrics("entry")
	two, second, close2 := NewMetrics("entry")
	one.Counter("starts").Inc(3)
	two.Counter("starts").Inc(5)
	c.Assert(close1.Close(), qt.IsNil) // closing reports the last values
	c.Assert(close2.Close(), qt.IsNil)
	_, body := get(first, "/metrics")
	c.Check(strings.Contains(body, "entry_starts 3"), qt.IsTrue, qt.Commentf("%s", body))
	_, body = get(second, "/metrics")
	c.Check(strings.Contains(body, "entry_starts 5"), qt.IsTrue)
}

// Guards against reporting a process as ready that is not.
func TestAdminHandler(t *testing.T) {
	c := qt.New(t)
	ready := errors.New("no configuration")
	h := AdminHandler(AdminOptions{
		Ready: func() error { return ready },
		State: func() any { return map[string]int{"jobs": 2} },
	})
	code, body := get(h, "/readyz")
	c.Check(code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(body, qt.Equals, "no configuration\n")
	ready = nil
	code, _ = get(h, "/readyz")
	c.Check(code, qt.Equals, http.StatusOK)
	code, _ = get(h, "/healthz")
	c.Check(code, qt.Equals, http.StatusOK)
	_, body = get(h, "/debug/state")
	c.Check(body, qt.JSONEquals, map[string]int{"jobs": 2})
	code, _ = get(h, "/metrics")
	c.Check(code, qt.Equals, http.StatusNotFound)
}

type lines chan string

func (l lines) Write(p []byte) (int, error) { l <- string(p); return len(p), nil }

// Guards against SIGUSR1 that ends the process instead of dumping its state.
func TestDumpOnSignal(t *testing.T) {
	c := qt.New(t)
	out := make(lines, 1)
	stop := DumpStateOnSignal(out, func() any { return map[string]int{"jobs": 2} })
	defer stop()
	c.Assert(syscall.Kill(os.Getpid(), syscall.SIGUSR1), qt.IsNil)
	c.Check(<-out, qt.JSONEquals, map[string]int{"jobs": 2})
}

// Guards against readings that give the total control traffic instead of its rate.
func TestCostMeterReportsRates(t *testing.T) {
	c := qt.New(t)
	total := uint64(100)
	m := NewCostMeter(func() uint64 { return total })
	c.Check(m.Read().ControlBytes, qt.Equals, 0.0)
	total = 200
	cost := m.Read()
	c.Check(cost.ControlBytes > 0, qt.IsTrue)
	c.Check(cost.MemoryBytes > 0, qt.IsTrue)
}
