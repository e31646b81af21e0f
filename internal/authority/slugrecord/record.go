// Package slugrecord keeps the state that the holder of a duty persists for its
// successor. Writes use optimistic concurrency: a process that lost the duty fails to
// write once its successor has written, since it no longer has the newest version.
//
// The store may be restored from a copy that lacks the last writes. A holder whose grant
// spans the restore still knows them, and writes them again. Any other holder learns that
// the record is incomplete.
//
// # Usage
//
//	r := slugrecord.New[plan](store, "plans/capacity")
//	unsaved, err := r.Load(ctx, grant)
//	next.Stamp = r.NextStamp()
//	err = r.Write(ctx, next)
//	err = r.Every(ctx, time.Second, reload, review)
package slugrecord

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Stamp identifies the write of a record. Stored types embed it.
type Stamp struct {
	// Fence is the fence of the holder that wrote the record.
	Fence sluglease.Fence `json:"fence"`
	// Era is the era of the store for which the record was written.
	Era slugstore.Era `json:"era,omitempty"`
}

// stamp returns s.
func (s Stamp) stamp() Stamp { return s }

// Stamped is a type that embeds a Stamp.
type Stamped interface{ stamp() Stamp }

// Record is one stored object as its holder last read or wrote it. It is not safe for
// concurrent use.
type Record[T Stamped] struct {
	// Value is the decoded content of the object.
	Value T
	// Complete reports that Value includes all that any holder of the duty has written. It
	// is false if the store was restored and the record was not written since.
	Complete bool
	store    *slugstore.Store
	name     string
	version  slugstore.Version
	// era is the era of the store at the last read.
	era slugstore.Era
	// unsaved reports that the restored store lacks Value.
	unsaved bool
	// fence is the fence under which the record was last read or written, or 0.
	fence sluglease.Fence
}

// New returns a Record that has not been read.
func New[T Stamped](s *slugstore.Store, name string) *Record[T] {
	return &Record[T]{store: s, name: name}
}

// Continues reports whether the process has held the duty without interruption since it
// last read or wrote the record.
func (r *Record[T]) Continues(g *sluglease.Grant) bool {
	return r.fence != 0 && (r.fence == g.Fence || r.fence == g.Previous)
}

// Load reads the object. If it does not exist, Value is the zero value. If the store was
// restored while this process held the duty, Value stays as it is, and unsaved reports that
// it is to be written again.
func (r *Record[T]) Load(ctx context.Context, g *sluglease.Grant) (unsaved bool, err error) {
	o, err := r.store.Get(ctx, r.name)
	if err != nil {
		return false, err
	}
	var stored T
	if o.Body != nil {
		if err := o.Decode(&stored); err != nil {
			return false, err
		}
	}
	era := o.Version.Era()
	if o.Version == 0 {
		era = r.store.Era()
	}
	r.unsaved = r.Continues(g) && r.Complete && stored.stamp().Era < era && (r.unsaved || r.era < era)
	r.version, r.era, r.fence = o.Version, era, g.Fence
	if !r.unsaved {
		r.Value, r.Complete = stored, stored.stamp().Era == era
	}
	return r.unsaved, nil
}

// NextStamp returns the stamp of the next write.
func (r *Record[T]) NextStamp() Stamp { return Stamp{Fence: r.fence, Era: r.era} }

// Write stores next. It fails with slugstore.ErrConflict if another process has written
// the object since it was read, or if the store was restored.
func (r *Record[T]) Write(ctx context.Context, next T) error {
	version, err := r.store.Put(ctx, r.name, r.version, next)
	if err != nil {
		return err
	}
	if version.Era() != r.era {
		return errors.Wrapf(slugstore.ErrConflict, "store was restored while %s was written", r.name)
	}
	r.version, r.Value, r.Complete, r.unsaved = version, next, true, false
	return nil
}

// WriteOutcome stores next, which describes what has already been done. If the store was
// restored meanwhile, Value holds next for the write after the next Load.
func (r *Record[T]) WriteOutcome(ctx context.Context, next T) error {
	err := r.Write(ctx, next)
	if errors.Is(err, slugstore.ErrConflict) && r.outdated() {
		r.Value = next
	}
	return err
}

// outdated reports whether the store was restored since the last read or write.
func (r *Record[T]) outdated() bool { return r.store.Era() > r.era }

// Every calls review with a pause after each call until ctx ends or review fails, for
// example because another holder has written the record. After a restore of the store it
// calls reload instead.
func (r *Record[T]) Every(ctx context.Context, pause time.Duration, reload, review func() error) error {
	for ctx.Err() == nil {
		step := review
		if r.outdated() {
			step = reload
		}
		if err := step(); err != nil && (!errors.Is(err, slugstore.ErrConflict) || !r.outdated()) {
			return err
		}
		_ = slugbackoff.Sleep(ctx, pause)
	}
	return nil
}
