// Package slugburn counts how many requests met their service levels, and tells
// how fast the allowed failures are being used up.
//
// A burn rate of 1 uses up exactly what the objective's share allows; 10 uses it
// up ten times as fast.
//
// # Usage
//
//	b := slugburn.New()
//	b.Add(key, slugburn.FirstToken, 1, 1, time.Now())
//	report := b.Report(shares, time.Now())
package slugburn

import (
	"sort"
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Objective is one measure of a service level.
type Objective int

// The objectives.
const (
	// FirstToken is the time from the request to the first token.
	FirstToken Objective = iota
	// BetweenTokens is the time between tokens of an answer.
	BetweenTokens
	// Completion is the time from the request to the end of the answer.
	Completion
	objectiveCount
)

// String returns the name of the objective in reports.
func (o Objective) String() string {
	return [...]string{"firstToken", "betweenTokens", "completion"}[o]
}

// Key is what is counted apart.
type Key struct {
	Service   slugname.Service
	Workspace slugname.Workspace
	Class     slugmanifest.Class
}

// Count is a number of good events among all.
type Count struct {
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
}

func (c *Count) add(x Count) {
	c.Good += x.Good
	c.Total += x.Total
}

// Share returns the good part, 1 when nothing was counted.
func (c Count) Share() float64 {
	if c.Total == 0 {
		return 1
	}
	return float64(c.Good) / float64(c.Total)
}

// Rate returns the burn rate against a wanted share.
func (c Count) Rate(want float64) float64 {
	if want >= 1 {
		return 0
	}
	return (1 - c.Share()) / (1 - want)
}

// Windows over which burn rates are told.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	// bucketTime is the resolution of the counts.
	bucketTime = time.Minute
	// bucketCount covers the longest window.
	bucketCount = 361
)

// series holds the counts of one key and objective, a bucket a minute.
type series struct {
	buckets [bucketCount]Count
	minute  [bucketCount]int64
}

func (s *series) add(c Count, minute int64) {
	i := minute % bucketCount
	if s.minute[i] != minute {
		s.minute[i] = minute
		s.buckets[i] = Count{}
	}
	s.buckets[i].add(c)
}

func (s *series) sum(minute, n int64) Count {
	var c Count
	for m := minute - n + 1; m <= minute; m++ {
		if i := m % bucketCount; m >= 0 && s.minute[i] == m {
			c.add(s.buckets[i])
		}
	}
	return c
}

// shardCount is the number of separately locked parts.
const shardCount = 16

type shard struct {
	mu     sync.Mutex
	series map[Key]*[objectiveCount]series
}

// Burn holds the counts of one process.
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

func (b *Burn) shard(k Key) *shard {
	h := uint(0)
	for i := range len(k.Workspace) {
		h = h*31 + uint(k.Workspace[i])
	}
	return &b.shards[h%shardCount]
}

// Add counts events at a time.
func (b *Burn) Add(k Key, o Objective, c Count, now time.Time) {
	if c.Total == 0 {
		return
	}
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.series[k]
	if x == nil {
		x = &[objectiveCount]series{}
		s.series[k] = x
	}
	x[o].add(c, now.Unix()/int64(bucketTime.Seconds()))
}

// Line is the state of one objective of one key.
type Line struct {
	Service   slugname.Service   `json:"service"`
	Workspace slugname.Workspace `json:"workspace"`
	Class     slugmanifest.Class `json:"class"`
	Objective string             `json:"objective"`
	// Counts are the events in each of Windows.
	Counts []Count `json:"counts"`
}

// Report returns a line for every key and objective that was counted.
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
	for k, x := range s.series {
		for o := range objectiveCount {
			l := Line{k.Service, k.Workspace, k.Class, o.String(), make([]Count, len(Windows))}
			for w, d := range Windows {
				l.Counts[w] = x[o].sum(minute, int64(d/bucketTime))
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
	sort.Slice(lines, func(i, j int) bool { return lines[i].name() < lines[j].name() })
}

func (l Line) name() string {
	return string(l.Service) + "\x00" + string(l.Workspace) + "\x00" + string(l.Class) + "\x00" + l.Objective
}

// Merge adds the counts of several processes' reports.
func Merge(reports ...[]Line) []Line {
	sums := map[string]*Line{}
	for _, lines := range reports {
		for _, l := range lines {
			sum := sums[l.name()]
			if sum == nil {
				c := l
				c.Counts = make([]Count, len(Windows))
				sum = &c
				sums[l.name()] = sum
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
