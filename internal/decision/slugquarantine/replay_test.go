package slugquarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// tick is the resolution of a replay.
	tick = 10 * time.Millisecond
	// replayStability is the time within which all hosts must act on what one has learned.
	replayStability = 3 * time.Second
	// gossipInterval and gossipFanout are those of package slugevidence.
	gossipInterval = 100 * time.Millisecond
	gossipFanout   = 3
)

// load is the load of a replay: callers of eight workspaces with 200 sessions, while
// requests with one part crash the engines that run them, or engines crash by themselves.
type load struct {
	hosts, engines int
	// sound and poison are the requests in each second.
	sound, poison float64
	// poisonFrom is when requests with the crashing part start, and crashesFrom when they
	// start to crash engines.
	poisonFrom, crashesFrom time.Duration
	// ownCrashes is the share of the engines that crash by themselves at each of ownCrashAt.
	ownCrashes float64
	ownCrashAt []time.Duration
	duration   time.Duration
}

// attempt is a request that runs at an engine.
type attempt struct {
	run    *Run
	poison bool
	engine int
	host   int
	ends   time.Time
}

// replay is the state of one replay.
type replay struct {
	load
	rng      *rand.Rand
	now      time.Time
	begun    time.Time
	trackers []*Tracker
	// incarnations counts the starts of each engine, and backAt is when it serves again.
	incarnations []int64
	backAt       []time.Time
	running      []attempt
	sent         int
	// crashes are the times of the crashes by requests, late the number of forwarded
	// requests after the fifth of them and replayStability.
	crashes []time.Time
	late    int
	// refused is the number of sound requests that were refused.
	refused, accepted int
}

// play plays a load and returns its end state.
func play(l load, seed uint64) *replay {
	r := &replay{load: l, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Now(), incarnations: make([]int64, l.engines), backAt: make([]time.Time, l.engines)}
	r.begun = r.now
	for range l.hosts {
		r.trackers = append(r.trackers, New())
	}
	for n := 0; r.now.Sub(r.begun) < l.duration; n++ {
		r.step(n)
		r.now = r.now.Add(tick)
	}
	return r
}

// step plays one tick.
func (r *replay) step(n int) {
	elapsed := r.now.Sub(r.begun)
	r.finish(elapsed)
	for _, at := range r.ownCrashAt {
		if elapsed >= at && elapsed < at+tick {
			for e := range int(r.ownCrashes * float64(r.engines)) {
				r.crash(e)
			}
		}
	}
	if r.rng.Float64() < r.sound*tick.Seconds() {
		r.send(false)
	}
	if elapsed >= r.poisonFrom && r.rng.Float64() < r.poison*tick.Seconds() {
		r.send(true)
	}
	if n%int(gossipInterval/tick) == 0 {
		r.gossip(n/int(gossipInterval/tick)%5 == 0)
	}
}

// send sends a request at a random host to a random engine that serves.
func (r *replay) send(poison bool) {
	r.sent++
	host := r.rng.IntN(r.hosts)
	workspace := fmt.Sprint("w-", r.rng.IntN(8))
	middle := fmt.Sprint("s-", r.rng.IntN(200))
	if poison {
		middle = "poison"
	}
	s := subject(r.sent, workspace, middle)
	if _, refused := r.trackers[host].Find(s, r.now); refused {
		if !poison {
			r.refused++
		}
		return
	}
	if !poison {
		r.accepted++
	}
	for range 20 {
		e := r.rng.IntN(r.engines)
		if r.now.Before(r.backAt[e]) {
			continue
		}
		if poison && len(r.crashes) >= 5 && r.now.Sub(r.crashes[4]) > replayStability {
			r.late++
		}
		took := 300 * time.Millisecond
		if poison {
			took = 60 * time.Millisecond
		}
		run := r.trackers[host].Begin(Start{Endpoint: "i", Incarnation: int64(e)<<32 | r.incarnations[e]}, s, r.now)
		r.running = append(r.running, attempt{run, poison, e, host, r.now.Add(took)})
		return
	}
}

// finish ends the requests whose time has come.
func (r *replay) finish(elapsed time.Duration) {
	for i := 0; i < len(r.running); i++ {
		a := r.running[i]
		if r.now.Before(a.ends) {
			continue
		}
		if a.poison && elapsed >= r.crashesFrom {
			r.crashes = append(r.crashes, r.now)
			r.crash(a.engine)
			i = -1
			continue
		}
		a.run.Served(r.now)
		r.running = append(r.running[:i], r.running[i+1:]...)
		i--
	}
}

// crash crashes an engine. Each host with a request there notices.
func (r *replay) crash(engine int) {
	rest := r.running[:0]
	hosts := map[int]Start{}
	for _, a := range r.running {
		if a.engine != engine {
			rest = append(rest, a)
			continue
		}
		a.run.Interrupted(r.now)
		hosts[a.host] = a.run.start
	}
	r.running = rest
	for h, start := range hosts {
		r.trackers[h].Crashed(start, r.now)
	}
	r.incarnations[engine]++
	r.backAt[engine] = r.now.Add(4 * time.Second)
}

// gossip lets all hosts decide and exchange entries.
func (r *replay) gossip(compare bool) {
	for i, t := range r.trackers {
		t.Decide(r.now)
		if changed := t.Changed(r.now); len(changed) > 0 {
			for range gossipFanout {
				r.trackers[r.rng.IntN(r.hosts)].Merge(changed, r.now)
			}
		}
		if all := t.All(r.now); compare && len(all) > 0 {
			peer := r.trackers[(i+1+r.rng.IntN(r.hosts))%r.hosts]
			peer.Merge(all, r.now)
			t.Merge(peer.All(r.now), r.now)
		}
	}
}

// replaySeeds is the number of seeds of each load, by the number of hosts. The first load is
// also played with hundreds of hosts.
var replaySeeds = map[int]uint64{7: 4, 73: 1, 295: 1}

// Guards against decisions that come too late, or that cost sound requests their service,
// under the load that the package answers, for few hosts and for hundreds.
func TestReplay(t *testing.T) {
	base := load{engines: 18, sound: 80, poison: 5, poisonFrom: 6 * time.Second, duration: 24 * time.Second}
	with := func(change func(*load)) load {
		l := base
		change(&l)
		return l
	}
	for _, test := range []struct {
		name string
		load load
		// crashes tells whether requests crash engines.
		crashes bool
	}{
		{"one part crashes engines", base, true},
		{"from the first second", with(func(l *load) { l.poisonFrom = 0 }), true},
		{"rarely", with(func(l *load) { l.poison, l.duration = 0.7, 40*time.Second }), true},
		{"often", with(func(l *load) { l.poison = 20 }), true},
		{"it was served before", with(func(l *load) { l.poisonFrom, l.crashesFrom = 0, 6*time.Second }), true},
		{"engines crash by themselves as well", with(func(l *load) {
			l.ownCrashes, l.ownCrashAt = 0.25, []time.Duration{4 * time.Second, 8 * time.Second, 9 * time.Second, 14 * time.Second}
		}), true},
		{"engines crash by themselves", with(func(l *load) {
			l.poison, l.ownCrashes = 0, 0.5
			l.ownCrashAt = []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 11 * time.Second, 16 * time.Second}
		}), false},
		{"all engines crash by themselves", with(func(l *load) {
			l.poison, l.ownCrashes = 0, 1
			l.ownCrashAt = []time.Duration{2 * time.Second, 7 * time.Second, 12 * time.Second}
		}), false},
	} {
		sizes := []int{7, 73}
		if test.name == "one part crashes engines" {
			sizes = append(sizes, 295)
		}
		for _, hosts := range sizes {
			if testing.Short() && hosts > 7 {
				continue
			}
			t.Run(fmt.Sprint(test.name, ", ", hosts, " hosts"), func(t *testing.T) {
				crashes, late, refused := 0, 0, 0
				for seed := range replaySeeds[hosts] {
					l := test.load
					l.hosts = hosts
					r := play(l, seed)
					assert.Equal(t, len(r.crashes) > 0, test.crashes)
					assert.Assert(t, r.late <= 3, "seed %d: %d requests forwarded late, %d crashes", seed, r.late, len(r.crashes))
					assert.Assert(t, r.refused*100 <= r.accepted, "seed %d: %d sound requests refused, %d accepted", seed, r.refused, r.accepted)
					crashes, late, refused = max(crashes, len(r.crashes)), max(late, r.late), max(refused, r.refused)
				}
				t.Logf("at most %d crashes, %d requests forwarded late, %d sound requests refused", crashes, late, refused)
			})
		}
	}
}
