// Package slugduties runs the duties of a control process. Each duty has a lease, and its
// work runs while this process holds the lease. The configuration determines the duties:
// ordering and usage for each region, and roles for each service in each data centre.
//
// # Usage
//
//	d := slugduties.New(slugduties.Config{Node: node, ...})
//	go d.Run(ctx)
//	...
//	d.Finish() // releases all duties and waits
package slugduties

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugintent"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugorder"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugplatformapi"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnode"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

const (
	// reconcileInterval is the time between comparisons of the running duties with the
	// configuration. It also limits the time of a push to peers and of the read of a
	// predecessor's record.
	reconcileInterval = time.Second
	// releaseCooldown is how long a process does not claim a duty after an operator made
	// it release the duty.
	releaseCooldown = 30 * time.Second
)

// Config configures Duties.
type Config struct {
	Node     *slugnode.Node
	Settings *slugsettings.Settings
	Platform *slugplatformapi.Client
	Intent   *slugintent.Intent
	// HasEnded reports whether a process has definitely ended.
	HasEnded func(slugmember.Record) bool
	// Leaving reports whether this process is shutting down and claims no duties.
	Leaving func() bool
	// Dial opens the connections over which orders are sent.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  *slugevent.Log
	// OnStep is called between the steps of a duty's work, for tests; it may be nil.
	OnStep func(d sluglease.Duty, step string)
}

// job is this process's candidacy for one duty, and the duty's work.
type job struct {
	lease     *sluglease.Lease
	work      func(context.Context, *sluglease.Grant) error
	decisions decisionLog
	cancel    context.CancelFunc
	done      chan struct{}
	// cooldownUntil is the time until which the duty is not claimed.
	cooldownUntil time.Time
}

// Duties claims and runs the duties of one process.
type Duties struct {
	cfg    Config
	orders *slugorder.Client

	mu           sync.Mutex
	jobs         map[sluglease.Duty]*job
	stopped      bool
	releaseCount uint32
}

// New returns Duties that claim nothing until Run is called.
func New(cfg Config) *Duties {
	if cfg.OnStep == nil {
		cfg.OnStep = func(sluglease.Duty, string) {}
	}
	return &Duties{cfg: cfg, orders: slugorder.New(slugorder.Config{Dial: cfg.Dial}), jobs: map[sluglease.Duty]*job{}}
}

// Run starts and stops duties to match the configuration until ctx is cancelled, and then
// releases them.
func (d *Duties) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.reconcile(ctx)
		_ = slugbackoff.Sleep(ctx, reconcileInterval)
	}
	d.Finish()
	return nil
}

// reconcile starts the jobs that the configuration adds and stops those that it no longer
// has.
func (d *Duties) reconcile(ctx context.Context) {
	wanted := d.wantedDuties()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	for duty, build := range wanted {
		if d.jobs[duty] == nil {
			d.start(ctx, duty, build)
		}
	}
	for duty, j := range d.jobs {
		if wanted[duty] == nil {
			j.cancel()
			delete(d.jobs, duty)
		}
	}
}

// start begins to claim a duty. The caller holds d.mu.
func (d *Duties) start(ctx context.Context, duty sluglease.Duty, build func(*job)) {
	ctx, cancel := context.WithCancel(ctx)
	j := &job{cancel: cancel, done: make(chan struct{})}
	build(j)
	self := d.cfg.Node.Member.Self()
	j.lease = sluglease.New(sluglease.Config{
		Duty: duty, Self: self.Process, Host: self.Host, Store: d.cfg.Node.Store.For("lease." + string(duty)),
		TTL: d.cfg.Settings.LeaseTime, Log: d.cfg.Log,
		Rank:     func() int { return d.rank(duty) },
		Eligible: func() bool { return d.eligible(j) },
		Released: d.announceRelease,
	})
	d.jobs[duty] = j
	go func() {
		defer close(j.done)
		_ = j.lease.Run(ctx, j.work)
	}()
}

// rank returns the position of this process among the live control processes of its
// region, by rendezvous hashing on the duty.
func (d *Duties) rank(duty sluglease.Duty) int {
	var alive []slugname.Process
	self := d.cfg.Node.Member.Self()
	for _, s := range d.cfg.Node.Table.Statuses() {
		r, ok := d.cfg.Node.Member.Record(s.Process)
		if ok && s.Kind == slugmember.KindControl && s.Alive && !s.Leaving && r.Region == self.Region {
			alive = append(alive, s.Process)
		}
	}
	return slugmember.Rank(string(duty), self.Process, alive)
}

// eligible reports whether this process may claim a duty.
func (d *Duties) eligible(j *job) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.cfg.Leaving() && time.Now().After(j.cooldownUntil)
}

// announceRelease tells peers that a duty was released, so that other candidates check
// their leases immediately.
func (d *Duties) announceRelease() {
	d.mu.Lock()
	d.releaseCount++
	n := d.releaseCount
	d.mu.Unlock()
	d.cfg.Node.Table.Update(func(r *slugpeer.Row) { r.Released = n })
	ctx, cancel := context.WithTimeout(context.Background(), reconcileInterval)
	defer cancel()
	d.cfg.Node.Table.Push(ctx)
}

// CheckLeases makes all candidacies of this process check their leases immediately.
func (d *Duties) CheckLeases() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.jobs {
		j.lease.Wake()
	}
}

// Release makes this process release a duty and not claim it again for releaseCooldown. It
// reports whether the process held the duty.
func (d *Duties) Release(duty sluglease.Duty) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.jobs[duty]
	if j == nil {
		return false
	}
	_, held := j.lease.Status()
	if held {
		j.cooldownUntil = time.Now().Add(releaseCooldown)
		j.lease.Wake()
	}
	return held
}

// Finish releases all duties and waits until they have ended.
func (d *Duties) Finish() {
	d.mu.Lock()
	d.stopped = true
	jobs := d.jobs
	d.jobs = map[sluglease.Duty]*job{}
	d.mu.Unlock()
	for _, j := range jobs {
		j.cancel()
	}
	for _, j := range jobs {
		<-j.done
	}
}

// Abandon ends all duties without releasing their leases.
func (d *Duties) Abandon() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, j := range d.jobs {
		j.lease.Abandon()
	}
}

// Status is the state of a duty as known to this process.
type Status struct {
	sluglease.Record
	// Held reports whether this process holds the duty.
	Held bool `json:"held"`
}

// Statuses returns the state of all duties that this process is a candidate for, sorted by
// name.
func (d *Duties) Statuses() []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []Status{}
	for duty, j := range d.jobs {
		r, held := j.lease.Status()
		r.Duty = duty
		out = append(out, Status{r, held})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Duty, b.Duty) })
	return out
}

// Decisions returns the recent decisions of this process, oldest first.
func (d *Duties) Decisions() []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []Decision{}
	for _, j := range d.jobs {
		out = append(out, j.decisions.snapshot()...)
	}
	slices.SortFunc(out, func(a, b Decision) int { return a.At.Compare(b.At) })
	return out
}
