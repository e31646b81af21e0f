// Package slugbuffer provides a byte buffer that is safe for concurrent writes, for
// tests that collect the logs of several processes in one place.
//
// # Usage
//
//	var logs slugbuffer.Buffer
//	log := slugevent.New(&logs, logrus.InfoLevel, "host-1")
//	text := logs.String()
package slugbuffer

import (
	"bytes"
	"sync"
)

// Buffer is a byte buffer that is safe for concurrent use. Its zero value is an
// empty buffer that is ready to use.
type Buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends p to the buffer. It never returns an error.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns everything written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
