package slugpeer

import (
	"context"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquota"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"golang.org/x/sync/errgroup"
)

// Config configures a Table.
type Config struct {
	Self slugmember.Record
	// Call sends a message to a process and returns the answer.
	Call func(ctx context.Context, to slugmember.Record, m Message) (Message, error)
	// Peers returns the records of all known processes. It may include this one.
	Peers func() []slugmember.Record
	// LastConfirmed returns when the configuration of this process was last confirmed to be
	// the newest.
	LastConfirmed func() slugclock.Instant
	// Revision returns the revision in effect; nil means that only Update sets that of the row.
	Revision func() slugconfig.Revision
	// RowChanged is called for each row of a peer that is new or has changed; it may be nil.
	RowChanged func(Row)
	// RevisionConfirmed is called with the revision of a peer and the time at which the peer
	// last knew it to be the newest; it may be nil.
	RevisionConfirmed func(slugconfig.Revision, slugclock.Instant)
	// Clock returns the time by this process's own clock. ClockReported is called with the
	// time by a peer's own clock and the instant at which that was read. Both may be nil.
	Clock         func() time.Time
	ClockReported func(slugname.Process, time.Time, slugclock.Instant)
	// Bundle returns the encoded configuration in effect for a peer; it may be nil.
	Bundle func() []byte
	// Follow answers a peer that follows objects in the store through this process; it may
	// be nil.
	Follow func(Follow) *Changes
	// Announce handles a prompt that a peer announces for an endpoint, with the longest wait
	// that the peer accepts or 0, and writes the forecast to the answer; it may be nil.
	Announce func(m Message, answer *Message)
	// Ends handles the ends of prompts that a peer announced; it may be nil.
	Ends func([]PromptEnds)
	// Notices handles what endpoints have said in responses that passed through a peer and this
	// process; it may be nil.
	Notices func([]EndpointNotice)
	// Evidence merges the evidence of a peer, and returns that of this process if the peer
	// asks to compare; it may be nil.
	Evidence func(list []Evidence, compare bool) []Evidence
	// Origins merges the streams of a peer, and FindOrigin answers a question for one; they
	// may be nil.
	Origins    func([]slugorigin.Origin)
	FindOrigin func(OriginQuery) (OriginAnswer, *ObservedSpan)
	// Quota answers a host that asks this process as the owner of quotas, or returns nil; it may
	// be nil.
	Quota func(slugname.Process, slugquota.Request) *slugquota.Answer
	// UsageReported is called with the counts of accounting windows of a peer; it may be nil.
	UsageReported func(slugname.Process, []WindowCount)
	// Fanout is the number of live peers called per round; 0 means 2.
	Fanout int
	// Interval returns the time between rounds, which is jittered by up to 10 %; nil means
	// DefaultInterval.
	Interval func() time.Duration
}

// Timing and size limits of the gossip.
const (
	// DefaultInterval is the default time between rounds.
	DefaultInterval = time.Second
	// callTimeout bounds one exchange with a peer, and one fetch of a configuration.
	callTimeout = time.Second
	// baseAliveTimeout is how long a process counts as alive after its last heartbeat if one
	// digest can hold all rows, and aliveRounds the number of rounds that a heartbeat has at
	// least to arrive. Table.aliveTimeout extends the time for larger systems.
	baseAliveTimeout = 4 * time.Second
	aliveRounds      = 7
	// maxDigestRows bounds the rows in a digest, and so the size of an exchange.
	maxDigestRows = 40
	// silentRowTTL is how long the row of a silent process is kept.
	silentRowTTL = time.Minute
	// nearNeighbours and farNeighbours are the numbers of peers in this data centre and in
	// others with which a process of a large system exchanges rows.
	nearNeighbours, farNeighbours = 8, 4
	// farRounds is the number of rounds in which a far neighbour is called once on average.
	farRounds = 2
	// defaultFanout is the default of Config.Fanout.
	defaultFanout = 2
	// silentCallInterval is the time between calls to silent processes. Each call costs a
	// handshake, and most of these processes are gone for good.
	silentCallInterval = time.Second
	// pushFanout is the number of live peers called at once for an urgent change.
	pushFanout = 32
)

// rowState is a row with what is known about its owner.
type rowState struct {
	row Row
	// version counts the changes that the owner made to the row.
	version   uint32
	heartbeat uint32
	// heartbeatAt is when the heartbeat last grew.
	heartbeatAt time.Time
	// confirmedAt is when the configuration of the owner was last confirmed to be the
	// newest.
	confirmedAt slugclock.Instant
}

// Table holds the rows of all processes. Its methods are safe for concurrent use.
type Table struct {
	cfg  Config
	self slugmember.ID

	mu   sync.Mutex
	rows map[slugmember.ID]*rowState
	// latest holds the process of each slot that was heard last. The others have ended, since a
	// host runs one process of a kind at a time.
	latest map[slot]slugmember.ID
	// lastSilentCall is when a silent process was last called.
	lastSilentCall time.Time
}

// New returns a Table that holds only the row of this process.
func New(cfg Config) *Table {
	if cfg.Fanout == 0 {
		cfg.Fanout = defaultFanout
	}
	if cfg.Interval == nil {
		cfg.Interval = func() time.Duration { return DefaultInterval }
	}
	t := &Table{cfg: cfg, self: slugmember.IDOf(cfg.Self.Process), rows: map[slugmember.ID]*rowState{}, latest: map[slot]slugmember.ID{}}
	t.rows[t.self] = &rowState{version: 1, row: Row{Process: cfg.Self.Process, Kind: cfg.Self.Kind, Host: cfg.Self.Host}, heartbeatAt: time.Now()}
	t.heard(t.self)
	return t
}

// Update changes the row of this process. The new version spreads in the next rounds, unless
// the row is the same as before.
func (t *Table) Update(f func(*Row)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.rows[t.self]
	next := state.row
	f(&next)
	if reflect.DeepEqual(next, state.row) {
		return
	}
	state.row = next
	state.version++
}

// Self returns the row of this process.
func (t *Table) Self() Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[t.self].row
}

// Run exchanges rows with peers periodically until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		t.advanceHeartbeat()
		// A peer that does not answer must not delay the next round.
		wg.Go(func() { t.runRound(ctx, t.cfg.Fanout) })
		interval := t.cfg.Interval()
		jitter := interval*9/10 + time.Duration(rand.Int64N(int64(interval/5)))
		_ = slugbackoff.Sleep(ctx, jitter)
	}
	return nil
}

// Push exchanges rows with many peers at once, so that an urgent change need not wait for
// the next rounds.
func (t *Table) Push(ctx context.Context) {
	t.advanceHeartbeat()
	t.runRound(ctx, pushFanout)
}

// advanceHeartbeat increments the heartbeat of this process, and forgets rows that have
// been silent for too long.
func (t *Table) advanceHeartbeat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	self := t.rows[t.self]
	self.heartbeat++
	self.heartbeatAt, self.confirmedAt = now, t.cfg.LastConfirmed()
	// The revision is read after the confirmation: peers must not take that of a newer revision
	// for one of the revision in the row.
	if t.cfg.Revision != nil {
		if r := t.cfg.Revision(); r > self.row.Revision {
			self.row.Revision = r
			self.version++
		}
	}
	t.heard(t.self)
	for id, state := range t.rows {
		if id != t.self && now.Sub(state.heartbeatAt) > silentRowTTL {
			t.forget(id)
		}
	}
}

// runRound exchanges rows with up to fanout random live peers, and at times with a silent
// one, so that the sides of a network partition find each other again.
func (t *Table) runRound(ctx context.Context, fanout int) {
	alive, silent := t.splitByLiveness()
	chosen := t.choosePeers(alive, fanout)
	if len(silent) > 0 && t.silentCallDue(len(alive)) {
		chosen = append(chosen, silent[rand.IntN(len(silent))])
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range chosen {
		group.Go(func() error {
			// A peer that does not answer is noticed by its silence.
			_ = t.Exchange(ctx, p)
			return nil
		})
	}
	_ = group.Wait()
}

// Neighbours returns up to n live peers, chosen like those of a round.
func (t *Table) Neighbours(n int) []slugmember.Record {
	alive, _ := t.splitByLiveness()
	return t.choosePeers(alive, min(n, t.cfg.Fanout))
}

// choosePeers returns the peers to call in one round. In a small system, and for an urgent
// push, all live peers are equally likely. In a large system a process calls a few near
// neighbours, and in some rounds a far one, so that its connections stay in use and most rows
// stay in their data centre.
func (t *Table) choosePeers(alive []slugmember.Record, fanout int) []slugmember.Record {
	if len(alive) <= nearNeighbours+farNeighbours || fanout > t.cfg.Fanout {
		rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
		return alive[:min(fanout, len(alive))]
	}
	var near, far []slugname.Process
	records := make(map[slugname.Process]slugmember.Record, len(alive))
	for _, r := range alive {
		records[r.Process] = r
		if r.DataCentre == t.cfg.Self.DataCentre {
			near = append(near, r.Process)
		} else {
			far = append(far, r.Process)
		}
	}
	subject := string(t.cfg.Self.Process)
	near, far = slugmember.HighestRanked(subject, near, nearNeighbours), slugmember.HighestRanked(subject, far, farNeighbours)
	farCalls := 0
	if len(far) > 0 && (len(near) == 0 || rand.IntN(farRounds) == 0) {
		farCalls = 1
	}
	var out []slugmember.Record
	for _, i := range rand.Perm(len(near))[:min(len(near), max(1, fanout-1))] {
		out = append(out, records[near[i]])
	}
	for _, i := range rand.Perm(len(far))[:farCalls] {
		out = append(out, records[far[i]])
	}
	return out
}

// silentCallDue reports whether a silent process is to be called in this round, and
// records the call: always as long as no other process is alive, otherwise once per
// silentCallInterval.
func (t *Table) silentCallDue(alive int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if alive > 0 && now.Sub(t.lastSilentCall) < silentCallInterval {
		return false
	}
	t.lastSilentCall = now
	return true
}

// Exchange sends a digest to a peer and merges the newer rows in its answer. If there are
// rows that either side still lacks, a second call exchanges them.
func (t *Table) Exchange(ctx context.Context, p slugmember.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestSentAt := slugclock.Now()
	answer, err := t.cfg.Call(ctx, p, Message{Protocol: Protocol, Digest: t.digest(), Rows: t.rowsFor([]slugmember.ID{t.self})})
	if err != nil {
		return err
	}
	t.mergeMessage(answer, requestSentAt)
	t.reportClock(p.Process, answer, requestSentAt)
	rows, want := t.compareDigest(answer.Digest)
	rows = append(rows, t.rowsFor(answer.Want)...)
	if len(rows)+len(want) == 0 {
		return nil
	}
	if answer, err = t.cfg.Call(ctx, p, Message{Protocol: Protocol, Rows: rows, Want: want}); err == nil {
		t.mergeMessage(answer, slugclock.Instant{})
	}
	return err
}

// Serve answers a message from a process.
func (t *Table) Serve(from slugname.Process, m Message) Message {
	answer := Message{Protocol: Protocol}
	if m.Follow != nil && t.cfg.Follow != nil {
		answer.Changes = t.cfg.Follow(*m.Follow)
		return answer
	}
	if m.Notices != nil && t.cfg.Notices != nil {
		t.cfg.Notices(m.Notices)
		return answer
	}
	if m.Ends != nil && t.cfg.Ends != nil {
		t.cfg.Ends(m.Ends)
		if m.Announcement == nil {
			return answer
		}
	}
	if m.Announcement != nil && t.cfg.Announce != nil {
		t.cfg.Announce(m, &answer)
		return answer
	}
	if m.Evidence != nil && t.cfg.Evidence != nil {
		answer.Evidence = t.cfg.Evidence(m.Evidence, m.CompareEvidence)
		return answer
	}
	if m.Origins != nil && t.cfg.Origins != nil {
		t.cfg.Origins(m.Origins)
		return answer
	}
	if m.FindOrigin != nil && t.cfg.FindOrigin != nil {
		found, observed := t.cfg.FindOrigin(*m.FindOrigin)
		answer.Origin, answer.Observed = &found, observed
		return answer
	}
	if m.Quota != nil && t.cfg.Quota != nil {
		answer.QuotaAnswer = t.cfg.Quota(from, *m.Quota)
		return answer
	}
	if m.Usage != nil && t.cfg.UsageReported != nil {
		t.cfg.UsageReported(from, m.Usage)
		return answer
	}
	if t.cfg.Clock != nil {
		answer.ClockNs = t.cfg.Clock().UnixNano()
	}
	t.mergeMessage(m, slugclock.Instant{})
	if m.WantBundle > 0 && t.cfg.Bundle != nil {
		answer.Bundle = t.cfg.Bundle()
	}
	if m.Digest != nil {
		answer.Rows, answer.Want = t.compareDigest(m.Digest)
		answer.Digest = t.digest()
	}
	answer.Rows = append(answer.Rows, t.rowsFor(m.Want)...)
	return answer
}

// digest returns the entry of this process and those of other rows, maxDigestRows at most.
func (t *Table) digest() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	out := make([]Entry, 0, min(len(t.rows), maxDigestRows))
	out = append(out, t.rows[t.self].entry(t.self, now))
	// Maps are iterated in random order, so over several rounds every row is included.
	for id, state := range t.rows {
		if len(out) >= maxDigestRows {
			break
		}
		if id != t.self && !t.replaced(id) {
			out = append(out, state.entry(id, now))
		}
	}
	return out
}

// entry returns the digest entry of a row.
func (s *rowState) entry(id slugmember.ID, now time.Time) Entry {
	return Entry{ID: id, Version: s.version, Heartbeat: s.heartbeat, ConfirmedAge: confirmedAge(s.confirmedAt), HeartbeatAge: ageUnits(now.Sub(s.heartbeatAt))}
}

// versionedRow returns the row as sent to peers.
func (s *rowState) versionedRow(now time.Time) VersionedRow {
	return VersionedRow{Version: s.version, Row: s.row, Heartbeat: s.heartbeat, HeartbeatAge: ageUnits(now.Sub(s.heartbeatAt))}
}

// confirmedAge returns the age of a confirmation in units of ageUnit.
func confirmedAge(confirmedAt slugclock.Instant) uint32 {
	if confirmedAt.IsZero() {
		return unknownAge
	}
	return ageUnits(slugclock.Since(confirmedAt))
}

// ageUnits rounds an age up to whole units of ageUnit, and caps it at unknownAge.
func ageUnits(age time.Duration) uint32 {
	return uint32(min(unknownAge, (age+ageUnit-1)/ageUnit))
}

// compareDigest returns the rows that this process has in a newer version than the digest,
// and the IDs of those that it lacks or has in an older version.
func (t *Table) compareDigest(digest []Entry) (newer []VersionedRow, want []slugmember.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range digest {
		state := t.rows[e.ID]
		switch {
		case e.ID == t.self && e.Version > state.version:
		case state == nil || state.row.Process == "" || state.version < e.Version:
			want = append(want, e.ID)
		case state.version > e.Version:
			newer = append(newer, state.versionedRow(time.Now()))
		}
	}
	return newer, want
}

// rowsFor returns the wanted rows that this process has.
func (t *Table) rowsFor(want []slugmember.ID) []VersionedRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []VersionedRow
	for _, id := range want {
		if state := t.rows[id]; state != nil && state.row.Process != "" {
			out = append(out, state.versionedRow(time.Now()))
		}
	}
	return out
}

// mergeMessage merges the rows and heartbeats of a message. requestSentAt is when this
// process sent the digest that the message answers. It is zero for other messages: a request
// from a peer may have been in transit for any length of time, so it does not show how fresh
// the sender's configuration is.
func (t *Table) mergeMessage(m Message, requestSentAt slugclock.Instant) {
	now := time.Now()
	for _, r := range m.Rows {
		t.mergeRow(r, now)
	}
	for _, e := range m.Digest {
		t.mergeEntry(e, now, requestSentAt)
	}
}

// reportClock reports the clock of a peer that answered, taken to be read in the middle of
// the call.
func (t *Table) reportClock(p slugname.Process, answer Message, requestSentAt slugclock.Instant) {
	if t.cfg.ClockReported == nil || answer.ClockNs == 0 {
		return
	}
	t.cfg.ClockReported(p, time.Unix(0, answer.ClockNs), requestSentAt.Add(slugclock.Since(requestSentAt)/2))
}

// mergeRow stores the row of another process if it is newer than the known version.
func (t *Table) mergeRow(r VersionedRow, now time.Time) {
	id := slugmember.IDOf(r.Row.Process)
	if id == t.self {
		return
	}
	t.mu.Lock()
	state := t.rows[id]
	if state == nil {
		state = &rowState{heartbeatAt: now}
		t.rows[id] = state
	}
	changed := r.Version > state.version
	if changed {
		state.version, state.row = r.Version, r.Row
	}
	state.mergeHeartbeat(r.Heartbeat, r.HeartbeatAge, now)
	t.heard(id)
	t.mu.Unlock()
	if changed && t.cfg.RowChanged != nil {
		t.cfg.RowChanged(r.Row)
	}
}

// mergeHeartbeat takes a heartbeat that a peer saw some time ago, unless a later one is known.
func (s *rowState) mergeHeartbeat(heartbeat, age uint32, now time.Time) {
	if heartbeat > s.heartbeat {
		s.heartbeat, s.heartbeatAt = heartbeat, now.Add(-time.Duration(min(age, unknownAge))*ageUnit)
	}
}

// mergeEntry updates the heartbeat and the freshness of a known row from a digest entry.
func (t *Table) mergeEntry(e Entry, now time.Time, requestSentAt slugclock.Instant) {
	if e.ID == t.self {
		return
	}
	t.mu.Lock()
	state := t.rows[e.ID]
	if state == nil {
		t.mu.Unlock()
		return
	}
	state.mergeHeartbeat(e.Heartbeat, e.HeartbeatAge, now)
	t.heard(e.ID)
	if confirmedAt := requestSentAt.Add(-time.Duration(e.ConfirmedAge) * ageUnit); !requestSentAt.IsZero() && e.ConfirmedAge < unknownAge && confirmedAt.After(state.confirmedAt) {
		state.confirmedAt = confirmedAt
	}
	revision, confirmedAt, sameVersion := state.row.Revision, state.confirmedAt, e.Version == state.version
	t.mu.Unlock()
	if sameVersion && !confirmedAt.IsZero() && t.cfg.RevisionConfirmed != nil {
		t.cfg.RevisionConfirmed(revision, confirmedAt)
	}
}
