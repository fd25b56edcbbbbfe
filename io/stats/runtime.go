package stats

import (
	"math"
	"os"
	runtimemetrics "runtime/metrics"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// addRuntime adds the metrics of the process and of the Go runtime. Unlike runtime.ReadMemStats, reading them
// does not stop the world.
func (s *Stats) addRuntime() {
	for _, m := range []struct{ name, source, help string }{
		{"go_goroutines", "/sched/goroutines:goroutines", "Goroutines that exist."},
		{"go_heap_objects_bytes", "/memory/classes/heap/objects:bytes", "Heap memory of live and not yet swept objects, in bytes."},
		{"go_memory_bytes", "/memory/classes/total:bytes", "Memory mapped by the runtime, in bytes."},
	} {
		s.Describe(m.name, m.help)
		s.Gauge(m.name, nil, func() float64 { return readRuntime(m.source) })
	}
	s.Describe("process_resident_memory_bytes", "Resident memory of the process, in bytes.")
	s.Gauge("process_resident_memory_bytes", nil, residentBytes)
	s.Describe("process_cpu_seconds_total", "User and system CPU time of the process, in seconds.")
	s.register(counter, "process_cpu_seconds_total", nil, monotonicGauge{metrics.NewFunctionalGaugeFloat64(cpuSeconds)})
}

// readRuntime returns the value of a runtime metric, or NaN if this version of Go does not have it.
func readRuntime(source string) float64 {
	sample := []runtimemetrics.Sample{{Name: source}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() != runtimemetrics.KindUint64 {
		return math.NaN()
	}
	return float64(sample[0].Value.Uint64())
}

// cpuSeconds returns the CPU time of the process in seconds, or NaN if it cannot be read.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return math.NaN()
	}
	return (time.Duration(u.Utime.Nano()) + time.Duration(u.Stime.Nano())).Seconds()
}

// residentBytes returns the resident memory of the process in bytes, or NaN if it cannot be read.
func residentBytes() float64 {
	data, err := os.ReadFile("/proc/self/statm") // the total and the resident size in pages come first
	if err != nil {
		return math.NaN()
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return math.NaN()
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return math.NaN()
	}
	return float64(pages * int64(os.Getpagesize()))
}
