package slugpermit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// window is the time over which an endpoint counts its requests.
const window = 4 * time.Second

// most returns the most events within any window.
func most(times []time.Time) int {
	best, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

// Guards against an endpoint that gets more requests than its limit allows, from few hosts
// and from hundreds, whatever their demand: constant, after a pause of all of them, from one
// host only, with hosts whose clocks differ or that do not know of each other yet.
func TestLimitHoldsForAllHosts(t *testing.T) {
	const step = 10 * time.Millisecond
	for _, hosts := range []int{1, 7, 9, 73, 295, 660} {
		for _, rate := range []float64{0.5, 7.8, 40, 300} {
			for _, demand := range []string{"constant", "after a pause", "one host", "clocks differ", "hosts unknown"} {
				t.Run(fmt.Sprintf("%d hosts, %g per second, %s", hosts, rate, demand), func(t *testing.T) {
					rng := rand.New(rand.NewPCG(1, uint64(hosts)))
					start := time.Date(2026, 12, 4, 23, 59, 50, 0, time.UTC)
					permits, skew := make([]*Permits, hosts), make([]time.Duration, hosts)
					for i := range permits {
						permits[i] = New(rate, start)
						if demand == "clocks differ" {
							skew[i] = time.Duration(rng.IntN(100)-50) * time.Millisecond
						}
					}
					var sent []time.Time
					for at := start; at.Sub(start) < 30*time.Second; at = at.Add(step) {
						if demand == "after a pause" && at.Sub(start) < 20*time.Second {
							continue
						}
						for i, p := range permits {
							known := hosts
							if demand == "hosts unknown" && i%10 == 0 {
								known = max(1, hosts*9/10)
							}
							if demand == "one host" && i > 0 {
								continue
							}
							for p.Take(Share{Rank: i, Hosts: known}, at.Add(skew[i])) {
								sent = append(sent, at)
							}
						}
					}
					allowed := 1.5*rate*window.Seconds() + 5
					assert.Assert(t, float64(most(sent)) <= allowed, "%d requests in %s, %g allowed", most(sent), window, allowed)
					if demand == "constant" {
						assert.Assert(t, float64(len(sent)) >= 0.9*rate*30-1, "%d requests in 30 s", len(sent))
					}
				})
			}
		}
	}
}

// Guards against a host that gets no permits after its clock was set back or forward.
func TestClockSteps(t *testing.T) {
	now := time.Now()
	p := New(10, now)
	assert.Assert(t, p.Take(Share{Hosts: 1}, now.Add(time.Second)))
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		at := now.Add(step)
		assert.Assert(t, p.Wait(Share{Hosts: 1}, at) <= 200*time.Millisecond)
		assert.Assert(t, p.Take(Share{Hosts: 1}, at.Add(200*time.Millisecond)))
	}
}

// Guards against a limit that is never asked about again, and so never lifted.
func TestLowestLimit(t *testing.T) {
	now := time.Now()
	p := New(0, now)
	assert.Assert(t, !p.Take(Share{Hosts: 1}, now))
	assert.Assert(t, p.Wait(Share{Hosts: 1}, now) <= 10*time.Second)
}
