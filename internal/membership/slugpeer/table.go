package slugpeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"golang.org/x/sync/errgroup"
)

// Config makes a Table.
type Config struct {
	Self slugmember.Record
	// Call sends a message to a process and returns its answer.
	Call func(ctx context.Context, to slugmember.Record, m Message) (Message, error)
	// Peers returns all known processes.
	Peers func() []slugmember.Record
	// Word returns when this process last had word of the newest configuration.
	Word func() slugclock.Instant
	// Heard is called for each row that is new or changed; it may be nil.
	Heard func(Row)
	// HeardWord is called with each peer's revision and the time of its word; it
	// may be nil.
	HeardWord func(slugconfig.Revision, slugclock.Instant)
	// Clock returns this process's count of the time of day, and HeardClock takes a
	// peer's, which was true at an instant. Both may be nil.
	Clock      func() time.Time
	HeardClock func(slugname.Process, time.Time, slugclock.Instant)
	// Bundle encodes the configuration in force for a peer; it may be nil.
	Bundle func() []byte
	// Follow answers a peer that follows objects in the store; it may be nil.
	Follow func(Follow) *News
	// Announce takes a prompt that a peer announces for an endpoint; it may be nil.
	Announce func(Announce) *Announced
	// HeardUsage takes a peer's figures of accounting windows; it may be nil.
	HeardUsage func(slugname.Process, []WindowCount)
	// Fanout is the number of peers called a round.
	Fanout int
	// Every returns the time between rounds; nil means Round.
	Every func() time.Duration
}

// Times of the exchange.
const (
	// Round is the time between exchanges.
	Round = time.Second
	// callTimeout bounds one exchange.
	callTimeout = time.Second
	// aliveFor is how long after its last heartbeat a process counts as alive, as
	// long as a digest holds all rows. With more rows it grows as they do.
	aliveFor = 4 * time.Second
	// digestRows bounds the rows in one digest, and so the bytes of an exchange.
	digestRows = 40
	// forgetAfter is how long a silent row is kept.
	forgetAfter = time.Minute
	// defaultFanout is the number of peers called a round.
	defaultFanout = 2
	// silentEvery is the time between calls to processes that are silent: each costs a
	// handshake, and most of them are gone.
	silentEvery = time.Second
	// pushFanout is the number of peers told of an urgent change at once.
	pushFanout = 32
)

// held is a row with what is known of its owner.
type held struct {
	row       Row
	version   uint32
	heartbeat uint32
	// heardAt is when the heartbeat last grew.
	heardAt time.Time
	// word is when the owner last had word.
	word slugclock.Instant
}

// Table holds the rows of all processes.
type Table struct {
	cfg  Config
	self slugmember.ID

	mu   sync.Mutex
	rows map[slugmember.ID]*held
	// silentTried is when a silent process was last called.
	silentTried time.Time
}

// New returns a Table with this process's row.
func New(cfg Config) *Table {
	if cfg.Fanout == 0 {
		cfg.Fanout = defaultFanout
	}
	if cfg.Every == nil {
		cfg.Every = func() time.Duration { return Round }
	}
	t := &Table{cfg: cfg, self: slugmember.IDOf(cfg.Self.Process), rows: map[slugmember.ID]*held{}}
	t.rows[t.self] = &held{version: 1, row: Row{Process: cfg.Self.Process, Kind: cfg.Self.Kind, Host: cfg.Self.Host}, heardAt: time.Now()}
	return t
}

// Update changes this process's row.
func (t *Table) Update(f func(*Row)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.rows[t.self]
	f(&h.row)
	h.version++
}

// Self returns this process's row.
func (t *Table) Self() Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[t.self].row
}

// Status is a row with what is known of its owner.
type Status struct {
	Row
	// Alive tells that the heartbeat grew lately, so that messages of the owner get
	// here, directly or through others.
	Alive bool
	// Word is when the owner last had word of the newest configuration.
	Word slugclock.Instant
}

// Statuses returns all rows in order of process, this one's included.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	alive := t.aliveFor()
	out := make([]Status, 0, len(t.rows))
	for id, h := range t.rows {
		if h.row.Process == "" {
			continue
		}
		s := Status{Row: h.row, Alive: id == t.self || now.Sub(h.heardAt) < alive, Word: h.word}
		if id == t.self {
			s.Word = t.cfg.Word()
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Process < b.Process {
			return -1
		}
		return 1
	})
	return out
}

// Run exchanges rows until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		t.beat()
		// A peer that does not answer must not hold the next round up.
		wg.Go(func() { t.round(ctx, t.cfg.Fanout) })
		every := t.cfg.Every()
		jitter := every*9/10 + time.Duration(rand.Int64N(int64(every/5)))
		_ = slugbackoff.Sleep(ctx, jitter)
	}
	return nil
}

// Push exchanges with many peers at once, for changes that must not wait.
func (t *Table) Push(ctx context.Context) {
	t.beat()
	t.round(ctx, pushFanout)
}

// beat advances this process's heartbeat and forgets silent rows.
func (t *Table) beat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	self := t.rows[t.self]
	self.heartbeat++
	self.heardAt, self.word = now, t.cfg.Word()
	for id, h := range t.rows {
		if id != t.self && now.Sub(h.heardAt) > forgetAfter {
			delete(t.rows, id)
		}
	}
}

// round exchanges with a few random peers that are alive, and with one that is not,
// so that parts of a system that were cut off find each other again.
func (t *Table) round(ctx context.Context, fanout int) {
	alive, silent := t.split()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	chosen := alive[:min(fanout, len(alive))]
	if len(silent) > 0 && t.silentDue(len(alive)) {
		chosen = append(chosen, silent[rand.IntN(len(silent))])
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, p := range chosen {
		g.Go(func() error {
			t.exchange(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
}

// silentDue reports whether a silent process is to be called now: in each round as long
// as nobody else is known, else at times.
func (t *Table) silentDue(alive int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if alive > 0 && now.Sub(t.silentTried) < silentEvery {
		return false
	}
	t.silentTried = now
	return true
}

// split returns the other processes by whether they are alive.
func (t *Table) split() (alive, silent []slugmember.Record) {
	now := time.Now()
	peers := t.cfg.Peers()
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.aliveFor()
	for _, p := range peers {
		id := slugmember.IDOf(p.Process)
		h := t.rows[id]
		switch {
		case id == t.self:
		case h != nil && h.row.Process != "" && now.Sub(h.heardAt) < limit:
			alive = append(alive, p)
		default:
			silent = append(silent, p)
		}
	}
	return alive, silent
}

// aliveFor returns how long after its last heartbeat a process counts as alive;
// t.mu is held.
func (t *Table) aliveFor() time.Duration {
	return aliveFor * time.Duration(1+len(t.rows)/digestRows)
}

// exchange sends a digest, takes newer rows, and sends the rows that the peer wants
// for those that this process wants.
func (t *Table) exchange(ctx context.Context, p slugmember.Record) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := slugclock.Now()
	answer, err := t.cfg.Call(ctx, p, Message{Protocol: Protocol, Digest: t.digest(), Rows: t.rowsOf([]slugmember.ID{t.self})})
	if err != nil {
		return
	}
	t.take(answer, asked)
	t.takeClock(p.Process, answer, asked)
	rows, want := t.compare(answer.Digest)
	rows = append(rows, t.rowsOf(answer.Want)...)
	if len(rows)+len(want) == 0 {
		return
	}
	if answer, err = t.cfg.Call(ctx, p, Message{Protocol: Protocol, Rows: rows, Want: want}); err == nil {
		t.take(answer, slugclock.Instant{})
	}
}

// Serve answers a message of a process.
func (t *Table) Serve(from slugname.Process, m Message) Message {
	answer := Message{Protocol: Protocol}
	if m.Follow != nil && t.cfg.Follow != nil {
		answer.News = t.cfg.Follow(*m.Follow)
		return answer
	}
	if m.Announce != nil && t.cfg.Announce != nil {
		answer.Announced = t.cfg.Announce(*m.Announce)
		return answer
	}
	if m.Usage != nil && t.cfg.HeardUsage != nil {
		t.cfg.HeardUsage(from, m.Usage)
		return answer
	}
	if t.cfg.Clock != nil {
		answer.ClockNs = t.cfg.Clock().UnixNano()
	}
	t.take(m, slugclock.Instant{})
	if m.WantBundle > 0 && t.cfg.Bundle != nil {
		answer.Bundle = t.cfg.Bundle()
	}
	if m.Digest != nil {
		answer.Rows, answer.Want = t.compare(m.Digest)
		answer.Digest = t.digest()
	}
	answer.Rows = append(answer.Rows, t.rowsOf(m.Want)...)
	return answer
}

// ErrNoBundle says that no peer has the configuration that was asked for.
var ErrNoBundle = errors.New("no peer has the revision")

// FetchBundle asks peers that have a revision for its configuration.
func (t *Table) FetchBundle(ctx context.Context, r slugconfig.Revision) ([]byte, error) {
	have := map[slugname.Process]bool{}
	for _, s := range t.Statuses() {
		have[s.Process] = s.Alive && s.Revision >= r
	}
	for _, p := range t.cfg.Peers() {
		if !have[p.Process] || p.Process == t.cfg.Self.Process {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		answer, err := t.cfg.Call(callCtx, p, Message{Protocol: Protocol, WantBundle: r})
		cancel()
		if err == nil && answer.Bundle != nil {
			return answer.Bundle, nil
		}
	}
	return nil, ErrNoBundle
}

func (t *Table) digest() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	out := make([]Entry, 0, min(len(t.rows), digestRows))
	out = append(out, t.rows[t.self].entry(t.self, now))
	// The order of a map differs from time to time, so every row has its turn.
	for id, h := range t.rows {
		if len(out) >= digestRows {
			break
		}
		if id != t.self {
			out = append(out, h.entry(id, now))
		}
	}
	return out
}

func (h *held) entry(id slugmember.ID, now time.Time) Entry {
	return Entry{ID: id, Version: h.version, Heartbeat: h.heartbeat, WordAge: wordAge(h.word), HeardAge: units(now.Sub(h.heardAt))}
}

func wordAge(word slugclock.Instant) uint32 {
	if word.IsZero() {
		return noWord
	}
	return units(slugclock.Since(word))
}

// units rounds an age up to whole units.
func units(age time.Duration) uint32 {
	return uint32(min(noWord, (age+wordUnit-1)/wordUnit))
}

// compare returns the rows of a digest that this process has in a newer version, and
// those that it lacks or has in an older one.
func (t *Table) compare(digest []Entry) (newer []VersionedRow, want []slugmember.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range digest {
		h := t.rows[e.ID]
		switch {
		case e.ID == t.self && e.Version > h.version:
		case h == nil || h.row.Process == "" || h.version < e.Version:
			want = append(want, e.ID)
		case h.version > e.Version:
			newer = append(newer, VersionedRow{h.version, h.row})
		}
	}
	return newer, want
}

// rowsOf returns the wanted rows.
func (t *Table) rowsOf(want []slugmember.ID) []VersionedRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []VersionedRow
	for _, id := range want {
		if h := t.rows[id]; h != nil && h.row.Process != "" {
			out = append(out, VersionedRow{h.version, h.row})
		}
	}
	return out
}

// take merges rows and heartbeats of a message. asked is when this process asked for
// it, zero for a message that came by itself: nobody knows how long that was under
// way, so it tells nothing of how fresh its sender's word is.
func (t *Table) take(m Message, asked slugclock.Instant) {
	now := time.Now()
	for _, r := range m.Rows {
		t.takeRow(r, now)
	}
	for _, e := range m.Digest {
		t.takeEntry(e, now, asked)
	}
}

// takeClock takes the count of a peer that answered, as of the middle of the call.
func (t *Table) takeClock(p slugname.Process, answer Message, asked slugclock.Instant) {
	if t.cfg.HeardClock == nil || answer.ClockNs == 0 {
		return
	}
	t.cfg.HeardClock(p, time.Unix(0, answer.ClockNs), asked.Add(slugclock.Since(asked)/2))
}

func (t *Table) takeRow(r VersionedRow, now time.Time) {
	id := slugmember.IDOf(r.Row.Process)
	if id == t.self {
		return
	}
	t.mu.Lock()
	h := t.rows[id]
	if h == nil {
		h = &held{heardAt: now}
		t.rows[id] = h
	}
	changed := r.Version > h.version
	if changed {
		h.version, h.row = r.Version, r.Row
	}
	t.mu.Unlock()
	if changed && t.cfg.Heard != nil {
		t.cfg.Heard(r.Row)
	}
}

func (t *Table) takeEntry(e Entry, now time.Time, asked slugclock.Instant) {
	if e.ID == t.self {
		return
	}
	t.mu.Lock()
	h := t.rows[e.ID]
	if h == nil {
		t.mu.Unlock()
		return
	}
	if e.Heartbeat > h.heartbeat {
		h.heartbeat, h.heardAt = e.Heartbeat, now.Add(-time.Duration(min(e.HeardAge, noWord))*wordUnit)
	}
	if word := asked.Add(-time.Duration(e.WordAge) * wordUnit); !asked.IsZero() && e.WordAge < noWord && word.After(h.word) {
		h.word = word
	}
	revision, word, known := h.row.Revision, h.word, e.Version == h.version
	t.mu.Unlock()
	if known && !word.IsZero() && t.cfg.HeardWord != nil {
		t.cfg.HeardWord(revision, word)
	}
}
