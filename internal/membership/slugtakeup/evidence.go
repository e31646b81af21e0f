package slugtakeup

import (
	"slices"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugorigin"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
)

// evidence is what observers know of the versions of a service before a take-up.
type evidence struct {
	service slugname.Service
	// asked is when the stream was taken up; it began within limit before.
	asked    slugclock.Instant
	limit    time.Duration
	versions []slugname.SoftwareVersion
	spans    []slugorigin.Span
}

// add adds the versions that an observer has seen, and the span of its observation, which is
// zero if it knows of none.
func (e *evidence) add(versions []slugname.SoftwareVersion, span slugorigin.Span) {
	e.versions = union(e.versions, versions)
	if !span.To.IsZero() {
		e.spans = append(e.spans, span)
	}
}

// covered returns the instant up to which spans follow each other without a gap, from the
// earliest one at which the stream may have begun.
func (e *evidence) covered() slugclock.Instant {
	reach := e.asked.Add(-e.limit)
	slices.SortFunc(e.spans, func(a, b slugorigin.Span) int { return a.From.Time().Compare(b.From.Time()) })
	for _, s := range e.spans {
		if s.From.After(reach) {
			break
		}
		if s.To.After(reach) {
			reach = s.To
		}
	}
	return reach
}

// complete reports whether all of the time in which the stream may have begun is covered.
func (e *evidence) complete() bool { return !e.asked.After(e.covered()) }

// maxSpanAge bounds the ages that are told to peers.
const maxSpanAge = time.Hour

// encodeSpan converts a span for peers.
func encodeSpan(s slugorigin.Span, now slugclock.Instant) *slugpeer.ObservedSpan {
	if s.To.IsZero() {
		return nil
	}
	return &slugpeer.ObservedSpan{
		FromMs: uint32(min(now.Sub(s.From), maxSpanAge).Milliseconds()),
		ToMs:   uint32((min(now.Sub(s.To), maxSpanAge) + time.Millisecond - 1).Milliseconds()),
	}
}

// decodeSpan converts the span of a peer that was asked and answered at the given instants.
// The result is at most as long as the span.
func decodeSpan(s *slugpeer.ObservedSpan, asked, answered slugclock.Instant) slugorigin.Span {
	if s == nil {
		return slugorigin.Span{}
	}
	return slugorigin.Span{
		From: answered.Add(-time.Duration(s.FromMs) * time.Millisecond),
		To:   asked.Add(-time.Duration(s.ToMs) * time.Millisecond),
	}
}
