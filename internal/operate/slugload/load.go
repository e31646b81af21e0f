// Package slugload generates a mixed load of completions and plain calls. It checks that
// every response is complete and belongs to its request, and that non-idempotent calls took
// effect once.
//
// # Usage
//
//	g := slugload.New(slugload.Config{Profiles: profiles, SeedAddresses: seeds, Seed: 1})
//	g.Run(ctx)
//	fmt.Println(g.Result())
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
	// Class is the class of the chat requests.
	Class string
}

// Config configures a Generator.
type Config struct {
	Profiles []Profile
	// SeedAddresses returns the gate addresses for the first lookup.
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
	// incomplete response.
	Interrupted int64 `json:"cut"`
	// Incorrect is the number of complete responses with a wrong text.
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
	// The bodies of non-idempotent calls by outcome: acknowledged ones got a response,
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

// Run generates load until ctx ends, and then waits for the last responses.
func (g *Generator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	n := uint64(0)
	for _, p := range g.cfg.Profiles {
		for range p.Callers {
			n++
			r := rand.New(rand.NewPCG(g.cfg.Seed, n))
			wg.Go(func() { g.caller(ctx, p, r, n) })
		}
	}
	wg.Wait()
}

// caller runs one caller of a workspace until ctx ends.
func (g *Generator) caller(ctx context.Context, p Profile, r *rand.Rand, id uint64) {
	c := slugcaller.New(slugcaller.Config{SeedAddresses: g.cfg.SeedAddresses(), Key: p.Key})
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		// On average one of four requests is a plain call. A request that has begun is
		// completed although the run ends.
		if r.IntN(4) == 0 {
			g.sendPlainCall(context.WithoutCancel(ctx), c, p, fmt.Sprintf("%s-%d-%d", p.Workspace, id, n))
		} else {
			g.sendChat(context.WithoutCancel(ctx), c, p, r)
		}
		_ = slugbackoff.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(p.MeanPause)))
	}
}

// requestTimeout limits one request including its retries.
const requestTimeout = 40 * time.Second

func (g *Generator) sendChat(ctx context.Context, c *slugcaller.Client, p Profile, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req := g.chatRequest(p, r)
	start := time.Now()
	a, err := c.Chat(ctx, req)
	g.requests.Add(1)
	if g.countOutcome(p, start, err) {
		return
	}
	g.tokens.Add(int64(req.MaxTokens))
	if a.Text != slugengine.Answer(slugengine.Prompt(req.Body()), req.MaxTokens) {
		g.incorrect.Add(1)
		g.addExample("answer to request %s has the wrong text", a.RequestID)
		return
	}
	g.complete.Add(1)
}

// chatRequest returns a request with a prompt of at least 40 words and at least 8 output tokens.
// PromptShare splits the remaining work: it adds up to 800 words if it is 1, or up to 64 tokens
// if it is 0.
func (g *Generator) chatRequest(p Profile, r *rand.Rand) slugcaller.ChatRequest {
	share := g.cfg.PromptShare()
	words := 40 + int(share*800*r.Float64())
	output := 8 + int((1-share)*64*r.Float64())
	prompt := fmt.Sprintf("lineage %d of %s: %s", r.IntN(20), p.Workspace, strings.Repeat("belt ", words))
	return slugcaller.ChatRequest{Model: p.Model, Prompt: prompt, MaxTokens: output, Stream: r.IntN(3) > 0, Class: p.Class}
}

// countOutcome counts a failed request, or a late use of a revoked key, and reports whether
// the request failed.
func (g *Generator) countOutcome(p Profile, start time.Time, err error) bool {
	revokedAt := g.cfg.KeyRevokedAt(p.Workspace)
	if err == nil {
		if !revokedAt.IsZero() && start.After(revokedAt.Add(KeyRevocationBound)) {
			g.lateUses.Add(1)
			g.addExample("key of %s was accepted %s after it was revoked", p.Workspace, start.Sub(revokedAt))
		}
		return false
	}
	var refusal *slugcaller.Refusal
	if errors.As(err, &refusal) && refusal.Code != "streamInterrupted" && refusal.Code != "endpointFailed" {
		g.refused.Add(1)
		// A refusal is expected once the key was revoked.
		if revokedAt.IsZero() {
			g.addExample("%s: %s", p.Workspace, err)
		}
		return true
	}
	g.interrupted.Add(1)
	g.addExample("%s: %s", p.Workspace, err)
	return true
}

func (g *Generator) sendPlainCall(ctx context.Context, c *slugcaller.Client, p Profile, id string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	start := time.Now()
	_, _, err := c.Plain(ctx, slugcaller.PlainRequest{Service: p.Service, Method: http.MethodPost, Path: p.NonIdempotentPath, Body: []byte(id), IdempotencyKey: id})
	g.requests.Add(1)
	failed := g.countOutcome(p, start, err)
	var refusal *slugcaller.Refusal
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !failed:
		g.plainCalls.Add(1)
		g.acknowledged[id] = true
	case errors.As(err, &refusal) && refusal.Ran == "no":
		g.notRun[id] = true
	default:
		g.outcomeUnknown[id] = true
	}
}

// maxExamples limits the failures that a Result describes.
const maxExamples = 10

func (g *Generator) addExample(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.examples) < maxExamples {
		g.examples = append(g.examples, fmt.Sprintf(format, args...))
	}
}

// Result returns the counts so far.
func (g *Generator) Result() Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Result{
		Requests: g.requests.Load(), Complete: g.complete.Load(), PlainCalls: g.plainCalls.Load(), Tokens: g.tokens.Load(),
		Refused: g.refused.Load(), Interrupted: g.interrupted.Load(), Incorrect: g.incorrect.Load(), LateKeyUses: g.lateUses.Load(),
		Examples: append([]string(nil), g.examples...),
	}
}

// CheckExecutions compares the outcomes of the non-idempotent calls with how often each was
// executed. It returns the calls that were executed more than once, the calls that were
// acknowledged but not executed, and the calls that were executed although a refusal said that
// they did not run.
func (g *Generator) CheckExecutions(executed map[string]int) (duplicated, lost, ranThoughRefused []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, n := range executed {
		if n > 1 {
			duplicated = append(duplicated, id)
		}
		if g.notRun[id] {
			ranThoughRefused = append(ranThoughRefused, id)
		}
	}
	for id := range g.acknowledged {
		if executed[id] == 0 {
			lost = append(lost, id)
		}
	}
	return duplicated, lost, ranThoughRefused
}
