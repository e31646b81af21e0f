package slughost

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugwhere"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplacement"
	"github.com/sassafraslug/sassafraslug/internal/fleet/slugregistry"
	"github.com/sassafraslug/sassafraslug/internal/request/slugdispatch"
	"github.com/sassafraslug/sassafraslug/internal/version/slugrouting"
)

// operatorsHandler returns the handler of the metrics address, which only operators reach.
func (h *Host) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", h.serveMetrics)
	mux.HandleFunc("POST "+slugwhere.Path, h.serveWhere)
	return mux
}

// serveWhere answers where a request would go now. The key of the question is neither logged
// nor part of the answer.
func (h *Host) serveWhere(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	q, err := readQuestion(r)
	var call *slugdispatch.Call
	if err == nil {
		call, err = h.callFor(q)
	}
	var document any
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		document = slugwhere.Failure{Error: err.Error()}
	} else {
		document = h.answer(h.dispatcher.Preview(r.Context(), call))
	}
	// A write fails only if the operator disconnected, which needs no handling.
	_ = json.NewEncoder(w).Encode(document)
}

// readQuestion reads a question.
func readQuestion(r *http.Request) (q slugwhere.Question, err error) {
	d := json.NewDecoder(slugwhere.MaxQuestion.Reader(r.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		return q, errors.Wrap(err, "decode question")
	}
	if (q.Route == "") == (q.Host == "" || q.Path == "") {
		return q, errors.New("either route, or host and path are required")
	}
	if q.Tokens < 0 || q.Output < 0 || q.TimeoutMs < 0 {
		return q, errors.New("tokens, output and timeoutMs must not be negative")
	}
	for _, p := range q.Parts {
		if p.ID == "" || p.Tokens < 0 {
			return q, errors.Newf("part %q has %d tokens: an ID and 0 or more tokens are required", p.ID, p.Tokens)
		}
	}
	return q, nil
}

// callFor returns the call that a question describes.
func (h *Host) callFor(q slugwhere.Question) (*slugdispatch.Call, error) {
	c := &slugdispatch.Call{
		Host: q.Host, Path: q.Path, Key: q.Key, Timeout: time.Duration(q.TimeoutMs) * time.Millisecond, Received: time.Now(),
		Prompt: slugplacement.Job{Tokens: q.Tokens, Output: q.Output, DataCentre: h.settings().DataCentre},
	}
	for _, p := range q.Parts {
		c.Prompt.Parts = append(c.Prompt.Parts, slugplacement.Part{ID: slugplacement.PartID(p.ID), Tokens: p.Tokens})
	}
	if q.Route == "" {
		return c, nil
	}
	route := routeNamed(h.follower.Table(), q.Route)
	if route == nil {
		return nil, errors.Newf("no route is named %q", q.Route)
	}
	c.Host, c.Path = route.Host, route.Prefix
	return c, nil
}

// routeNamed returns the route with a name, or nil.
func routeNamed(t *slugrouting.Table, name string) *slugrouting.Route {
	if t == nil {
		return nil
	}
	for _, r := range t.Routes {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// answer converts a preview for operators.
func (h *Host) answer(p slugdispatch.Preview) slugwhere.Answer {
	now := time.Now()
	a := slugwhere.Answer{
		HostName: h.settings().Host, ConfigurationAgeMs: -1, PeerLoadsAgeMs: -1, TimeoutMs: p.Remaining.Milliseconds(),
		WouldSend: p.Refusal == nil, ExpectedMs: toMs(p.First), Measured: p.Measured, Stages: []slugwhere.Stage{},
	}
	if at := h.peerLoadsAt.Load(); at != nil {
		a.PeerLoadsAgeMs = now.Sub(*at).Milliseconds()
	}
	if p.Table != nil {
		a.Configuration, a.ConfigurationAgeMs = p.Table.Version, slugclock.Since(h.follower.LastConfirmed()).Milliseconds()
	}
	if p.Route != nil {
		a.Route, a.Kind = p.Route.Name, string(p.Route.Kind)
		for _, t := range p.Route.Targets {
			a.Services = append(a.Services, slugwhere.Service{Name: t.Service, Weight: t.Weight})
		}
	}
	if p.Workspace != nil {
		a.Workspace = p.Workspace.Name
	}
	if p.Refusal != nil {
		a.Refusal = &slugwhere.Refusal{Code: p.Refusal.Code, Status: p.Refusal.Status(), Message: p.Refusal.Message, RetryAfterMs: p.Refusal.RetryAfter.Milliseconds()}
	}
	if p.Service != nil {
		a.Service, a.LeftOut = p.Service.Name, h.leftOut(p.Service.Name)
	}
	for _, s := range p.Stages {
		a.Stages = append(a.Stages, encodeStage(s, now))
	}
	return a
}

// leftOut returns the registered endpoints of a service that take no new work.
func (h *Host) leftOut(s slugname.Service) (out []slugwhere.LeftOut) {
	placer := h.placer(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.registry.Endpoints(s) {
		reason := h.unusable(e)
		if reason == "" && !placer.Lists(e.Name, int64(e.Incarnation)) {
			reason = "new: it may be about to change its role"
		}
		if reason != "" {
			out = append(out, slugwhere.LeftOut{Endpoint: e.Name, Reason: reason})
		}
	}
	return out
}

// unusable returns why an endpoint accepts no new requests, or "" if it may. The caller must
// hold h.mu.
func (h *Host) unusable(e slugregistry.Endpoint) string {
	planned, ok := h.peerRoles[e.Name]
	switch {
	case e.Leaving:
		return "leaving according to its entry"
	case h.saidLeaving(e):
		return "said that it is leaving"
	case h.peerDraining[e.Name]:
		return "leaving according to a peer"
	case ok && planned != e.Role:
		return "about to change its role to " + string(planned)
	}
	return ""
}

// encodeStage converts a stage for operators.
func encodeStage(s slugdispatch.PreviewStage, now time.Time) slugwhere.Stage {
	out := slugwhere.Stage{Stage: s.Name, Candidates: []slugwhere.Candidate{}}
	if s.Choice != nil {
		out.Chosen, out.FetchFrom = s.Choice.Name, s.Choice.FetchFrom
	}
	for _, c := range s.Candidates {
		out.Candidates = append(out.Candidates, encodeCandidate(c, now))
	}
	return out
}

// encodeCandidate converts what is known of an endpoint for operators.
func encodeCandidate(c slugplacement.Candidate, now time.Time) slugwhere.Candidate {
	out := slugwhere.Candidate{
		Endpoint: c.Name, Incarnation: c.Incarnation, Address: c.Address, DataCentre: c.DataCentre, Role: c.Role, SoftwareVersion: c.Version, Slots: c.Slots,
		RuledOut: string(c.Excluded), ExpectedMs: toMs(c.Expected), WaitMs: toMs(c.Wait), CachedTokens: c.Cached, CacheReported: c.CacheReported,
		OwnStreams: c.Own.Streams, OwnPromptsMs: toMs(c.Own.Prefill), PeerStreams: c.Peers.Streams, PeerPromptsMs: toMs(c.Peers.Prefill),
		ForecastAgeMs: ageSince(c.ForecastAt, now), Slowness: c.Slowness, SlownessAgeMs: ageSince(c.SlownessAt, now), Failures: c.Failures, FailuresAgeMs: ageSince(c.FailuresAt, now),
		AvoidedForMs: c.AvoidedFor.Milliseconds(), Leaving: c.Leaving, WaitAskedMs: c.WaitAsked.Milliseconds(), LastPromptMs: ageSince(c.LastPromptAt, now),
	}
	if c.PerSecond > 0 {
		out.Limit = &slugwhere.Limit{PerSecond: c.PerSecond, AgeMs: now.Sub(c.LimitedAt).Milliseconds(), PermitInMs: c.PermitIn.Milliseconds()}
	}
	return out
}

// ageSince returns the time since at in milliseconds, or nil if at is zero.
func ageSince(at, now time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	n := now.Sub(at).Milliseconds()
	return &n
}

// toMs converts a duration to milliseconds.
func toMs(d time.Duration) float64 { return d.Seconds() * 1000 }
