package slugstore

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
)

// listAnswer is the answer to a list call.
type listAnswer struct {
	Revision Version `json:"revision"`
	Objects  []struct {
		Name    string  `json:"name"`
		Version Version `json:"version"`
		Value   []byte  `json:"value"`
		Deleted bool    `json:"deleted"`
	} `json:"objects"`
}

// List reads all objects whose names begin with prefix, in order of name.
func (s *Store) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object
	err := s.retry(ctx, func() error {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var err error
		s.count("list")
		objects, _, err = s.list(callCtx, prefix, 0, "")
		return err
	})
	return objects, slugfault.Wrap(err, "list "+prefix, s.cfg.BaseURL)
}

func (s *Store) list(ctx context.Context, prefix string, after Version, wait string) ([]Object, Version, error) {
	q := url.Values{"prefix": {prefix}}
	if wait != "" {
		q.Set("after", fmt.Sprint(uint64(after)))
		q.Set("waitMs", wait)
	}
	status, _, body, err := s.do(ctx, http.MethodGet, "/store/list?"+q.Encode(), 0, nil)
	if err != nil {
		return nil, after, err
	}
	if status == http.StatusNotModified {
		return nil, after, nil
	}
	if status != http.StatusOK {
		return nil, after, errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	var answer listAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, after, slugfault.Wrap(err, "decode list "+prefix, s.cfg.BaseURL)
	}
	if answer.Revision < after {
		return nil, after, errors.Wrapf(ErrStale, "revision %d", answer.Revision)
	}
	objects, err := s.decodeList(answer)
	return objects, answer.Revision, err
}

func (s *Store) decodeList(answer listAnswer) ([]Object, error) {
	objects := make([]Object, 0, len(answer.Objects))
	for _, x := range answer.Objects {
		if !s.advance(x.Name, x.Version) {
			continue
		}
		if x.Deleted {
			objects = append(objects, Object{Name: x.Name, Version: x.Version})
			continue
		}
		o, err := decode(x.Name, x.Version, x.Value)
		if err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return objects, nil
}

// Watcher says what is watched and who is told.
type Watcher struct {
	// Prefix selects the objects.
	Prefix string
	// Wait returns how long the next call may wait for a change; nil means
	// DefaultWait. A shorter wait tells sooner that the store still answers.
	Wait func() time.Duration
	// Changed is called with the objects that are new or changed, at first with
	// all of them. A removed object has a nil Body. It is called without objects
	// when the store answered that nothing changed.
	Changed func([]Object)
	// Lost is called with each failed try; it may be nil.
	Lost func(error)
}

// DefaultWait is the longest wait of one watch call.
const DefaultWait = 30 * time.Second

// Watch follows the objects under a prefix until ctx ends.
func (s *Store) Watch(ctx context.Context, w Watcher) error {
	var after Version
	synced := false
	for failures := 0; ctx.Err() == nil; {
		objects, revision, err := s.watchOnce(ctx, w, after, synced)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			if w.Lost != nil {
				w.Lost(slugfault.Wrap(err, "watch "+w.Prefix, s.cfg.BaseURL))
			}
			_ = s.retries.Wait(ctx, failures)
			failures++
			continue
		}
		failures = 0
		synced = true
		after = revision
		w.Changed(objects)
	}
	return nil
}

func (s *Store) watchOnce(ctx context.Context, w Watcher, after Version, synced bool) ([]Object, Version, error) {
	wait := DefaultWait
	if w.Wait != nil {
		wait = w.Wait()
	}
	if !synced {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if !synced {
		s.count("list")
		return s.list(ctx, w.Prefix, 0, "")
	}
	s.count("watch")
	return s.list(ctx, w.Prefix, after, fmt.Sprint(wait.Milliseconds()))
}

// changeIDBytes is the length of a random change id before encoding.
const changeIDBytes = 12

// RandomChangeID returns a fresh random id.
func RandomChangeID() ChangeID {
	b := make([]byte, changeIDBytes)
	_, _ = rand.Read(b)
	return ChangeID(hex.EncodeToString(b))
}
