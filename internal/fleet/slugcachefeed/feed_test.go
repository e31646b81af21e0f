package slugcachefeed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFollowResumesAndDetectsRestarts guards against a feed that stops after a failed
// read, resumes at the wrong cursor, or misses the restart of an engine. The engine fails
// once, returns two pages, and then restarts with a new epoch.
func TestFollowResumesAndDetectsRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pages := []Page{
			{Epoch: "a", Next: 3, Changes: []Change{{"x", 5}}},
			{Epoch: "a", Next: 4, Changes: []Change{{"x", 0}}},
			{Epoch: "b", Next: 1},
		}
		calls, got := 0, ""
		f := New(Config{
			Read: func(ctx context.Context, e Engine, since int64, _ time.Duration) (Page, error) {
				calls++
				if calls == 1 {
					return Page{}, errors.New("refused")
				}
				if n := calls - 2; n < len(pages) {
					got += fmt.Sprintf("%s from %d; ", e.Address, since)
					return pages[n], nil
				}
				<-ctx.Done()
				return Page{}, ctx.Err()
			},
			Apply: func(_ Engine, p Page, fresh bool) { got += fmt.Sprintf("%v %v; ", p.Changes, fresh) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		f.Follow(ctx, []Engine{{Name: "e", Address: "here"}})
		time.Sleep(10 * time.Second)
		f.Follow(ctx, nil)
		// The goroutine of the feed has ended, so reading got is not a race.
		f.Wait()
		assert.Equal(t, got, "here from 0; [{x 5}] true; here from 3; [{x 0}] false; here from 4; [] true; ")
		cancel()
	})
}
