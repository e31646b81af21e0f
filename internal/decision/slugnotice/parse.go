package slugnotice

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
)

// maxSeconds is a number of seconds that a time.Duration can hold.
const maxSeconds = 1e9

// ParseRetryAfter parses the value of a Retry-After header: a date, or a number of seconds
// that may have fractions. An empty value is 0.
func ParseRetryAfter(text string, now time.Time) (time.Duration, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, nil
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(0, at.Sub(now)), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, slugfault.New("decode time to wait", "", "Retry-After: %q is neither a number of seconds nor a date", text)
	}
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second)), nil
}
