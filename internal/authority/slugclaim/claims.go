// Package slugclaim makes calls with an Idempotency-Key run at most once over all
// gates. The first use of a key is created in the platform's store before the
// call is sent; its outcome is kept there for every later use.
//
// # Usage
//
//	c, err := claims.Claim(ctx, workspace, key, fingerprint)
//	if c.Mine {
//		... send, then claims.Finish(ctx, c, outcome)
//	}
package slugclaim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
)

// Prefix begins the names of claims.
const Prefix = "claims/"

// State is how far a claimed call has come.
type State string

// The states.
const (
	// StateRunning calls have been claimed and may have been sent.
	StateRunning State = "running"
	// StateDone calls have an answer.
	StateDone State = "done"
	// StateUnknown calls were sent and have no answer.
	StateUnknown State = "unknown"
)

// MaxAnswerBytes bounds an answer that is kept.
const MaxAnswerBytes = 256 << 10

// Answer is the outcome of a call.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped tells that the body was too large to be kept.
	Dropped bool `json:"dropped,omitempty"`
}

// record is what is stored.
type record struct {
	Process     slugname.Process `json:"process"`
	Fingerprint string           `json:"fingerprint"`
	State       State            `json:"state"`
	Answer      *Answer          `json:"answer,omitempty"`
	// ExpiresAtMs is when the claimant's own deadline has passed, in milliseconds
	// since 1970.
	ExpiresAtMs int64 `json:"expiresAtMs"`
}

// Claim is one use of a key.
type Claim struct {
	// Mine tells that this use is the first and may be sent.
	Mine  bool
	State State
	// Answer is the first use's, when State is StateDone.
	Answer  *Answer
	name    string
	record  record
	version slugstore.Version
}

// ErrMismatch says that the key was used for another call.
var ErrMismatch = errors.New("the key was used for another call")

// pollInterval is the time between looks at a running claim.
const pollInterval = 100 * time.Millisecond

// clockMargin is how much the clocks of hosts may differ.
const clockMargin = 5 * time.Second

// Config makes Claims.
type Config struct {
	Process slugname.Process
	Store   *slugstore.Store
}

// Claims claims keys for one gate.
type Claims struct {
	cfg Config
}

// New returns Claims.
func New(cfg Config) *Claims { return &Claims{cfg: cfg} }

func objectName(w slugname.Workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + string(w) + "/" + hex.EncodeToString(sum[:16])
}

// Claim claims a key, or waits until ctx ends for the outcome of its first use.
// A first use whose claimant is past its deadline is returned with StateUnknown.
// Errors: ErrMismatch, slugstore.ErrUnknown and others when the store gave no
// clear answer, in which case nothing may be sent.
func (c *Claims) Claim(ctx context.Context, w slugname.Workspace, key, fingerprint string, deadline time.Time) (Claim, error) {
	n := objectName(w, key)
	r := record{Process: c.cfg.Process, Fingerprint: fingerprint, State: StateRunning, ExpiresAtMs: deadline.UnixMilli()}
	for {
		version, err := c.cfg.Store.Put(ctx, n, 0, r)
		if err == nil {
			return Claim{Mine: true, State: StateRunning, name: n, record: r, version: version}, nil
		}
		if !errors.Is(err, slugstore.ErrConflict) {
			return Claim{}, err
		}
		claim, again, err := c.awaitOutcome(ctx, n, fingerprint)
		if err != nil || !again {
			return claim, err
		}
	}
}

// awaitOutcome waits for the outcome of the first use. again tells that the claim is
// gone, because the first use certainly did not run.
func (c *Claims) awaitOutcome(ctx context.Context, n, fingerprint string) (claim Claim, retry bool, err error) {
	for {
		o, err := c.cfg.Store.Get(ctx, n)
		if err != nil {
			return Claim{}, false, err
		}
		if o.Body == nil {
			return Claim{}, true, nil
		}
		var r record
		if err := o.Decode(&r); err != nil {
			return Claim{}, false, err
		}
		if r.Fingerprint != fingerprint {
			return Claim{}, false, ErrMismatch
		}
		if r.State != StateRunning {
			return Claim{State: r.State, Answer: r.Answer}, false, nil
		}
		if time.Now().After(time.UnixMilli(r.ExpiresAtMs).Add(clockMargin)) {
			return Claim{State: StateUnknown}, false, nil
		}
		if slugbackoff.Sleep(ctx, pollInterval) != nil {
			return Claim{State: StateRunning}, false, nil
		}
	}
}

// Finish stores the answer of a claimed call.
func (c *Claims) Finish(ctx context.Context, x Claim, a Answer) error {
	if len(a.Body) > MaxAnswerBytes {
		a.Body, a.Dropped = nil, true
	}
	return c.storeOutcome(ctx, x, StateDone, &a)
}

// Unknown stores that the outcome of a claimed call is not known.
func (c *Claims) Unknown(ctx context.Context, x Claim) error {
	return c.storeOutcome(ctx, x, StateUnknown, nil)
}

func (c *Claims) storeOutcome(ctx context.Context, x Claim, s State, a *Answer) error {
	r := x.record
	r.State, r.Answer = s, a
	_, err := c.cfg.Store.Put(ctx, x.name, x.version, r)
	return err
}

// Abandon removes the claim of a call that certainly did not run, so that the
// caller may use the key again.
func (c *Claims) Abandon(ctx context.Context, x Claim) error {
	return c.cfg.Store.Delete(ctx, x.name, x.version)
}
