// Package slugclaim executes requests with an Idempotency-Key at most once across all
// gates. The first use of a key is recorded in the platform's store before the request is
// sent; its outcome is stored for later uses of the key.
//
// # Usage
//
//	c, err := claims.Claim(ctx, workspace, key, fingerprint, deadline)
//	if c.First {
//		... send, then claims.Finish(ctx, c, answer)
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

// Prefix is the prefix of the names of claim objects.
const Prefix = "claims/"

// State is the progress of a claimed request.
type State string

// States of a claimed request.
const (
	// StateRunning means that the request was claimed and may have been sent.
	StateRunning State = "running"
	// StateDone means that the request has a response.
	StateDone State = "done"
	// StateUnknown means that the request may have been sent and its outcome is not
	// known.
	StateUnknown State = "unknown"
)

// MaxAnswerBytes is the size of the largest response body that is stored.
const MaxAnswerBytes = 256 << 10

// Answer is the stored response to a request.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Dropped reports that the body was too large to be stored.
	Dropped bool `json:"dropped,omitempty"`
}

// record is the stored content of a claim.
type record struct {
	Process     slugname.Process `json:"process"`
	Fingerprint string           `json:"fingerprint"`
	State       State            `json:"state"`
	Answer      *Answer          `json:"answer,omitempty"`
	// ExpiresAtMs is the deadline of the claiming process in Unix milliseconds.
	ExpiresAtMs int64 `json:"expiresAtMs"`
}

// Claim is the result of one use of a key.
type Claim struct {
	// First reports that this is the first use of the key, so that the request may be
	// sent.
	First bool
	State State
	// Answer is the response to the first use if State is StateDone.
	Answer  *Answer
	name    string
	record  record
	version slugstore.Version
}

// ErrMismatch reports that the key was used for a different request.
var ErrMismatch = errors.New("the key was used for a different request")

// pollInterval is the time between reads of a claim whose request is running.
const pollInterval = 100 * time.Millisecond

// clockMargin is the largest difference assumed between the clocks of hosts.
const clockMargin = 5 * time.Second

// Config configures Claims.
type Config struct {
	Process slugname.Process
	Store   *slugstore.Store
}

// Claims claims idempotency keys for one gate.
type Claims struct {
	cfg Config
}

// New returns a Claims.
func New(cfg Config) *Claims { return &Claims{cfg: cfg} }

// objectName returns the name of the claim object of a key, which contains a hash of the
// key.
func objectName(w slugname.Workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	return Prefix + string(w) + "/" + hex.EncodeToString(sum[:16])
}

// Claim claims a key. If the key was used before, Claim waits for the outcome of the
// first use until ctx ends, and returns StateUnknown for a first use whose claimant is
// past its deadline. It returns ErrMismatch if the key was used for a different request,
// and slugstore.ErrUnknown or another error if the store gave no definite response; then
// the request must not be sent.
func (c *Claims) Claim(ctx context.Context, w slugname.Workspace, key, fingerprint string, deadline time.Time) (Claim, error) {
	object := objectName(w, key)
	r := record{Process: c.cfg.Process, Fingerprint: fingerprint, State: StateRunning, ExpiresAtMs: deadline.UnixMilli()}
	for {
		version, err := c.cfg.Store.Put(ctx, object, 0, r)
		if err == nil {
			return Claim{First: true, State: StateRunning, name: object, record: r, version: version}, nil
		}
		if !errors.Is(err, slugstore.ErrConflict) {
			return Claim{}, err
		}
		claim, retry, err := c.awaitOutcome(ctx, object, fingerprint)
		if err != nil || !retry {
			return claim, err
		}
	}
}

// awaitOutcome waits for the outcome of the first use. retry reports that the claim was
// removed, since the first use did not run.
func (c *Claims) awaitOutcome(ctx context.Context, object, fingerprint string) (claim Claim, retry bool, err error) {
	for {
		o, err := c.cfg.Store.Get(ctx, object)
		if err != nil {
			return Claim{}, false, err
		}
		if o.Body == nil {
			return Claim{}, true, nil
		}
		var stored record
		if err := o.Decode(&stored); err != nil {
			return Claim{}, false, err
		}
		if stored.Fingerprint != fingerprint {
			return Claim{}, false, ErrMismatch
		}
		if stored.State != StateRunning {
			return Claim{State: stored.State, Answer: stored.Answer}, false, nil
		}
		if time.Now().After(time.UnixMilli(stored.ExpiresAtMs).Add(clockMargin)) {
			return Claim{State: StateUnknown}, false, nil
		}
		if slugbackoff.Sleep(ctx, pollInterval) != nil {
			return Claim{State: StateRunning}, false, nil
		}
	}
}

// Finish stores the response to a claimed request.
func (c *Claims) Finish(ctx context.Context, claim Claim, a Answer) error {
	if len(a.Body) > MaxAnswerBytes {
		a.Body, a.Dropped = nil, true
	}
	return c.storeOutcome(ctx, claim, StateDone, &a)
}

// Unknown records that the outcome of a claimed request is not known.
func (c *Claims) Unknown(ctx context.Context, claim Claim) error {
	return c.storeOutcome(ctx, claim, StateUnknown, nil)
}

// storeOutcome stores the final state of a claim.
func (c *Claims) storeOutcome(ctx context.Context, claim Claim, s State, a *Answer) error {
	r := claim.record
	r.State, r.Answer = s, a
	_, err := c.cfg.Store.Put(ctx, claim.name, claim.version, r)
	return err
}

// Abandon removes the claim of a request that certainly did not run, so that the caller
// can reuse the key.
func (c *Claims) Abandon(ctx context.Context, claim Claim) error {
	return c.cfg.Store.Delete(ctx, claim.name, claim.version)
}
