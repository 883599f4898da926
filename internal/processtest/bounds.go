package processtest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
)

// Bounds are the largest peak of resident memory and the largest number of open
// descriptors of a process.
type Bounds struct{ PeakMiB, Descriptors int }

// CheckBounds requires that the process lives and has stayed within the bounds.
func (p *Process) CheckBounds(c *qt.C, b Bounds) {
	c.Helper()
	select {
	case <-p.Exited:
		c.Fatalf("%s has ended: %s", p.Name, p.State())
	default:
	}
	peak, open := p.statusField(c, "VmHWM")>>10, p.descriptors()
	c.Logf("%s: peak %d MiB, %d descriptors", p.Name, peak, open)
	c.Check(peak <= b.PeakMiB, qt.IsTrue, qt.Commentf("%s: peak %d MiB, bound %d", p.Name, peak, b.PeakMiB))
	c.Check(open <= b.Descriptors, qt.IsTrue, qt.Commentf("%s: %d descriptors, bound %d", p.Name, open, b.Descriptors))
}

// statusField returns a number of /proc/PID/status, in the unit that the kernel
// gives.
func (p *Process) statusField(c *qt.C, name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	c.Assert(err, qt.IsNil)
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			c.Assert(err, qt.IsNil)
			return n
		}
	}
	c.Fatalf("no field %s", name)
	return 0
}

func (p *Process) descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	return len(list)
}

// ticks returns the processor time of the process in clock ticks.
func (p *Process) ticks() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	f := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return user + system
}

// Settle waits until the process has handled what it has received, which is
// taken from its processor time: less than a tenth of a processor for 300 ms.
func (p *Process) Settle() {
	for quiet := 0; quiet < 3; {
		before := p.ticks()
		time.Sleep(100 * time.Millisecond)
		if p.ticks()-before <= 1 {
			quiet++
		} else {
			quiet = 0
		}
	}
}
