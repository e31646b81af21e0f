// Package slugrecord keeps what the holder of a duty writes down for its successor. A
// process that lost the duty cannot write: its version is no longer the newest.
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

// Record is one object in the hands of its holder. It is for one goroutine.
type Record[T any] struct {
	// Value is what the object holds.
	Value   T
	store   *slugstore.Store
	name    string
	version slugstore.Version
}

// Load reads the object; one that does not exist has a zero Value.
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

// Write stores a value. It fails with slugstore.ErrConflict when another holder has
// written.
func (r *Record[T]) Write(ctx context.Context, next T) error {
	version, err := r.store.Put(ctx, r.name, r.version, next)
	if err != nil {
		return err
	}
	r.version, r.Value = version, next
	return nil
}

// Every calls review with pauses until ctx ends or a review fails, as a write does once
// another holder has written.
func Every(ctx context.Context, pause time.Duration, review func() error) error {
	for ctx.Err() == nil {
		if err := review(); err != nil {
			return err
		}
		_ = slugbackoff.Sleep(ctx, pause)
	}
	return nil
}
