package observe

import (
	"context"
	"runtime/metrics"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
)

// CostInterval is the interval at which ReportCost updates its gauges, which are
// averages over this interval.
const CostInterval = 5 * time.Second

// totalMemory is the name in runtime/metrics of all memory that the Go runtime
// has mapped.
const totalMemory = "/memory/classes/total:bytes"

// Cost is the resource consumption of a process.
type Cost struct {
	Cores          float64 // processor seconds per second, user and system
	MemoryBytes    uint64  // mapped by the Go runtime
	ControlBytes   float64 // control traffic sent and received, bytes per second
	processorTotal time.Duration
	controlTotal   uint64
	readAt         time.Time
}

// CostMeter measures the cost of the process between two calls of Read. It is not
// safe for concurrent use.
type CostMeter struct {
	controlBytes func() uint64
	last         Cost
}

// NewCostMeter returns a meter whose first interval begins now. controlBytes
// returns the bytes of control traffic sent and received so far; nil means none.
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
	// Getrusage fails only for an unknown first argument.
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

// Read returns the cost since the previous call of Read, or since NewCostMeter.
// MemoryBytes is the present value.
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
// and control_cost_bytes_per_second every CostInterval until ctx ends. Processor
// time and memory are those of the whole process, so they are upper bounds of the
// cost of control.
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
