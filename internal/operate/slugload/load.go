// Package slugload sends a mixed load to a system and checks every answer: that it
// is the caller's own and whole, and that calls which must not be repeated took
// effect once.
//
// # Usage
//
//	l := slugload.New(slugload.Config{Profiles: profiles, Seeds: seeds, Seed: 1})
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

// Profile is the load of one workspace.
type Profile struct {
	Workspace slugname.Workspace
	Key       string
	Model     string
	// Service is the plain service of the workspace.
	Service string
	// NonIdempotentPath is a call that must not be repeated.
	NonIdempotentPath string
	// Callers is the number of requests at a time.
	Callers int
	// MeanPause is the mean time between the requests of a caller.
	MeanPause time.Duration
	Class string
}

// Config makes a Load.
type Config struct {
	Profiles []Profile
	// SeedAddresses returns addresses to begin with.
	SeedAddresses func() []string
	Seed  uint64
	// PromptShare returns the part of the work that is prompt, which may change.
	PromptShare func() float64
	// KeyRevokedAt tells since when a workspace's key is withdrawn; zero means never.
	KeyRevokedAt func(slugname.Workspace) time.Time
}

// Result counts what happened.
type Result struct {
	Requests int64 `json:"requests"`
	Complete    int64 `json:"whole"`
	PlainCalls    int64 `json:"plain"`
	Tokens   int64 `json:"tokens"`
	// Refused are requests that were refused truthfully and not repeated.
	Refused int64 `json:"refused"`
	// Interrupted are answers that were not whole.
	Interrupted int64 `json:"cut"`
	// Incorrect are answers with a wrong text.
	Incorrect int64 `json:"wrong"`
	// LateKeyUses are requests that a withdrawn key got through after KeyRevocationBound.
	LateKeyUses int64 `json:"lateUses"`
	// Examples are the first few failures.
	Examples []string `json:"examples"`
}

// KeyRevocationBound is the time after which a withdrawn key must not work.
const KeyRevocationBound = 5 * time.Second

// Generator sends a load.
type Generator struct {
	cfg Config

	requests, complete, plainCalls, tokens, refused, interrupted, incorrect, lateUses atomic.Int64

	mu       sync.Mutex
	examples []string
	// acknowledged are the bodies of calls that must not be repeated and that were
	// answered; unknown are those whose outcome is not known.
	acknowledged map[string]bool
	outcomeUnknown      map[string]bool
	notRun       map[string]bool
}

// New returns a Load.
func New(cfg Config) *Generator {
	if cfg.PromptShare == nil {
		cfg.PromptShare = func() float64 { return 0.5 }
	}
	if cfg.KeyRevokedAt == nil {
		cfg.KeyRevokedAt = func(slugname.Workspace) time.Time { return time.Time{} }
	}
	return &Generator{cfg: cfg, acknowledged: map[string]bool{}, outcomeUnknown: map[string]bool{}, notRun: map[string]bool{}}
}

// Run sends until ctx ends, and waits for the last answers.
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

// caller is one caller of a workspace.
func (l *Generator) caller(ctx context.Context, p Profile, r *rand.Rand, id uint64) {
	c := slugcaller.New(slugcaller.Config{Seeds: l.cfg.SeedAddresses(), Key: p.Key})
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		// A request that was begun is waited for, though the run ends.
		if r.IntN(4) == 0 {
			l.sendPlainCall(context.WithoutCancel(ctx), c, p, fmt.Sprintf("%s-%d-%d", p.Workspace, id, n))
		} else {
			l.sendChat(context.WithoutCancel(ctx), c, p, r)
		}
		_ = slugbackoff.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(p.MeanPause)))
	}
}

// requestTimeout bounds one request with its repetitions.
const requestTimeout = 40 * time.Second

func (l *Generator) sendChat(ctx context.Context, c *slugcaller.Client, p Profile, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	x := l.chatRequest(p, r)
	began := time.Now()
	a, err := c.Chat(ctx, x)
	l.requests.Add(1)
	if l.countOutcome(p, began, err) {
		return
	}
	l.tokens.Add(int64(x.MaxTokens))
	if a.Text != slugengine.Answer(slugengine.Prompt(x.Body()), x.MaxTokens) {
		l.incorrect.Add(1)
		l.addExample("wrong text of request %s", a.RequestID)
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

// countOutcome counts a failed request and reports whether it failed.
func (l *Generator) countOutcome(p Profile, began time.Time, err error) bool {
	withdrawn := l.cfg.KeyRevokedAt(p.Workspace)
	if err == nil {
		if !withdrawn.IsZero() && began.After(withdrawn.Add(KeyRevocationBound)) {
			l.lateUses.Add(1)
			l.addExample("key of %s worked %s after it was withdrawn", p.Workspace, began.Sub(withdrawn))
		}
		return false
	}
	var refusal *slugcaller.Refusal
	if errors.As(err, &refusal) && refusal.Code != "streamInterrupted" && refusal.Code != "endpointFailed" {
		l.refused.Add(1)
		if withdrawn.IsZero() {
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
	began := time.Now()
	_, _, err := c.Plain(ctx, slugcaller.PlainRequest{Service: p.Service, Method: http.MethodPost, Path: p.NonIdempotentPath, Body: []byte(id), IdempotencyKey: id})
	l.requests.Add(1)
	failed := l.countOutcome(p, began, err)
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

// maxExamples bounds the failures that are told.
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

// CheckExecutions compares the calls that must not be repeated with how often each was
// executed. It returns calls that took effect twice, calls that were answered but
// not executed, and calls that ran though they were refused as not run.
func (l *Generator) CheckExecutions(executed map[string]int) (twice, lost, untrue []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range executed {
		if n > 1 {
			twice = append(twice, id)
		}
		if l.notRun[id] {
			untrue = append(untrue, id)
		}
	}
	for id := range l.acknowledged {
		if executed[id] == 0 {
			lost = append(lost, id)
		}
	}
	return twice, lost, untrue
}
