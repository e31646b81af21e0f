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

var begin = time.Unix(1_700_000_000, 0)

func fleet(n int) []Endpoint {
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

func TestPick(t *testing.T) {
	for _, tt := range []struct {
		name string
		set  func(*Picker, []Endpoint)
		work Work
		want slugname.Endpoint
		none bool
	}{
		{"the one that is not draining", func(p *Picker, e []Endpoint) { e[0].State = slugplan.StateDraining; p.SetEndpoints(e) }, Work{Affinity: 2}, "e-0001", false},
		{"the one that is not avoided", nil, Work{Avoid: []slugname.Endpoint{"e-0001"}}, "e-0000", false},
		{"a regular one for calls that may not be repeated", func(p *Picker, e []Endpoint) { e[1].Cheap = true; p.SetEndpoints(e) }, Work{}, "e-0000", false},
		{"the least loaded by report", func(p *Picker, _ []Endpoint) {
			p.Report("e-0000", Report{TakenAt: begin, Running: 3, FreePieces: 1000})
		}, Work{OutputTokens: 100}, "e-0001", false},
		{"the one that runs an equal request", func(p *Picker, _ []Endpoint) {
			_, _ = p.Pick(Work{Affinity: 2, PromptTokens: 9000, Repeatable: true, Avoid: []slugname.Endpoint{"e-0000"}}, begin)
		}, Work{Affinity: 2, PromptTokens: 9000}, "e-0001", false},
		{"none when all are full", func(p *Picker, _ []Endpoint) {
			for _, e := range []slugname.Endpoint{"e-0000", "e-0001"} {
				p.Report(e, Report{TakenAt: begin, Running: 4, FreePieces: 1000})
			}
		}, Work{}, "", true},
		{"none while prefill waits", func(p *Picker, _ []Endpoint) {
			for _, e := range []slugname.Endpoint{"e-0000", "e-0001"} {
				p.Report(e, Report{TakenAt: begin, Running: 1, PrefillTokens: 30000, FreePieces: 1000})
			}
		}, Work{}, "", true},
		{"none without KV pieces", func(p *Picker, _ []Endpoint) {
			for _, e := range []slugname.Endpoint{"e-0000", "e-0001"} {
				p.Report(e, Report{TakenAt: begin, Running: 1, FreePieces: 2})
			}
		}, Work{PromptTokens: 1600}, "", true},
		{"any when forced", func(p *Picker, _ []Endpoint) { p.Report("e-0000", Report{TakenAt: begin, Running: 4}) }, Work{Force: true, Avoid: []slugname.Endpoint{"e-0001"}}, "e-0000", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := New(Config{Local: "dc-1"})
			p.SetEndpoints(fleet(2))
			if tt.set != nil {
				tt.set(p, fleet(2))
			}
			tt.work.Repeatable = tt.work.Repeatable || tt.name != "a regular one for calls that may not be repeated"
			got, ok := p.Pick(tt.work, begin)
			assert.Equal(t, ok, !tt.none)
			assert.Equal(t, got.Endpoint, tt.want)
		})
	}
}

func TestPickFollowsCachedPrefix(t *testing.T) {
	p := New(Config{Local: "dc-1"})
	p.SetEndpoints(fleet(8))
	work := Work{PromptTokens: 6400, OutputTokens: 10, Blocks: make([]uint64, 100), BlockTokens: 64, Affinity: 3, Repeatable: true}
	for i := range work.Blocks {
		work.Blocks[i] = uint64(i + 1)
	}
	first, _ := p.Pick(work, begin)
	p.Done(&first, OutcomeWhole, begin.Add(time.Second))
	work.Affinity = 6
	second, _ := p.Pick(work, begin.Add(2*time.Second))
	assert.Equal(t, second.Endpoint, first.Endpoint)
	assert.Equal(t, second.Cached, Tokens(6400))
	p.Done(&second, OutcomeWhole, begin.Add(3*time.Second))
	p.CacheEvent(first.Endpoint, 100, true, begin.Add(3*time.Second))
	third, _ := p.Pick(work, begin.Add(4*time.Second))
	assert.Assert(t, third.Cached < 6400, "a cache event corrects the guess")
	late, _ := p.Pick(work, begin.Add(time.Hour))
	assert.Equal(t, late.Cached, Tokens(0), "the guess ages")
}

func TestPickSuspectsApart(t *testing.T) {
	p := New(Config{})
	p.SetEndpoints(fleet(20))
	work := Work{Suspect: true, Repeatable: true}
	a, ok := p.Pick(work, begin)
	assert.Assert(t, ok)
	b, ok := p.Pick(work, begin)
	assert.Assert(t, ok)
	assert.Assert(t, a.Endpoint != b.Endpoint)
	_, ok = p.Pick(work, begin)
	assert.Assert(t, !ok, "at most a tenth of the endpoints hold suspects")
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 100, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New(Config{})
			p.SetEndpoints(fleet(n))
			work := Work{PromptTokens: 2000, OutputTokens: 200, Blocks: make([]uint64, 30), BlockTokens: 64, Repeatable: true}
			for i := range work.Blocks {
				work.Blocks[i] = uint64(i + 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				work.Affinity++
				t, ok := p.Pick(work, begin)
				if !ok {
					b.Fatal("no endpoint")
				}
				p.Done(&t, OutcomeWhole, begin)
			}
		})
	}
}
