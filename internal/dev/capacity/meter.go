package capacity

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/observe"
	"chicorytray.example/chicorytray/rpcconn"
)

// usage is what the measured daemon consumed during an interval.
type usage struct {
	seconds   float64
	cores     float64 // processor seconds per second
	heapBytes float64 // live after a garbage collection
	rssBytes  float64 // resident set size
	traffic   map[string]rpcconn.Count
}

// controlPerSecond returns the control traffic in both directions, in messages
// and bytes per second.
func (u usage) controlPerSecond() (messages, bytes float64) {
	for method, c := range u.traffic {
		if rpcconn.KindOf(method) == rpcconn.KindControl {
			messages += float64(c.MessagesSent + c.MessagesReceived)
			bytes += float64(c.BytesSent + c.BytesReceived)
		}
	}
	return messages / u.seconds, bytes / u.seconds
}

// measureUsage measures this process during the interval.
func measureUsage(interval time.Duration, traffic func() map[string]rpcconn.Count) usage {
	runtime.GC()
	meter, before, began := observe.NewCostMeter(nil), traffic(), time.Now()
	time.Sleep(interval)
	cost, after := meter.Read(), traffic()
	u := usage{
		seconds: time.Since(began).Seconds(), cores: cost.Cores,
		heapBytes: liveHeapBytes(), rssBytes: residentBytes(), traffic: map[string]rpcconn.Count{},
	}
	for method, a := range after {
		b := before[method]
		u.traffic[method] = rpcconn.Count{
			MessagesSent: a.MessagesSent - b.MessagesSent, MessagesReceived: a.MessagesReceived - b.MessagesReceived,
			BytesSent: a.BytesSent - b.BytesSent, BytesReceived: a.BytesReceived - b.BytesReceived,
		}
	}
	return u
}

// liveHeapBytes returns the heap bytes in use after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// residentBytes returns the resident set size of this process, or 0 if
// /proc/self/statm does not give it.
func residentBytes() float64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}
