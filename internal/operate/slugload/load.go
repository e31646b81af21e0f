// Package slugload generates a mixed load of completions and plain calls. It checks that
// every answer is complete and belongs to its request, and that non-idempotent calls took
// effect once.
//
// # Usage
//
//	l := slugload.New(slugload.Config{Profiles: profiles, SeedAddresses: seeds, Seed: 1})
//	l.Run(ctx)
//	fmt.Println(l.Result())
package slugload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugcaller"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
)

// Profile describes the load of one workspace.
type Profile struct {
	Workspace slugname.Workspace
	Key       string
	Model     string
	// Service is the plain service that the workspace calls.
	Service string
	// NonIdempotentPath is the path of a non-idempotent call.
	NonIdempotentPath string
	// Callers is the number of concurrent callers, each with one request at a time.
	Callers int
	// MeanPause is the mean time between two requests of a caller.
	MeanPause time.Duration
	Class     string
}

// Config configures a Generator.
type Config struct {
	Profiles []Profile
	// SeedAddresses returns the gate addresses for the first look-up.
	SeedAddresses func() []string
	// Seed is the seed of the random numbers.
	Seed uint64
	// PromptShare returns the share of the work that is prompt rather than output, from 0
	// to 1. It is called for every request; nil means 0.5.
	PromptShare func() float64
	// KeyRevokedAt returns when the key of a workspace was revoked; the zero time means never.
	KeyRevokedAt func(slugname.Workspace) time.Time
}

// Result holds the counts of a load.
type Result struct {
	Requests   int64 `json:"requests"`
	Complete   int64 `json:"whole"`
	PlainCalls int64 `json:"plain"`
	Tokens     int64 `json:"tokens"`
	// Refused is the number of requests that were refused, other than for an interrupted
	// stream or a failed endpoint.
	Refused int64 `json:"refused"`
	// Interrupted is the number of requests that failed in any other way, such as by an
	// incomplete answer.
	Interrupted int64 `json:"cut"`
	// Incorrect is the number of complete answers with a wrong text.
	Incorrect int64 `json:"wrong"`
	// LateKeyUses is the number of requests that succeeded with a revoked key although they
	// began more than KeyRevocationBound after it was revoked.
	LateKeyUses int64 `json:"lateUses"`
	// Examples describes the first failures, maxExamples at the most.
	Examples []string `json:"examples"`
}

// KeyRevocationBound is the time after which a revoked key must not work.
const KeyRevocationBound = 5 * time.Second

// Generator generates the load.
type Generator struct {
	cfg Config

	requests, complete, plainCalls, tokens, refused, interrupted, incorrect, lateUses atomic.Int64

	mu       sync.Mutex
	examples []string
	// The bodies of non-idempotent calls by outcome: acknowledged ones were answered,
	// notRun ones were refused as not run, and outcomeUnknown ones may have run.
	acknowledged   map[string]bool
	outcomeUnknown map[string]bool
	notRun         map[string]bool
}

// New returns a Generator.
func New(cfg Config) *Generator {
	if cfg.PromptShare == nil {
		cfg.PromptShare = func() float64 { return 0.5 }
	}
	if cfg.KeyRevokedAt == nil {
		cfg.KeyRevokedAt = func(slugname.Workspace) time.Time { return time.Time{} }
	}
	return &Generator{cfg: cfg, acknowledged: map[string]bool{}, outcomeUnknown: map[string]bool{}, notRun: map[string]bool{}}
}

// Run generates load until ctx ends, and then waits for the last answers.
func (l *Generator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	n := uint64(0)
	for _, p := range l.cfg.Profiles {
		for range p.Callers {
			n++
			r := rand.New(rand.NewPCG(l.cfg.Seed, n))
			wg.Go(func() { l.caller(ctx, p, r, n) })
		}
	}
	wg.Wait()
}

// caller runs one caller of a workspace until ctx ends.
func (l *Generator) caller(ctx context.Context, p Profile, r *rand.Rand, id uint64) {
	c := slugcaller.New(slugcaller.Config{Seeds: l.cfg.SeedAddresses(), Key: p.Key})
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		// A request that has begun is completed although the run ends.
		if r.IntN(4) == 0 {
			l.sendPlainCall(context.WithoutCancel(ctx), c, p, fmt.Sprintf("%s-%d-%d", p.Workspace, id, n))
		} else {
			l.sendChat(context.WithoutCancel(ctx), c, p, r)
		}
		_ = slugbackoff.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(p.MeanPause)))
	}
}

// requestTimeout limits one request including its retries.
const requestTimeout = 40 * time.Second

func (l *Generator) sendChat(ctx context.Context, c *slugcaller.Client, p Profile, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	x := l.chatRequest(p, r)
	start := time.Now()
	a, err := c.Chat(ctx, x)
	l.requests.Add(1)
	if l.countOutcome(p, start, err) {
		return
	}
	l.tokens.Add(int64(x.MaxTokens))
	if a.Text != slugengine.Answer(slugengine.Prompt(x.Body()), x.MaxTokens) {
		l.incorrect.Add(1)
		l.addExample("answer to request %s has the wrong text", a.RequestID)
		return
	}
	l.complete.Add(1)
}

func (l *Generator) chatRequest(p Profile, r *rand.Rand) slugcaller.ChatRequest {
	share := l.cfg.PromptShare()
	words := 40 + int(share*800*r.Float64())
	output := 8 + int((1-share)*64*r.Float64())
	prompt := fmt.Sprintf("lineage %d of %s: %s", r.IntN(20), p.Workspace, strings.Repeat("belt ", words))
	return slugcaller.ChatRequest{Model: p.Model, Prompt: prompt, MaxTokens: output, Stream: r.IntN(3) > 0, Class: p.Class}
}

// countOutcome counts a failed request, or a late use of a revoked key, and reports whether
// the request failed.
func (l *Generator) countOutcome(p Profile, start time.Time, err error) bool {
	revokedAt := l.cfg.KeyRevokedAt(p.Workspace)
	if err == nil {
		if !revokedAt.IsZero() && start.After(revokedAt.Add(KeyRevocationBound)) {
			l.lateUses.Add(1)
			l.addExample("key of %s was accepted %s after it was revoked", p.Workspace, start.Sub(revokedAt))
		}
		return false
	}
	var refusal *slugcaller.Refusal
	if errors.As(err, &refusal) && refusal.Code != "streamInterrupted" && refusal.Code != "endpointFailed" {
		l.refused.Add(1)
		if revokedAt.IsZero() {
			l.addExample("%s: %s", p.Workspace, err)
		}
		return true
	}
	l.interrupted.Add(1)
	l.addExample("%s: %s", p.Workspace, err)
	return true
}

func (l *Generator) sendPlainCall(ctx context.Context, c *slugcaller.Client, p Profile, id string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	start := time.Now()
	_, _, err := c.Plain(ctx, slugcaller.PlainRequest{Service: p.Service, Method: http.MethodPost, Path: p.NonIdempotentPath, Body: []byte(id), IdempotencyKey: id})
	l.requests.Add(1)
	failed := l.countOutcome(p, start, err)
	var refusal *slugcaller.Refusal
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !failed:
		l.plainCalls.Add(1)
		l.acknowledged[id] = true
	case errors.As(err, &refusal) && refusal.Ran == "no":
		l.notRun[id] = true
	default:
		l.outcomeUnknown[id] = true
	}
}

// maxExamples limits the failures that a Result describes.
const maxExamples = 10

func (l *Generator) addExample(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.examples) < maxExamples {
		l.examples = append(l.examples, fmt.Sprintf(format, args...))
	}
}

// Result returns the counts so far.
func (l *Generator) Result() Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Result{
		Requests: l.requests.Load(), Complete: l.complete.Load(), PlainCalls: l.plainCalls.Load(), Tokens: l.tokens.Load(),
		Refused: l.refused.Load(), Interrupted: l.interrupted.Load(), Incorrect: l.incorrect.Load(), LateKeyUses: l.lateUses.Load(),
		Examples: append([]string(nil), l.examples...),
	}
}

// CheckExecutions compares the outcomes of the non-idempotent calls with how often each was
// executed. It returns the calls that were executed more than once, the calls that were
// answered but not executed, and the calls that were executed although a refusal said that
// they did not run.
func (l *Generator) CheckExecutions(executed map[string]int) (duplicated, lost, ranThoughRefused []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range executed {
		if n > 1 {
			duplicated = append(duplicated, id)
		}
		if l.notRun[id] {
			ranThoughRefused = append(ranThoughRefused, id)
		}
	}
	for id := range l.acknowledged {
		if executed[id] == 0 {
			lost = append(lost, id)
		}
	}
	return duplicated, lost, ranThoughRefused
}
