// Package slugrecord keeps the state that the holder of a duty persists for its
// successor. Writes use optimistic concurrency: a process that lost the duty fails to
// write once its successor has written, since it no longer has the newest version.
//
// # Usage
//
//	r, err := slugrecord.Load[plan](ctx, store, "plans/capacity")
//	err = r.Write(ctx, next)
//	err = slugrecord.Every(ctx, time.Second, review)
package slugrecord

import (
	"context"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Record is one stored object as its holder last read or wrote it. It is not safe for
// concurrent use.
type Record[T any] struct {
	// Value is the decoded content of the object.
	Value   T
	store   *slugstore.Store
	name    string
	version slugstore.Version
}

// Load reads the object. If it does not exist, Value is the zero value.
func Load[T any](ctx context.Context, s *slugstore.Store, name string) (*Record[T], error) {
	r := &Record[T]{store: s, name: name}
	o, err := s.Get(ctx, name)
	if err != nil {
		return nil, err
	}
	r.version = o.Version
	if o.Body == nil {
		return r, nil
	}
	return r, o.Decode(&r.Value)
}

// Write stores next. It fails with slugstore.ErrConflict if another process has written
// the object since it was read.
func (r *Record[T]) Write(ctx context.Context, next T) error {
	version, err := r.store.Put(ctx, r.name, r.version, next)
	if err != nil {
		return err
	}
	r.version, r.Value = version, next
	return nil
}

// Every calls review with a pause after each call until ctx ends or review fails, for
// example because another holder has written the record.
func Every(ctx context.Context, pause time.Duration, review func() error) error {
	for ctx.Err() == nil {
		if err := review(); err != nil {
			return err
		}
		_ = slugbackoff.Sleep(ctx, pause)
	}
	return nil
}
