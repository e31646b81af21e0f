package slugpace

import (
	"math"
	"time"
)

// weighted is a measurement with its weight.
type weighted struct {
	measurement
	weight float64
}

// terms is the number of terms of the model: fixed time, tokens and pairs.
const terms = 3

// Terms of the model.
const (
	termFixed = iota
	termTokens
	termPairs
)

// subsets are the combinations of terms that are tried. The tokens are always among them.
var subsets = [][]int{{termFixed, termTokens, termPairs}, {termFixed, termTokens}, {termTokens, termPairs}, {termTokens}}

const (
	// iterations of the reweighting after which the fit changes little.
	iterations = 6
	// smallError is the fraction of the mean time below which errors count by their
	// square.
	smallError = 0.05
)

const (
	// fewTokens is the number of tokens below which the time of a call is mostly fixed: an
	// engine processes so few in one pass, whose time hardly depends on their number.
	fewTokens = 64
	// fewPairs are the pairs of fewTokens in a typical prompt.
	fewPairs = fewTokens * typicalPrompt
	// loose and tight are the fractions of the total weight with which terms are pulled
	// towards 0.
	loose, tight = 1e-6, 0.01
)

// shrinkage returns how much each term is pulled towards 0, which decides among terms that
// the measurements do not tell apart. If all prompts have one length, their time belongs to
// the tokens, unless these are so few that longer prompts would seem to take forever.
func shrinkage(tokens, pairs float64) [terms]float64 {
	few, short := fewTokens/tokens, fewPairs/pairs
	return [terms]float64{termFixed: tight, termTokens: loose + tight*few*few, termPairs: tight * max(1, short*short)}
}

// leastAbsolute fits the model by minimizing absolute errors, with iteratively reweighted
// least squares. No term may be negative. It reports false if there is no such fit.
func leastAbsolute(list []weighted) (Fit, bool) {
	var scale [terms]float64
	total, meanTook := 0.0, 0.0
	for _, m := range list {
		total += m.weight
		meanTook += m.weight * m.took
		scale[termTokens] += m.weight * m.tokens
		scale[termPairs] += m.weight * m.pairs
	}
	if total <= 0 || meanTook <= 0 {
		return Fit{}, false
	}
	meanTook /= total
	scale[termFixed] = 1
	scale[termTokens] /= total
	scale[termPairs] = max(1, scale[termPairs]/total)

	weights := make([]float64, len(list))
	for i, m := range list {
		weights[i] = m.weight
	}
	var best [terms]float64
	for range iterations {
		var ok bool
		if best, ok = leastSquares(list, weights, scale); !ok {
			return Fit{}, false
		}
		for i, m := range list {
			e := math.Abs(m.took - predict(best, m, scale))
			weights[i] = m.weight / max(1, e/(smallError*meanTook))
		}
	}
	f := Fit{Fixed: time.Duration(best[termFixed]), PerToken: best[termTokens] / scale[termTokens], PerPair: best[termPairs] / scale[termPairs]}
	return f, f.PerToken > 0
}

// row returns the scaled terms of a measurement.
func row(m weighted, scale [terms]float64) [terms]float64 {
	return [terms]float64{1, m.tokens / scale[termTokens], m.pairs / scale[termPairs]}
}

// predict returns the time of a measurement according to the coefficients.
func predict(coefficients [terms]float64, m weighted, scale [terms]float64) (t float64) {
	for i, x := range row(m, scale) {
		t += coefficients[i] * x
	}
	return t
}

// leastSquares returns the coefficients of the best weighted fit without negative terms.
func leastSquares(list []weighted, weights []float64, scale [terms]float64) (best [terms]float64, ok bool) {
	var a [terms][terms]float64
	var b [terms]float64
	total, squares := 0.0, 0.0
	for n, m := range list {
		x := row(m, scale)
		total += weights[n]
		squares += weights[n] * m.took * m.took
		for i := range x {
			b[i] += weights[n] * x[i] * m.took
			for j := range x {
				a[i][j] += weights[n] * x[i] * x[j]
			}
		}
	}
	pull := shrinkage(scale[termTokens], scale[termPairs])
	for i := range a {
		a[i][i] += pull[i] * total
	}
	least := math.Inf(1)
	for _, subset := range subsets {
		c, solved := solve(a, b, subset)
		if !solved {
			continue
		}
		// The error of the fit is squares - c·b at the solution.
		e := squares
		for i := range c {
			e -= c[i] * b[i]
		}
		if e < least {
			best, least, ok = c, e, true
		}
	}
	return best, ok
}

// solve solves the normal equations for a subset of the terms by Gaussian elimination. It
// reports false if there is no solution or a term is negative.
func solve(a [terms][terms]float64, b [terms]float64, subset []int) (c [terms]float64, ok bool) {
	for n, p := range subset {
		if a[p][p] <= 0 {
			return c, false
		}
		for _, q := range subset[n+1:] {
			f := a[q][p] / a[p][p]
			for _, r := range subset[n:] {
				a[q][r] -= f * a[p][r]
			}
			b[q] -= f * b[p]
		}
	}
	for n := len(subset) - 1; n >= 0; n-- {
		p := subset[n]
		c[p] = b[p]
		for _, q := range subset[n+1:] {
			c[p] -= a[p][q] * c[q]
		}
		c[p] /= a[p][p]
		if c[p] < 0 {
			return c, false
		}
	}
	return c, true
}
