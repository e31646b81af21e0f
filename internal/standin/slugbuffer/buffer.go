// Package slugbuffer is a buffer that many goroutines write, such as those of all
// processes of a test into one log.
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

// Buffer takes what many goroutines write. The zero Buffer is empty and ready.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write adds to the buffer; it never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns what was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
