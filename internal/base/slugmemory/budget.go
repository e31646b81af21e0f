// Package slugmemory bounds the memory that a process holds for bytes received from others,
// over all of its connections. Bounds on single messages do not: each of many connections
// may be in the middle of a long one.
//
// # Usage
//
//	budget := slugmemory.New(32 << 20)
//	hold := budget.Hold()
//	defer hold.Release()
//	b, err := hold.ReadAll(limit.Reader(resp.Body))
package slugmemory

import (
	"io"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Bytes is an amount of memory in bytes.
type Bytes int64

const (
	// smallHold is the size up to which a Hold may always grow, so that ordinary messages
	// pass while long ones exhaust the budget.
	smallHold Bytes = 32 << 10
	// firstBuffer is the size of the first buffer of ReadAll.
	firstBuffer = 512
)

// ErrExhausted means that the messages in memory leave no room for a long one.
var ErrExhausted = errors.New("memory for received messages is exhausted")

// Budget is the memory that all Holds together may use. It may be exceeded by the sum of
// small Holds. A nil Budget has no limit.
type Budget struct {
	total Bytes
	used  atomic.Int64
}

// New returns a Budget of the given size.
func New(total Bytes) *Budget { return &Budget{total: total} }

// Used returns the memory in use.
func (b *Budget) Used() Bytes { return Bytes(b.used.Load()) }

// Hold returns a Hold of size 0.
func (b *Budget) Hold() *Hold { return b.HoldOf(smallHold) }

// HoldOf returns a Hold of size 0 that may grow to the given size even if the budget is
// exhausted.
func (b *Budget) HoldOf(small Bytes) *Hold { return &Hold{budget: b, small: small} }

// Hold is the part of a Budget that one message uses. It must not be used concurrently, and
// must be released.
type Hold struct {
	budget      *Budget
	size, small Bytes
}

// Grow adds n to the size. If the budget has no room for that, it returns ErrExhausted and
// leaves the size as it is.
func (h *Hold) Grow(n Bytes) error {
	if h.budget == nil {
		h.size += n
		return nil
	}
	used := Bytes(h.budget.used.Add(int64(n)))
	if used > h.budget.total && h.size+n > h.small {
		h.budget.used.Add(int64(-n))
		return errors.Wrapf(ErrExhausted, "message of %d bytes, budget of %d", h.size+n, h.budget.total)
	}
	h.size += n
	return nil
}

// Release returns the Hold to size 0.
func (h *Hold) Release() {
	if h.budget != nil {
		h.budget.used.Add(int64(-h.size))
	}
	h.size = 0
}

// Size returns the size of the Hold.
func (h *Hold) Size() Bytes { return h.size }

// Append appends p to b, whose capacity is part of the Hold.
func (h *Hold) Append(b, p []byte) ([]byte, error) {
	if len(b)+len(p) <= cap(b) {
		return append(b, p...), nil
	}
	size := max(2*cap(b), len(b)+len(p), firstBuffer)
	if err := h.Grow(Bytes(size - cap(b))); err != nil {
		return b, err
	}
	return append(append(make([]byte, 0, size), b...), p...), nil
}

// ReadAll reads r to its end. With an error, it returns what was read until then.
func (h *Hold) ReadAll(r io.Reader) ([]byte, error) {
	var b []byte
	var next [64]byte // Tells whether a message that fills b goes on.
	for {
		n, err := 0, error(nil)
		if len(b) < cap(b) {
			n, err = r.Read(b[len(b):cap(b)])
			b = b[:len(b)+n]
		} else {
			n, err = r.Read(next[:])
			longer, grown := h.Append(b, next[:n])
			if grown != nil {
				return slices.Concat(b, next[:n]), grown
			}
			b = longer
		}
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}
