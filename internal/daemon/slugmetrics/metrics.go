// Package slugmetrics writes a daemon's metrics together with the resource usage of its
// process.
//
// # Usage
//
//	slugmetrics.Write(w, metrics, transport.Bytes())
package slugmetrics

import (
	"expvar"
	"net/http"
	"runtime"
	"syscall"
)

// Process is the resource usage of a process, as reported by the operating system and the
// Go runtime.
type Process struct {
	// HeapBytes is the memory in heap spans that are in use.
	HeapBytes int64
	// ResidentBytes is the peak resident set size.
	ResidentBytes int64
	// ProcessorMicroseconds is the CPU time used since the start, in user and system mode.
	ProcessorMicroseconds int64
	Goroutines            int64
}

// Read returns the resource usage of the current process.
func Read() Process {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p := Process{HeapBytes: int64(m.HeapInuse), Goroutines: int64(runtime.NumGoroutine())}
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		// Linux reports Maxrss in KiB.
		p.ResidentBytes = u.Maxrss << 10
		p.ProcessorMicroseconds = (u.Utime.Sec+u.Stime.Sec)*1e6 + u.Utime.Usec + u.Stime.Usec
	}
	return p
}

// Write adds the resource usage and the bytes exchanged with peers to m, and writes m as a
// JSON document.
func Write(w http.ResponseWriter, m *expvar.Map, peerBytes uint64) {
	p := Read()
	for name, v := range map[string]int64{
		"heapBytes": p.HeapBytes, "residentBytes": p.ResidentBytes, "goroutines": p.Goroutines,
		"processorMicroseconds": p.ProcessorMicroseconds, "peerBytes": int64(peerBytes),
	} {
		n := new(expvar.Int)
		n.Set(v)
		m.Set(name, n)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(m.String()))
}
