package slugpick

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

// newEndpoints returns n identical serving engines in one data centre.
func newEndpoints(n int) []Endpoint {
	out := make([]Endpoint, n)
	for i := range out {
		out[i] = Endpoint{DataCentre: "dc-1", Endpoint: slugplan.Endpoint{
			Name: slugname.Endpoint(fmt.Sprintf("e-%04d", i)), Kind: slugmanifest.KindEngine, State: slugplan.StateServing, Streams: 4,
			Pieces: 1000, TokensPerPiece: 16,
			Speed: slugplan.Speed{PrefillPerSecond: 20000, StepBase: 10 * time.Millisecond, StepPerStream: time.Millisecond, Chunk: 256},
		}}
	}
	return out
}

// TestPick guards against picking endpoints that cannot or must not run the work.
func TestPick(t *testing.T) {
	for _, tt := range []struct {
		name string
		set  func(*Picker, []Endpoint)
		work Work
		want slugname.Endpoint
		none bool
	}{
		{"skips a draining endpoint", func(p *Picker, e []Endpoint) { e[0].State = slugplan.StateDraining; p.SetEndpoints(e) }, Work{Affinity: 2}, "e-0001", false},
		{"skips an avoided endpoint", nil, Work{Avoid: []slugname.Endpoint{"e-0001"}}, "e-0000", false},
		{"skips cheap endpoints for work that is not repeatable", func(p *Picker, e []Endpoint) { e[1].Cheap = true; p.SetEndpoints(e) }, Work{}, "e-0000", false},
		{"prefers the least loaded by report", func(p *Picker, _ []Endpoint) {
			p.RecordReport("e-0000", Report{TakenAt: start, Running: 3, FreePieces: 1000})
		}, Work{OutputTokens: 100}, "e-0001", false},
		{"prefers the endpoint that runs an identical request", func(p *Picker, _ []Endpoint) {
			_, _ = p.Pick(Work{Affinity: 2, PromptTokens: 9000, Repeatable: true, Avoid: []slugname.Endpoint{"e-0000"}}, start)
		}, Work{Affinity: 2, PromptTokens: 9000}, "e-0001", false},
		{"picks none when all streams are in use", func(p *Picker, _ []Endpoint) {
			for _, e := range []slugname.Endpoint{"e-0000", "e-0001"} {
				p.RecordReport(e, Report{TakenAt: start, Running: 4, FreePieces: 1000})
			}
		}, Work{}, "", true},
		{"picks none while much prefill is waiting", func(p *Picker, _ []Endpoint) {
			for _, e := range []slugname.Endpoint{"e-0000", "e-0001"} {
				p.RecordReport(e, Report{TakenAt: start, Running: 1, PrefillTokens: 30000, FreePieces: 1000})
			}
		}, Work{}, "", true},
		{"picks none without free KV cache", func(p *Picker, _ []Endpoint) {
			for _, e := range []slugname.Endpoint{"e-0000", "e-0001"} {
				p.RecordReport(e, Report{TakenAt: start, Running: 1, FreePieces: 2})
			}
		}, Work{PromptTokens: 1600}, "", true},
		{"ignores capacity when forced", func(p *Picker, _ []Endpoint) { p.RecordReport("e-0000", Report{TakenAt: start, Running: 4}) }, Work{IgnoreCapacity: true, Avoid: []slugname.Endpoint{"e-0001"}}, "e-0000", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := New(Config{Local: "dc-1"})
			p.SetEndpoints(newEndpoints(2))
			if tt.set != nil {
				tt.set(p, newEndpoints(2))
			}
			tt.work.Repeatable = tt.work.Repeatable || tt.name != "skips cheap endpoints for work that is not repeatable"
			got, ok := p.Pick(tt.work, start)
			assert.Equal(t, ok, !tt.none)
			assert.Equal(t, got.Endpoint, tt.want)
		})
	}
}

// TestPickPrefersCachedPrefix guards against losing prefix affinity, and against
// assuming prefixes cached after their removal or expiry.
func TestPickPrefersCachedPrefix(t *testing.T) {
	p := New(Config{Local: "dc-1"})
	p.SetEndpoints(newEndpoints(8))
	work := Work{PromptTokens: 6400, OutputTokens: 10, Blocks: make([]uint64, 100), BlockTokens: 64, Affinity: 3, Repeatable: true}
	for i := range work.Blocks {
		work.Blocks[i] = uint64(i + 1)
	}
	first, _ := p.Pick(work, start)
	p.Done(&first, OutcomeComplete, start.Add(time.Second))
	work.Affinity = 6
	second, _ := p.Pick(work, start.Add(2*time.Second))
	assert.Equal(t, second.Endpoint, first.Endpoint)
	assert.Equal(t, second.Cached, Tokens(6400))
	p.Done(&second, OutcomeComplete, start.Add(3*time.Second))
	p.RecordCacheEvent(first.Endpoint, 100, true, start.Add(3*time.Second))
	third, _ := p.Pick(work, start.Add(4*time.Second))
	assert.Assert(t, third.Cached < 6400, "a cache event removes the assumed prefix")
	late, _ := p.Pick(work, start.Add(time.Hour))
	assert.Equal(t, late.Cached, Tokens(0), "an assumed prefix expires")
}

// TestPickSeparatesSuspects guards against running two suspects on one endpoint, or
// suspects on too many endpoints.
func TestPickSeparatesSuspects(t *testing.T) {
	p := New(Config{})
	p.SetEndpoints(newEndpoints(20))
	work := Work{Suspect: true, Repeatable: true}
	a, ok := p.Pick(work, start)
	assert.Assert(t, ok)
	b, ok := p.Pick(work, start)
	assert.Assert(t, ok)
	assert.Assert(t, a.Endpoint != b.Endpoint)
	_, ok = p.Pick(work, start)
	assert.Assert(t, !ok, "at most a tenth of the endpoints run suspects")
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 100, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New(Config{})
			p.SetEndpoints(newEndpoints(n))
			work := Work{PromptTokens: 2000, OutputTokens: 200, Blocks: make([]uint64, 30), BlockTokens: 64, Repeatable: true}
			for i := range work.Blocks {
				work.Blocks[i] = uint64(i + 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				work.Affinity++
				t, ok := p.Pick(work, start)
				if !ok {
					b.Fatal("no endpoint picked")
				}
				p.Done(&t, OutcomeComplete, start)
			}
		})
	}
}
