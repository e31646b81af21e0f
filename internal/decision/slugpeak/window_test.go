package slugpeak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestPeakOfSpan guards against a peak that is forgotten too soon or kept too long, by
// comparison with a search through all samples.
func TestPeakOfSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, now := New(10*time.Second), start
		var all []sample
		for range rapid.IntRange(1, 60).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			value := float64(rapid.IntRange(0, 9).Draw(t, "value"))
			w.Add(value, now)
			all = append(all, sample{now, value})
			span := time.Duration(rapid.IntRange(0, 10).Draw(t, "span")) * time.Second
			want := 0.0
			for _, s := range all {
				if now.Sub(s.at) <= span {
					want = max(want, s.value)
				}
			}
			if got := w.Peak(span, now); got != want {
				t.Fatalf("peak of %s is %v, not %v", span, got, want)
			}
		}
	})
	assert.Equal(t, New(time.Second).Peak(time.Second, start), 0.0)
}
