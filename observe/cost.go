package observe

import (
	"context"
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

// CostInterval is the period over which control cost is averaged.
const CostInterval = 5 * time.Second

// totalMemory is the runtime's name for all memory mapped by the process's Go
// part.
const totalMemory = "/memory/classes/total:bytes"

// Cost is what a process consumes.
type Cost struct {
	Cores          float64 // processor seconds a second, user and system
	MemoryBytes    uint64  // mapped by the Go runtime
	ControlBytes   float64 // control traffic sent and received, bytes a second
	processorTotal time.Duration
	controlTotal   uint64
	readAt         time.Time
}

// CostMeter computes a process's cost between two readings. It is not safe for
// concurrent use.
type CostMeter struct {
	controlBytes func() uint64
	last         Cost
}

// NewCostMeter returns a meter. controlBytes returns the control bytes
// exchanged so far; nil counts none.
func NewCostMeter(controlBytes func() uint64) *CostMeter {
	if controlBytes == nil {
		controlBytes = func() uint64 { return 0 }
	}
	m := &CostMeter{controlBytes: controlBytes}
	m.last = m.read()
	return m
}

func (m *CostMeter) read() Cost {
	var usage syscall.Rusage
	// The call fails only for an unknown "who".
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	sample := []metrics.Sample{{Name: totalMemory}}
	metrics.Read(sample)
	return Cost{
		MemoryBytes:    sample[0].Value.Uint64(),
		processorTotal: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		controlTotal:   m.controlBytes(),
		readAt:         time.Now(),
	}
}

// Read returns the cost since the previous reading.
func (m *CostMeter) Read() Cost {
	c := m.read()
	if seconds := c.readAt.Sub(m.last.readAt).Seconds(); seconds > 0 {
		c.Cores = (c.processorTotal - m.last.processorTotal).Seconds() / seconds
		c.ControlBytes = float64(c.controlTotal-m.last.controlTotal) / seconds
	}
	m.last = c
	return c
}

// ReportCost updates the gauges control_cost_cores, control_cost_memory_bytes
// and control_cost_bytes_per_second every CostInterval until ctx ends. The
// processor time and memory are those of the whole process, so they are an
// upper bound of the cost of control.
func ReportCost(ctx context.Context, scope tally.Scope, controlBytes func() uint64) {
	meter := NewCostMeter(controlBytes)
	ticker := time.NewTicker(CostInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c := meter.Read()
			scope.Gauge("control_cost_cores").Update(c.Cores)
			scope.Gauge("control_cost_memory_bytes").Update(float64(c.MemoryBytes))
			scope.Gauge("control_cost_bytes_per_second").Update(c.ControlBytes)
		}
	}
}
