// Package slugline orders requests that wait for their turn at an endpoint by their deadlines.
//
// The package performs no I/O. A Line is not safe for concurrent use.
//
// # Usage
//
//	var line slugline.Line
//	place := line.Join(deadline)
//	defer line.Leave(place)
//	if line.Ahead(place) == 0 { send }
package slugline

import (
	"slices"
	"time"
)

// Line holds the places of waiting requests, the one with the earliest deadline first. The zero
// value is empty.
type Line struct{ places []*Place }

// Place is the place of one request.
type Place struct{ deadline time.Time }

// Join adds a request with the given deadline behind those with the same one.
func (l *Line) Join(deadline time.Time) *Place {
	p := &Place{deadline}
	i := slices.IndexFunc(l.places, func(other *Place) bool { return other.deadline.After(deadline) })
	if i < 0 {
		i = len(l.places)
	}
	l.places = slices.Insert(l.places, i, p)
	return p
}

// Leave removes a request.
func (l *Line) Leave(p *Place) {
	l.places = slices.DeleteFunc(l.places, func(other *Place) bool { return other == p })
}

// Ahead returns the number of requests before p.
func (l *Line) Ahead(p *Place) int { return max(0, slices.Index(l.places, p)) }

// AheadOf returns the number of requests before one with the given deadline that joins now.
func (l *Line) AheadOf(deadline time.Time) (n int) {
	for _, p := range l.places {
		if !p.deadline.After(deadline) {
			n++
		}
	}
	return n
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return len(l.places) }
