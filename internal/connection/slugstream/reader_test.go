package slugstream

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sassafraslug/sassafraslug/internal/base/slugmemory"
	"gotest.tools/v3/assert"
)

// newHold returns memory for events that no other stream uses.
func newHold() *slugmemory.Hold { return slugmemory.New(16 << 20).Hold() }

// Guards against passing on events of another request, out of order or twice, and against
// accepting a stream that was cut off.
func TestNext(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		after      int
		data       []string
		err        error
	}{
		{"whole", "id: r:1\ndata: a\n\nid: r:2\ndata: [DONE]\n\n", 0, []string{"a", "[DONE]"}, nil},
		{"comments", ": x\n\nid: r:1\r\ndata: a\r\n\r\n", 0, []string{"a"}, ErrTruncated},
		{"duplicate", "id: r:1\ndata: a\n\nid: r:1\ndata: a\n\nid: r:2\ndata: b\n\n", 0, []string{"a", "b"}, ErrTruncated},
		{"resumed", "id: r:5\ndata: e\n\n", 4, []string{"e"}, ErrTruncated},
		{"gap", "id: r:1\ndata: a\n\nid: r:3\ndata: c\n\n", 0, []string{"a"}, ErrGap},
		{"stray event", "data: stray\n\nid: r:1\ndata: a\n\n", 0, []string{"a"}, ErrTruncated},
		{"error event", "id: r:1\ndata: a\n\nevent: error\ndata: failed\n\nid: r:2\ndata: b\n\n", 0, []string{"a", "b"}, ErrTruncated},
		{"head", "id: r:1\ndata: a\n\nHTTP/1.1 503 x\r\nContent-Length: 5\r\n\r\nerror\n\n", 0, []string{"a"}, ErrTruncated},
		{"several lines", "id: r:1\ndata: a\ndata: \ndata: b\n\n", 0, []string{"a\n\nb"}, ErrTruncated},
		{"crossed", "id: q:1\ndata: a\n\n", 0, nil, ErrWrongRequest},
		{"longer request", "id: rr:1\ndata: a\n\n", 0, nil, ErrWrongRequest},
		{"no number", "id: r:x\ndata: a\n\n", 0, nil, ErrWrongRequest},
		{"cut in an event", "id: r:1\ndata: a", 0, nil, ErrTruncated},
		{"too long", "id: r:1\ndata: " + strings.Repeat("a", MaxEventBytes+1) + "\n\n", 0, nil, ErrTooLong},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := New(strings.NewReader(tt.text), "r", tt.after, newHold())
			var data []string
			for {
				e, err := r.Next()
				if err != nil {
					assert.ErrorIs(t, err, tt.err)
					break
				}
				data = append(data, string(e.Data))
				if e.Done {
					break
				}
			}
			assert.DeepEqual(t, data, tt.data)
		})
	}
}

// FuzzNext checks that Next returns consecutive sequence numbers for any input.
func FuzzNext(f *testing.F) {
	f.Add([]byte("id: r:1\ndata: a\n\nid: r:2\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := New(bytes.NewReader(b), "r", 0, newHold())
		for last := 0; ; {
			e, err := r.Next()
			if err != nil {
				return
			}
			assert.Equal(t, e.Sequence, last+1, "events must be in order and without duplicates")
			last = e.Sequence
		}
	})
}

// repeatingReader is a reader that repeats block without end.
type repeatingReader struct {
	block []byte
	off   int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.block[r.off:])
	r.off = (r.off + n) % len(r.block)
	return n, nil
}

func BenchmarkNext(b *testing.B) {
	event := []byte(`data: {"id":"r","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n")
	r := New(&repeatingReader{block: append([]byte("id: r:1\n"), event...)}, "r", 0, newHold())
	b.ReportAllocs()
	for b.Loop() {
		r.lastSequence = 0
		if _, err := r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
