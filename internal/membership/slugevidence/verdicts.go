package slugevidence

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugquarantine"
)

// Prefix is the prefix of the names of the verdicts in the store.
const Prefix = "quarantines/"

// writeTimeout bounds an attempt to write a verdict.
const writeTimeout = 5 * time.Second

// object is a verdict in the store.
type object struct {
	Service slugname.Service     `json:"service"`
	Scope   slugquarantine.Scope `json:"scope"`
	Hash    uint64               `json:"hash"`
	// UntilMs is the end of the quarantine in milliseconds since the Unix epoch.
	UntilMs int64 `json:"untilMs"`
}

// trait returns the trait of the verdict.
func (o object) trait() slugquarantine.Trait {
	return slugquarantine.Trait{Scope: o.Scope, Hash: o.Hash}
}

// name returns the name of a verdict in the store.
func name(s slugname.Service, t slugquarantine.Trait) string {
	return fmt.Sprintf("%s%s.%s.%016x", Prefix, s, t.Scope, t.Hash)
}

// storedObject is a verdict that the store holds.
type storedObject struct {
	object
	version slugstore.Version
}

// Apply takes over verdicts that appeared in the store or disappeared from it.
func (x *Exchange) Apply(objects []slugstore.Object) {
	now := time.Now()
	x.mu.Lock()
	restored := x.era.Restored(objects, x.cfg.Store.Era())
	x.mu.Unlock()
	for _, o := range objects {
		if !strings.HasPrefix(o.Name, Prefix) {
			continue
		}
		if err := x.apply(o, restored, now); err != nil {
			x.cfg.Log.Error(slugevent.QuarantineUnreadable, err, slugevent.Fields{"object": o.Name, "version": o.Version})
		}
	}
}

// apply takes over one object. restored reports that the response is the first one since the
// store was restored from a copy: a verdict that the copy lacks still holds, and has to be
// written again, and one that has ended since the copy was made isn't taken over again.
func (x *Exchange) apply(o slugstore.Object, restored bool, now time.Time) error {
	x.mu.Lock()
	old, known := x.stored[o.Name]
	delete(x.stored, o.Name)
	x.mu.Unlock()
	if o.Body == nil {
		switch {
		case known && restored:
			x.cfg.Trackers.Of(old.Service).SetUnstored(old.trait())
		case known:
			x.cfg.Trackers.Of(old.Service).Adopt(old.trait(), 0, now)
		}
		return nil
	}
	var v object
	if err := o.Decode(&v); err != nil {
		return err
	}
	x.mu.Lock()
	x.stored[o.Name] = storedObject{v, o.Version}
	x.mu.Unlock()
	if restored && x.cfg.Trackers.Of(v.Service).Lifted(v.trait(), now) {
		return nil
	}
	if left := time.UnixMilli(v.UntilMs).Sub(now); left > 0 {
		x.cfg.Trackers.Of(v.Service).Adopt(v.trait(), left, now)
		if x.markAnnounced(o.Name) {
			x.cfg.Log.Emit(slugevent.QuarantineAdopted, slugevent.Fields{"service": v.Service, "scope": v.Scope.String(), "trait": fmt.Sprintf("%016x", v.Hash), "forMs": left.Milliseconds(), "version": o.Version})
		}
	}
	return nil
}

// updateStore writes the verdicts that are not in the store, and removes those that have
// ended. The process that ranks first for a verdict does so at once; the others follow in
// their order, unless it was done by then.
func (x *Exchange) updateStore(ctx context.Context, wg *sync.WaitGroup) {
	now := time.Now()
	open := map[string]bool{}
	for service, t := range x.cfg.Trackers.All() {
		for _, v := range t.Unstored(now) {
			n := name(service, v.Trait)
			open[n] = true
			if x.turns.Due(n, now) {
				wg.Go(func() { x.write(ctx, n, service, v) })
			}
		}
	}
	for n, o := range x.ended(now) {
		open[n] = true
		if x.turns.Due(n, now) {
			wg.Go(func() { x.remove(ctx, n, o) })
		}
	}
	x.turns.Keep(func(name string) bool { return open[name] })
}

// ended returns the stored verdicts whose quarantine has ended.
func (x *Exchange) ended(now time.Time) map[string]storedObject {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string]storedObject{}
	for n, o := range x.stored {
		if !x.cfg.Trackers.Of(o.Service).Quarantined(o.trait(), now) {
			out[n] = o
			if x.announced[n] {
				delete(x.announced, n)
				x.cfg.Log.Emit(slugevent.QuarantineEnded, slugevent.Fields{"service": o.Service, "scope": o.Scope.String(), "trait": fmt.Sprintf("%016x", o.Hash)})
			}
		}
	}
	return out
}

// write writes a verdict. It replaces one that has ended.
func (x *Exchange) write(ctx context.Context, name string, s slugname.Service, v slugquarantine.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	x.mu.Lock()
	expected := x.stored[name].version
	x.mu.Unlock()
	o := object{Service: s, Scope: v.Trait.Scope, Hash: v.Trait.Hash, UntilMs: time.Now().Add(v.For).UnixMilli()}
	if _, err := x.cfg.Store.Put(ctx, name, expected, o); err != nil && !errors.Is(err, slugstore.ErrConflict) {
		x.cfg.Log.Error(slugevent.StoreUnavailable, err, slugevent.Fields{"step": "write quarantine", "object": name})
	}
}

// remove removes a verdict that has ended.
func (x *Exchange) remove(ctx context.Context, name string, o storedObject) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := x.cfg.Store.Delete(ctx, name, o.version); err != nil && !errors.Is(err, slugstore.ErrConflict) {
		x.cfg.Log.Error(slugevent.StoreUnavailable, err, slugevent.Fields{"step": "remove quarantine", "object": name})
	}
}
