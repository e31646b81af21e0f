package slugplacement

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// Holder is an engine that has shared parts of a prompt in its cache, as far as the owner of
// another engine knows.
type Holder struct {
	// Endpoint is empty if there is none.
	Endpoint slugname.Endpoint
	// Tokens is the number of leading tokens of the prompt.
	Tokens int
	// ReadyIn is the time until it has processed them.
	ReadyIn time.Duration
}

// PrefillAtHome chooses the home of a prompt's shared parts, however busy it is, so that its owner
// is asked. A host sends few prompts with one shared part, and knows little of where it is
// cached; the owner of its home is told of all. Without an answer, the caller must choose anew
// with Prefill. It reports false if there is no home to ask.
func (p *Placer) PrefillAtHome(j Job, exclude []slugname.Endpoint, now time.Time) (*Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	home := p.homeEndpoint(j.lastSharedPart(), slugplan.RolePrefill)
	if home == nil || now.Before(home.avoidUntil) || p.exclusion(home, slugplan.RolePrefill, "", exclude, now) != "" {
		return nil, false
	}
	cached := assumedCached(home, home, j, min(home.cache.cached(j.Parts), j.Tokens))
	e := p.predictPrefill(home, j, cached, p.medianSlowness(slugplan.RolePrefill, now), p.workWeight(now), now)
	c := p.choice(&e, j, now)
	c.AtHome = true
	return p.assign(c, slugplan.RolePrefill, now)
}

// holderFor returns the engine other than s that has most of a prompt's shared parts, if it has
// enough more than s to be worth a fetch. The caller must hold p.mu.
func (p *Placer) holderFor(s *endpointState, j Job, cached int, now time.Time) Holder {
	if cached >= j.sharedTokens() {
		return Holder{}
	}
	h := p.largestHolder(j, now)
	if h.endpointState == nil || h.endpointState == s || h.tokens < cached+minFetchTokens {
		return Holder{}
	}
	return Holder{h.Name, h.tokens, max(0, h.readyAt.Sub(now))}
}

// serves reports whether a prompt of which an engine fetches or has so many tokens can fetch more
// from the holder when it begins.
func (h Holder) serves(tokens int, wait time.Duration) bool {
	return h.Tokens > tokens && h.ReadyIn <= wait
}

// applyHolder records what the owner knows of another engine's cache. If that has processed the
// shared parts when the prompt begins, the prompt fetches them from there; the forecast takes
// that into account. The caller must hold p.mu.
func (c *Choice) applyHolder(f Forecast, now time.Time) {
	s := c.p.byName[f.Holder.Endpoint]
	if s == nil {
		return
	}
	readyAt := now.Add(f.Holder.ReadyIn)
	s.cache.correct(c.job.sharedParts(), f.Holder.Tokens, readyAt)
	if f.Holder.serves(c.Cached, f.Wait) {
		c.FetchFrom, c.Cached, c.fetchAt = s.Address, f.Holder.Tokens, readyAt
	}
}

// SendInstead records that the prompt, which was announced for c, is sent to another engine, unless
// it was declined or deferred there.
func (c *Choice) SendInstead(other *Choice) {
	if other.Forecast.accepted() {
		c.instead = other
	}
}

// Instead returns the engine to which the prompt is sent instead, and the time until that has
// processed it. The name is empty if the prompt is not sent to another one.
func (c *Choice) Instead() (slugname.Endpoint, time.Duration) {
	if c.instead == nil {
		return "", 0
	}
	return c.instead.Name, withMargin(c.instead.Predicted)
}

// Withdrawal returns the forecast with which the announcement for c is withdrawn. A prompt that
// was not accepted there has added nothing to the backlog; it is withdrawn only to tell the owner
// of the home where the prompt is sent instead, and removes nothing.
func (c *Choice) Withdrawal() (Forecast, bool) {
	switch {
	case !c.FromOwner:
		return Forecast{}, false
	case c.Forecast.accepted():
		return c.Forecast, true
	}
	return Forecast{Cached: c.job.Tokens}, c.AtHome && c.instead != nil
}

// RecordSent records, at the owner of an engine for which a prompt was announced, that the prompt
// was sent to another one, which will have processed it after readyIn. So the owner of the home
// of shared parts knows where they are.
func (p *Placer) RecordSent(e slugname.Endpoint, j Job, readyIn time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.byName[e]; s != nil && s.Role == slugplan.RolePrefill {
		s.cache.addUnprocessed(j.sharedParts(), now.Add(readyIn), now)
	}
}
