// Package slugburn counts how many requests met their service level objectives, from
// which burn rates of the error budget are computed.
//
// A burn rate of 1 uses up exactly the failures that the objective allows; a rate of 10
// uses them up ten times as fast.
//
// # Usage
//
//	b := slugburn.New()
//	b.Add(key, slugburn.FirstToken, slugburn.Count{Good: 1, Total: 1}, time.Now())
//	lines := b.Report(time.Now())
package slugburn

import (
	"sort"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Objective is a latency measure that has a service level objective.
type Objective int

// Possible values of Objective.
const (
	// FirstToken is the time from the request to the first token of the response.
	FirstToken Objective = iota
	// BetweenTokens is the time between consecutive tokens of a response.
	BetweenTokens
	// Completion is the time from the request to the end of the response.
	Completion
	objectiveCount
)

// String returns the name of the objective as used in reports.
func (o Objective) String() string {
	return [...]string{"firstToken", "betweenTokens", "completion"}[o]
}

// Key identifies the requests that are counted together.
type Key struct {
	Service   slugname.Service
	Workspace slugname.Workspace
	Class     slugmanifest.Class
}

// Count holds the number of events that met an objective and of all events.
type Count struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

func (c *Count) add(other Count) {
	c.Good += other.Good
	c.Total += other.Total
}

// Share returns the fraction of good events, or 1 if there are no events.
func (c Count) Share() float64 {
	if c.Total == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Total)
}

// Rate returns the burn rate for a target share of good events. It is 0 for a target of
// 1 or more, for which no rate is defined.
func (c Count) Rate(target float64) float64 {
	if target >= 1 {
		return 0
	}
	return (1 - c.Share()) / (1 - target)
}

// Windows are the periods over which burn rates are reported.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// bucketTime is the resolution of the counts.
	bucketTime = time.Minute
	// bucketCount is the number of buckets of a series: the 360 minutes of the longest
	// of Windows, and one more.
	bucketCount = 361
)

// series holds the counts of one key and objective in a ring of one-minute buckets.
type series struct {
	buckets [bucketCount]Count
	// minute is the minute since 1970 that each bucket holds.
	minute [bucketCount]int64
}

// add adds a count to the bucket of a minute, clearing the bucket if it holds an older
// one.
func (s *series) add(c Count, minute int64) {
	i := minute % bucketCount
	if s.minute[i] != minute {
		s.minute[i] = minute
		s.buckets[i] = Count{}
	}
	s.buckets[i].add(c)
}

// sum adds up the n minutes that end with the given one.
func (s *series) sum(minute, n int64) Count {
	var c Count
	for m := minute - n + 1; m <= minute; m++ {
		if i := m % bucketCount; m >= 0 && s.minute[i] == m {
			c.add(s.buckets[i])
		}
	}
	return c
}

// shardCount is the number of separately locked shards, which reduce lock contention.
const shardCount = 16

type shard struct {
	mu     sync.Mutex
	series map[Key]*[objectiveCount]series
}

// Burn holds the counts of one process. It is safe for concurrent use.
type Burn struct {
	shards [shardCount]shard
}

// New returns a Burn without counts.
func New() *Burn {
	b := &Burn{}
	for i := range b.shards {
		b.shards[i].series = map[Key]*[objectiveCount]series{}
	}
	return b
}

// shard returns the shard of a key, by a hash of its workspace.
func (b *Burn) shard(k Key) *shard {
	h := uint(0)
	for i := range len(k.Workspace) {
		h = h*31 + uint(k.Workspace[i])
	}
	return &b.shards[h%shardCount]
}

// Add counts events that occurred at the given time.
func (b *Burn) Add(k Key, o Objective, c Count, now time.Time) {
	if c.Total == 0 {
		return
	}
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	perObjective := s.series[k]
	if perObjective == nil {
		perObjective = &[objectiveCount]series{}
		s.series[k] = perObjective
	}
	perObjective[o].add(c, now.Unix()/int64(bucketTime.Seconds()))
}

// Line holds the counts of one objective of one key.
type Line struct {
	Service   slugname.Service   `json:"service"`
	Workspace slugname.Workspace `json:"workspace"`
	Class     slugmanifest.Class `json:"class"`
	Objective string             `json:"objective"`
	// Counts holds the events of each of Windows.
	Counts []Count `json:"counts"`
}

// Report returns a line for every key and objective with events in the longest of
// Windows.
func (b *Burn) Report(now time.Time) []Line {
	minute := now.Unix() / int64(bucketTime.Seconds())
	lines := []Line{}
	for i := range b.shards {
		lines = append(lines, b.shards[i].report(minute)...)
	}
	Sort(lines)
	return lines
}

func (s *shard) report(minute int64) []Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []Line
	for k, perObjective := range s.series {
		for o := range objectiveCount {
			l := Line{k.Service, k.Workspace, k.Class, o.String(), make([]Count, len(Windows))}
			for w, d := range Windows {
				l.Counts[w] = perObjective[o].sum(minute, int64(d/bucketTime))
			}
			if l.Counts[len(Windows)-1].Total > 0 {
				lines = append(lines, l)
			}
		}
	}
	return lines
}

// Sort orders lines by service, workspace, class and objective.
func Sort(lines []Line) {
	sort.Slice(lines, func(i, j int) bool { return lines[i].sortKey() < lines[j].sortKey() })
}

// sortKey identifies the line and determines its order.
func (l Line) sortKey() string {
	return string(l.Service) + "\x00" + string(l.Workspace) + "\x00" + string(l.Class) + "\x00" + l.Objective
}

// Merge adds up the counts that several processes reported.
func Merge(reports ...[]Line) []Line {
	sums := map[string]*Line{}
	for _, lines := range reports {
		for _, l := range lines {
			sum := sums[l.sortKey()]
			if sum == nil {
				c := l
				c.Counts = make([]Count, len(Windows))
				sum = &c
				sums[l.sortKey()] = sum
			}
			for i := range min(len(l.Counts), len(Windows)) {
				sum.Counts[i].add(l.Counts[i])
			}
		}
	}
	out := make([]Line, 0, len(sums))
	for _, l := range sums {
		out = append(out, *l)
	}
	Sort(out)
	return out
}
