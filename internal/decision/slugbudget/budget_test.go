package slugbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func budget() *Budget {
	b := New(Config{Ratio: 0.2, Window: 10 * time.Second})
	b.SetExtra(2)
	return b
}

// TestFailingServiceIsNotFlooded replays a service all of whose answers fail: repeats
// stay at a fifth of the requests and the share of the fixed number.
func TestFailingServiceIsNotFlooded(t *testing.T) {
	b := budget()
	now, repeats := start, 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		b.Request(now)
		for b.Take(now) {
			repeats++
		}
	}
	assert.Equal(t, repeats, 22)
}

func TestBudgetComesBackWithTheWindow(t *testing.T) {
	b := budget()
	for range 2 {
		assert.Assert(t, b.Take(start))
	}
	assert.Assert(t, !b.Take(start))
	assert.Assert(t, !b.Take(start.Add(9*time.Second)))
	assert.Assert(t, b.Take(start.Add(10*time.Second)))
}

// TestSumOfAllProcesses lets several processes use up all they may.
func TestSumOfAllProcesses(t *testing.T) {
	const processes, extra = 7, 54.0
	total := 0
	for range processes {
		b := New(Config{Ratio: 0.2, Window: 10 * time.Second})
		b.SetExtra(extra / processes)
		for range 50 {
			b.Request(start)
		}
		for b.Take(start) {
			total++
		}
	}
	assert.Assert(t, float64(total) <= 0.2*50*processes+extra, "%d", total)
}

func TestReserveStaysUnused(t *testing.T) {
	b := New(Config{Ratio: 0, Window: time.Second, Reserve: 0.5})
	b.SetExtra(4)
	assert.Equal(t, b.Left(start), 2.0)
}
