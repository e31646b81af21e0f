package slugmemory

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestManyLongMessages guards against messages that are each within their limit and that
// exceed the memory of the process together.
func TestManyLongMessages(t *testing.T) {
	const total, message, readers = 1 << 20, 256 << 10, 50
	budget := New(total)
	var mu sync.Mutex
	var whole, refused int
	var wg sync.WaitGroup
	holds := make([]*Hold, readers)
	for n := range readers {
		holds[n] = budget.Hold()
		wg.Go(func() {
			b, err := holds[n].ReadAll(strings.NewReader(strings.Repeat("x", message)))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				whole++
				assert.Check(t, len(b) == message)
				return
			}
			refused++
			holds[n].Release()
			assert.Check(t, len(b) < message)
			assert.ErrorIs(t, err, ErrExhausted)
		})
	}
	wg.Wait()
	assert.Assert(t, whole >= 1 && refused > 0, "%d whole, %d refused", whole, refused)
	assert.Assert(t, budget.Used() <= total+readers*smallHold, "%d bytes in use", budget.Used())
	for _, h := range holds {
		h.Release()
	}
	assert.Equal(t, budget.Used(), Bytes(0))
}

// TestShortMessagePassesExhaustedBudget guards against ordinary messages that are refused
// while long ones use up the budget.
func TestShortMessagePassesExhaustedBudget(t *testing.T) {
	budget := New(1 << 20)
	long := budget.Hold()
	defer long.Release()
	assert.NilError(t, long.Grow(1<<20))
	short := budget.Hold()
	defer short.Release()
	b, err := short.ReadAll(iotest.HalfReader(bytes.NewReader(make([]byte, smallHold))))
	assert.NilError(t, err)
	assert.Equal(t, len(b), int(smallHold))
	assert.ErrorIs(t, short.Grow(smallHold), ErrExhausted)
	assert.Equal(t, short.Size(), smallHold)
}

// TestAppendKeepsWhatItHas guards against bytes that are lost as a buffer grows or fails to.
func TestAppendKeepsWhatItHas(t *testing.T) {
	h := New(100 << 10).Hold()
	var b, want []byte
	for n := 0; ; n++ {
		part := bytes.Repeat([]byte{byte(n)}, 777)
		next, err := h.Append(b, part)
		if err != nil {
			assert.ErrorIs(t, err, ErrExhausted)
			break
		}
		b, want = next, append(want, part...)
		assert.Equal(t, int(h.Size()), cap(b))
	}
	assert.Assert(t, bytes.Equal(b, want))
	assert.Assert(t, len(b) > int(smallHold))
}
