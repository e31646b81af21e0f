// Package slugjournal writes orders down before they are sent. A deposed holder
// cannot write, so it cannot send a new order; a successor first finishes what its
// predecessor wrote down, unchanged, so that a late send of the predecessor is a
// duplicate of what was done.
//
// # Usage
//
//	j, err := slugjournal.Open(ctx, store, duty, fence)
//	for _, o := range j.Outstanding() { ... send o unchanged, then j.Finish ... }
//	o, err := j.Add(ctx, target, address, body)
//	... send o ...
//	err = j.Finish(ctx, o.Number, "done")
package slugjournal

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Prefix begins the names of journal objects.
const Prefix = "orders/"

// Number identifies an order.
type Number string

// Target is what an order is for; it has one outstanding order at a time.
type Target string

// Order is one order as it was written down.
type Order struct {
	Number Number           `json:"number"`
	Target Target           `json:"target"`
	Fence  sluglease.Fence  `json:"fence"`
	Holder slugname.Process `json:"holder"`
	// Address is where the order is sent.
	Address string `json:"address"`
	// Body is sent as it stands.
	Body json.RawMessage `json:"body"`
}

// Outcome is how an order ended.
type Outcome string

// Finished is an order that is no longer outstanding.
type Finished struct {
	Number  Number  `json:"number"`
	Target  Target  `json:"target"`
	Outcome Outcome `json:"outcome"`
}

// Errors of a journal.
var (
	// ErrDeposed says that another process has taken the journal over.
	ErrDeposed = errors.New("journal was taken over")
	// ErrOutstanding says that the target has an outstanding order.
	ErrOutstanding = errors.New("target has an outstanding order")
)

// keptFinished is the number of finished orders that are remembered.
const keptFinished = 32

// record is the content of a journal object.
type record struct {
	Fence       sluglease.Fence  `json:"fence"`
	Next        uint64           `json:"next"`
	Outstanding map[Target]Order `json:"outstanding"`
	Finished    []Finished       `json:"finished"`
}

func (r record) clone() record {
	c := r
	c.Outstanding = make(map[Target]Order, len(r.Outstanding)+1)
	for k, v := range r.Outstanding {
		c.Outstanding[k] = v
	}
	c.Finished = append([]Finished(nil), r.Finished...)
	return c
}

// Journal is the journal of one duty in the hands of its holder.
type Journal struct {
	store *slugstore.Store
	duty  sluglease.Duty
	self  slugname.Process

	mu      sync.Mutex
	record  record
	version slugstore.Version
}

// Open takes the journal of a duty over. From then on a predecessor's writes fail.
// Error: ErrDeposed when a holder with a higher fence has it.
func Open(ctx context.Context, s *slugstore.Store, duty sluglease.Duty, fence sluglease.Fence, self slugname.Process) (*Journal, error) {
	j := &Journal{store: s, duty: duty, self: self}
	o, err := s.Get(ctx, j.name())
	if err != nil {
		return nil, err
	}
	if o.Body != nil {
		if err := o.Decode(&j.record); err != nil {
			return nil, err
		}
	}
	if j.record.Fence > fence {
		return nil, errors.Wrapf(ErrDeposed, "fence %d, ours %d", j.record.Fence, fence)
	}
	j.version = o.Version
	next := j.record.clone()
	next.Fence = fence
	return j, j.write(ctx, next)
}

func (j *Journal) name() string { return Prefix + string(j.duty) }

// write stores a record; it must not run twice at a time.
func (j *Journal) write(ctx context.Context, next record) error {
	version, err := j.store.Put(ctx, j.name(), j.version, next)
	if errors.Is(err, slugstore.ErrConflict) {
		return slugfault.Wrap(errors.Mark(err, ErrDeposed), "write journal", string(j.duty))
	}
	if err != nil {
		return err
	}
	j.record, j.version = next, version
	return nil
}

// Outstanding returns the orders without an outcome, in order of target.
func (j *Journal) Outstanding() []Order {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := make([]Order, 0, len(j.record.Outstanding))
	for _, o := range j.record.Outstanding {
		out = append(out, o)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Target < out[b].Target })
	return out
}

// Add writes an order down. make returns its body for its number. The order may be
// sent only if Add returned no error.
func (j *Journal) Add(ctx context.Context, t Target, address string, body func(Number) (json.RawMessage, error)) (Order, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.record.Outstanding[t]; ok {
		return Order{}, errors.Wrapf(ErrOutstanding, "target %s", t)
	}
	next := j.record.clone()
	next.Next++
	number := Number(fmt.Sprintf("%s/%d", j.duty, next.Next))
	b, err := body(number)
	if err != nil {
		return Order{}, err
	}
	o := Order{Number: number, Target: t, Fence: next.Fence, Holder: j.self, Address: address, Body: b}
	next.Outstanding[t] = o
	return o, j.write(ctx, next)
}

// Finish writes the outcome of an order down.
func (j *Journal) Finish(ctx context.Context, o Order, outcome Outcome) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.record.Outstanding[o.Target].Number != o.Number {
		return nil
	}
	next := j.record.clone()
	delete(next.Outstanding, o.Target)
	next.Finished = append(next.Finished, Finished{o.Number, o.Target, outcome})
	next.Finished = next.Finished[max(0, len(next.Finished)-keptFinished):]
	return j.write(ctx, next)
}
