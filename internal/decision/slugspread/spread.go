// Package slugspread chooses among endpoints whose loads are known with a delay.
//
// It answers many hosts that send to the same endpoints at once. If each of them chooses the
// endpoint with the lowest load that it knows, they all choose the same one until they learn
// of each other's requests, and that endpoint gets a multiple of the mean load while others
// idle. The package therefore estimates how many requests others have sent since the loads
// were measured, and chooses each endpoint with the probability that divides these requests
// so that all loads become equal (Dahlin, "Interpreting Stale Load Information"). Without such
// requests, the endpoint with the lowest load is chosen.
//
// The package performs no I/O.
//
// # Usage
//
//	c := slugspread.New(loads, unseen)
//	i := c.Choose(rand.Float64())
package slugspread

import (
	"math"
	"slices"
)

// Choice divides requests among endpoints.
type Choice struct {
	// shares are the requests that each endpoint gets of those that others have sent, in the
	// order of the endpoints.
	shares []float64
	total  float64
	lowest int
}

// New returns a Choice among endpoints with the given loads, which are in requests, when
// others are expected to have sent unseen requests since the loads were measured.
func New(loads []float64, unseen float64) *Choice {
	c := &Choice{}
	for i, l := range loads {
		if l < loads[c.lowest] {
			c.lowest = i
		}
	}
	if unseen <= 0 {
		return c
	}
	level := fillLevel(loads, unseen)
	c.shares = make([]float64, len(loads))
	for i, l := range loads {
		c.shares[i] = max(0, level-l)
		c.total += c.shares[i]
	}
	return c
}

// fillLevel returns the load that the least loaded endpoints reach together when they get n
// requests.
func fillLevel(loads []float64, n float64) float64 {
	sorted := slices.Sorted(slices.Values(loads))
	sum := 0.0
	for i, l := range sorted {
		sum += l
		level := (sum + n) / float64(i+1)
		if i+1 == len(sorted) || level <= sorted[i+1] {
			return level
		}
	}
	return math.Inf(1)
}

// Choose returns the index of the chosen endpoint for a random number x in [0, 1). There must
// be an endpoint.
func (c *Choice) Choose(x float64) int {
	if c.total <= 0 {
		return c.lowest
	}
	x *= c.total
	for i, s := range c.shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return c.lowest
}
