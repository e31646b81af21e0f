// Package slugmetrics writes a daemon's metrics with those of its process.
//
// # Usage
//
//	slugmetrics.Write(w, metrics, link.Bytes())
package slugmetrics

import (
	"expvar"
	"net/http"
	"runtime"
	"syscall"
)

// Process is what the operating system and the runtime tell of a process.
type Process struct {
	// HeapBytes is the memory in use by the heap.
	HeapBytes int64
	// ResidentBytes is the greatest resident memory so far.
	ResidentBytes int64
	// ProcessorMicroseconds is the processor time used so far.
	ProcessorMicroseconds int64
	Goroutines            int64
}

// Read returns the state of this process.
func Read() Process {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p := Process{HeapBytes: int64(m.HeapInuse), Goroutines: int64(runtime.NumGoroutine())}
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		p.ResidentBytes = u.Maxrss << 10
		p.ProcessorMicroseconds = (u.Utime.Sec+u.Stime.Sec)*1e6 + u.Utime.Usec + u.Stime.Usec
	}
	return p
}

// Write writes the metrics as one JSON document.
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
