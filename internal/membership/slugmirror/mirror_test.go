package slugmirror

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// news returns an answer of the store that tells values, "-" for a removal.
func news(revision slugstore.Version, whole bool, values ...string) slugstore.News {
	n := slugstore.News{Whole: whole, Current: slugclock.Now()}
	n.Revision = revision
	for i := 0; i+1 < len(values); i += 2 {
		v := slugstore.Value{Name: values[i], Version: revision, Bytes: []byte(values[i+1])}
		if values[i+1] == "-" {
			v.Bytes = nil
		}
		n.Values = append(n.Values, v)
	}
	return n
}

func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		assert.Equal(t, m.Follow(0, 0).Revision, slugstore.Version(0))
		m.Take(news(10, true, "a", "1", "b", "1"))
		all := m.Follow(0, time.Minute)
		assert.Assert(t, all.Whole)
		assert.Equal(t, len(all.Values), 2)

		m.Take(news(11, false, "a", "2"))
		m.Take(news(13, false, "b", "-"))
		since := m.Follow(10, time.Minute)
		assert.Assert(t, !since.Whole)
		assert.Equal(t, since.Revision, slugstore.Version(13))
		assert.Equal(t, string(since.Values[0].Bytes), "2")
		assert.Assert(t, since.Values[1].Bytes == nil)
		assert.Assert(t, m.Follow(9, time.Minute).Whole)

		begun := time.Now()
		quiet := m.Follow(20, time.Second)
		assert.Equal(t, time.Since(begun), time.Second)
		assert.Equal(t, quiet.Revision, slugstore.Version(20))
		assert.Equal(t, len(quiet.Values), 0)
	})
}

// TestFollowEndsAtAChange replays an endpoint that leaves: a peer that waits learns of
// it at once.
func TestFollowEndsAtAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		m.Take(news(1, true))
		begun := time.Now()
		got := make(chan slugstore.News, 1)
		go func() { got <- m.Follow(1, time.Minute) }()
		time.Sleep(time.Second)
		m.Take(news(2, false, "a", "leaving"))
		assert.Equal(t, (<-got).Revision, slugstore.Version(2))
		assert.Equal(t, time.Since(begun), time.Second)
	})
}

func TestCloseEndsWaitingCalls(t *testing.T) {
	synctest.Test(t, func(_ *testing.T) {
		m := New()
		m.Take(news(1, true))
		done := make(chan struct{})
		go func() {
			m.Follow(1, time.Hour)
			close(done)
		}()
		synctest.Wait()
		m.Close()
		<-done
	})
}

// TestFollowersSeeWhatTheStoreHolds changes objects at random while followers fall
// behind by any number of changes: each ends with the same objects.
func TestFollowersSeeWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		truth := map[string]string{}
		m.Take(news(1, true))
		followers := make([]struct {
			after slugstore.Version
			known map[string]string
		}, 3)
		for i := range followers {
			followers[i].known = map[string]string{}
		}
		steps := rapid.IntRange(1, 3*keptChanges).Draw(t, "steps")
		for revision := range slugstore.Version(steps) {
			name := fmt.Sprint("o", rapid.IntRange(0, 4).Draw(t, "object"))
			value := rapid.SampledFrom([]string{"1", "2", "-"}).Draw(t, "value")
			if value == "-" {
				delete(truth, name)
			} else {
				truth[name] = value
			}
			m.Take(news(revision+2, false, name, value))
			f := &followers[rapid.IntRange(0, 2).Draw(t, "follower")]
			if revision != slugstore.Version(steps-1) && rapid.IntRange(0, 9).Draw(t, "look") > 0 {
				continue
			}
			n := m.Follow(f.after, 0)
			if n.Whole {
				clear(f.known)
			}
			for _, v := range n.Values {
				delete(f.known, v.Name)
				if v.Bytes != nil {
					f.known[v.Name] = string(v.Bytes)
				}
			}
			f.after = n.Revision
			assert.DeepEqual(t, f.known, truth)
		}
	})
}
