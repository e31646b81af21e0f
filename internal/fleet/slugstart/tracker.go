// Package slugstart tracks which start of each endpoint this process talks to.
//
// A registry entry describes one start of an endpoint, with its software version. An endpoint
// that comes back under its name and address runs before its new entry is read, and may then
// have another version. Its end breaks all of its connections. From then on its start is in
// doubt until the endpoint states it: in a report, which is read once for each doubt, or in an
// answer that it gives anyway. If there was no connection that could break, the entry has to be
// recent instead.
//
// # Usage
//
//	t := slugstart.New(slugstart.Config{Dial: network.Dial, Read: readReport, ListAge: age})
//	sender := slugsend.New(slugsend.Config{Dial: t.Dial})
//	t.Check(address, start) // when a request is sent
//	ok := t.Known(address, start)
package slugstart

import (
	"context"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
)

const (
	// maxListAge is the age up to which the list of endpoints shows that an endpoint to which
	// there was no connection has not started again. Hosts in touch with the store have a
	// confirmation each second.
	maxListAge = 1500 * time.Millisecond
	// awaitTimeout bounds the wait for a report. A paused endpoint does not answer.
	awaitTimeout = 300 * time.Millisecond
	// maxReports bounds the reports for which Await waits, the first of which may have been
	// asked for before the last doubt.
	maxReports = 2
	// doubtInterval is the shortest time between reports that Check reads of an endpoint whose
	// start is in doubt: one may close its connections after each response.
	doubtInterval = 100 * time.Millisecond
	// staleInterval is the shortest time between reports of an endpoint that stated another
	// start than its entry. It goes on stating that until the new entry is read.
	staleInterval = 2 * time.Second
	// statedAge is the age up to which a statement holds for Await without a connection that
	// would have broken since.
	statedAge = time.Second
	// forgetAfter is how long an endpoint without connections is remembered.
	forgetAfter = 10 * time.Minute
	// pruneInterval is the time between removals of endpoints that are forgotten.
	pruneInterval = time.Minute
)

// Config configures a Tracker.
type Config struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Read asks the endpoint at an address for its start. It must return within a second or so.
	Read func(address string) (slugregistry.Incarnation, error)
	// ListAge returns for how long the list of endpoints has not been confirmed.
	ListAge func() time.Duration
	// Stated is called when the endpoint at an address states another start than before; it
	// may be nil.
	Stated func(address string, start slugregistry.Incarnation)
}

// endpoint is what is known of the endpoint at an address.
type endpoint struct {
	// open is the number of open connections that the endpoint has not closed.
	open int
	// doubts is the number of times at which the start came into doubt, and settled the number
	// of those after which the endpoint has stated its start.
	doubts, settled int
	// doubtedAt is when the start last came into doubt.
	doubtedAt time.Time
	// stated is the start that the endpoint stated last, 0 if none, in an answer to a question
	// at statedAt.
	stated   slugregistry.Incarnation
	statedAt time.Time
	// reading is closed at the end of the read in progress; nil if there is none.
	reading chan struct{}
	readAt  time.Time
	usedAt  time.Time
}

// Tracker tracks the starts of endpoints. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu        sync.Mutex
	endpoints map[string]*endpoint
	prunedAt  time.Time
}

// New returns a Tracker.
func New(cfg Config) *Tracker {
	if cfg.Stated == nil {
		cfg.Stated = func(string, slugregistry.Incarnation) {}
	}
	return &Tracker{cfg: cfg, endpoints: map[string]*endpoint{}}
}

// at returns what is known of the endpoint at an address. The caller must hold t.mu.
func (t *Tracker) at(address string) *endpoint {
	now := time.Now()
	if now.Sub(t.prunedAt) >= pruneInterval {
		t.prunedAt = now
		maps.DeleteFunc(t.endpoints, func(_ string, e *endpoint) bool {
			return e.open == 0 && e.reading == nil && now.Sub(e.usedAt) > forgetAfter
		})
	}
	e := t.endpoints[address]
	if e == nil {
		e = &endpoint{}
		t.endpoints[address] = e
	}
	e.usedAt = now
	return e
}

// doubt records that the endpoint may have started again. The caller must hold the lock of the
// Tracker.
func (e *endpoint) doubt() {
	e.doubts++
	e.doubtedAt = time.Now()
}

// known reports whether the endpoint is in the given start, as far as this process can tell.
func (e *endpoint) known(start slugregistry.Incarnation) bool {
	return e.doubts == e.settled && (e.stated == 0 || e.stated == start)
}

// Known reports whether the endpoint at an address is in the given start, as far as this
// process can tell. Entries in an older format state no start, 0, which can't be told from
// another.
func (t *Tracker) Known(address string, start slugregistry.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return start == 0 || t.at(address).known(start)
}

// KnownSince is like Known, but is also true if the endpoint stated the start in an answer to a
// question after since, whatever happened later. The entry that names a start was written by it,
// so that a connection that was opened after the entry was read, and before the question, was to
// that start.
func (t *Tracker) KnownSince(address string, start slugregistry.Incarnation, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.at(address)
	return start == 0 || e.known(start) || e.stated == start && !e.statedAt.Before(since)
}

// Check reads the report of an endpoint in the background if it is not known to be in the
// given start.
func (t *Tracker) Check(address string, start slugregistry.Incarnation) {
	_, _ = t.check(address, start, false)
}

// Await is like Known, but waits for a report for a while if the start is not known, or if there
// is no connection to the endpoint that would have broken. It is meant for streams that go on
// at the endpoint, which are few.
func (t *Tracker) Await(address string, start slugregistry.Incarnation) bool {
	timer := time.NewTimer(awaitTimeout)
	defer timer.Stop()
	for range maxReports {
		known, reading := t.check(address, start, true)
		if reading == nil {
			return known
		}
		select {
		case <-reading:
		case <-timer.C:
			return t.Known(address, start)
		}
		if t.Known(address, start) {
			return true
		}
		// Another doubt may have come up since the endpoint was asked.
	}
	return false
}

// check reports whether a start is known. If it is not, it returns a channel that is closed at
// the end of the read in progress, or nil if the report was read just before. With strict, it
// does so too if the endpoint could have started again unnoticed; one that gives no report
// then counts as described by its entry.
func (t *Tracker) check(address string, start slugregistry.Incarnation, strict bool) (known bool, reading <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.at(address)
	if start == 0 {
		return true, nil
	}
	known = e.known(start)
	unwatched := strict && e.open == 0 && time.Since(e.statedAt) > statedAge
	if known && !unwatched {
		return true, nil
	}
	interval := doubtInterval
	switch {
	case !known && e.doubts == e.settled:
		interval = staleInterval
	case strict:
		interval = 0
	}
	if e.reading == nil && time.Since(e.readAt) >= interval {
		e.reading, e.readAt = make(chan struct{}), time.Now()
		go t.read(address, e)
	}
	return known, e.reading
}

// read reads the report of an endpoint.
func (t *Tracker) read(address string, e *endpoint) {
	askedAt := time.Now()
	start, err := t.cfg.Read(address)
	if err == nil {
		t.State(address, start, askedAt)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	close(e.reading)
	e.reading = nil
}

// State records the start that an endpoint stated in its answer to a question; 0 means that it
// stated none. The answer settles the doubts from before the question. It is ignored if a later
// question was answered before.
func (t *Tracker) State(address string, start slugregistry.Incarnation, askedAt time.Time) {
	if start == 0 {
		return
	}
	t.mu.Lock()
	e := t.at(address)
	if askedAt.Before(e.statedAt) || e.doubts > e.settled && askedAt.Before(e.doubtedAt) {
		t.mu.Unlock()
		return
	}
	changed := e.stated != start
	e.stated, e.statedAt, e.settled = start, askedAt, e.doubts
	t.mu.Unlock()
	if changed {
		t.cfg.Stated(address, start)
	}
}

// Dial opens a connection whose end by the endpoint brings the endpoint's start into doubt.
func (t *Tracker) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.cfg.Dial(ctx, network, address)
	age := t.cfg.ListAge()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.at(address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.doubt()
		}
		return nil, err
	}
	if e.open == 0 && age > maxListAge {
		e.doubt()
	}
	e.open++
	return &conn{Conn: c, tracker: t, endpoint: e}, nil
}

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	tracker  *Tracker
	endpoint *endpoint
	// ended is set once either side has closed the connection; the lock of the Tracker guards it.
	ended bool
}

// end records that one side has closed the connection.
func (c *conn) end(byEndpoint bool) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.endpoint.open--
	c.endpoint.usedAt = time.Now()
	if byEndpoint {
		c.endpoint.doubt()
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.check(err)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.check(err)
	return n, err
}

// check records the end of the connection if an operation failed for another reason than its
// time limit.
func (c *conn) check(err error) {
	var timeout net.Error
	if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	c.end(true)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end(false)
	return c.Conn.Close()
}
