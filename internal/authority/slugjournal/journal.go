// Package slugjournal is a write-ahead journal of orders: an order is recorded before it is
// sent. A superseded holder cannot write and so cannot send a new order. A successor
// first resends the outstanding orders of its predecessor unchanged, so that a late send
// of the predecessor only repeats an order that was executed already.
//
// # Usage
//
//	j, err := slugjournal.Open(ctx, store, duty, fence, self)
//	for _, o := range j.Outstanding() { ... send o unchanged, then j.Finish ... }
//	o, err := j.Add(ctx, target, address, body)
//	... send o ...
//	err = j.Finish(ctx, o, "done")
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

// Prefix is the prefix of the names of journal objects.
const Prefix = "orders/"

// Number identifies an order. It is unique within a duty and contains its name.
type Number string

// Target is the subject of an order. It has at most one outstanding order.
type Target string

// Order is a journaled order.
type Order struct {
	Number Number           `json:"number"`
	Target Target           `json:"target"`
	Fence  sluglease.Fence  `json:"fence"`
	Holder slugname.Process `json:"holder"`
	// Address is the destination of the order.
	Address string `json:"address"`
	// Body is sent unchanged.
	Body json.RawMessage `json:"body"`
}

// Outcome is the result of an order.
type Outcome string

// Finished is an order with an outcome.
type Finished struct {
	Number  Number  `json:"number"`
	Target  Target  `json:"target"`
	Outcome Outcome `json:"outcome"`
}

// Errors returned by a Journal.
var (
	// ErrSuperseded reports that another process has taken over the journal.
	ErrSuperseded = errors.New("journal was taken over by another process")
	// ErrOutstanding reports that the target already has an outstanding order.
	ErrOutstanding = errors.New("target has an outstanding order")
)

// retainedFinished is the number of finished orders that the journal retains.
const retainedFinished = 32

// record is the stored content of a journal object.
type record struct {
	Fence       sluglease.Fence  `json:"fence"`
	Next        uint64           `json:"next"`
	Outstanding map[Target]Order `json:"outstanding"`
	Finished    []Finished       `json:"finished"`
}

// clone returns a copy that shares no map or slice with r.
func (r record) clone() record {
	c := r
	c.Outstanding = make(map[Target]Order, len(r.Outstanding)+1)
	for k, v := range r.Outstanding {
		c.Outstanding[k] = v
	}
	c.Finished = append([]Finished(nil), r.Finished...)
	return c
}

// Journal is the journal of one duty, opened by its holder. It is safe for concurrent
// use.
type Journal struct {
	store *slugstore.Store
	duty  sluglease.Duty
	self  slugname.Process

	mu      sync.Mutex
	record  record
	version slugstore.Version
}

// Open takes over the journal of a duty. Writes of a predecessor fail from then on. It
// returns ErrSuperseded if a holder with a higher fence has opened the journal.
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
		return nil, errors.Wrapf(ErrSuperseded, "stored fence %d, own fence %d", j.record.Fence, fence)
	}
	j.version = o.Version
	next := j.record.clone()
	next.Fence = fence
	return j, j.write(ctx, next)
}

func (j *Journal) name() string { return Prefix + string(j.duty) }

// write stores a record. Calls must not overlap.
func (j *Journal) write(ctx context.Context, next record) error {
	version, err := j.store.Put(ctx, j.name(), j.version, next)
	if errors.Is(err, slugstore.ErrConflict) {
		return slugfault.Wrap(errors.Mark(err, ErrSuperseded), "write journal", string(j.duty))
	}
	if err != nil {
		return err
	}
	j.record, j.version = next, version
	return nil
}

// Outstanding returns the orders without an outcome, sorted by target.
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

// Add records an order; body returns its content for the assigned number. The order may
// be sent only if Add succeeds.
func (j *Journal) Add(ctx context.Context, target Target, address string, body func(Number) (json.RawMessage, error)) (Order, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.record.Outstanding[target]; ok {
		return Order{}, errors.Wrapf(ErrOutstanding, "target %s", target)
	}
	next := j.record.clone()
	next.Next++
	number := Number(fmt.Sprintf("%s/%d", j.duty, next.Next))
	b, err := body(number)
	if err != nil {
		return Order{}, err
	}
	o := Order{Number: number, Target: target, Fence: next.Fence, Holder: j.self, Address: address, Body: b}
	next.Outstanding[target] = o
	return o, j.write(ctx, next)
}

// Finish records the outcome of an order. It does nothing if the order is not
// outstanding.
func (j *Journal) Finish(ctx context.Context, o Order, outcome Outcome) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.record.Outstanding[o.Target].Number != o.Number {
		return nil
	}
	next := j.record.clone()
	delete(next.Outstanding, o.Target)
	next.Finished = append(next.Finished, Finished{o.Number, o.Target, outcome})
	next.Finished = next.Finished[max(0, len(next.Finished)-retainedFinished):]
	return j.write(ctx, next)
}
