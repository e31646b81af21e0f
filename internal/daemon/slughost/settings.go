package slughost

import (
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugbudget"
)

// revokeTransition is how long a longer bound on revocations stays in effect after a reload
// that shortened it. Until the watch calls that began before have ended, here and at the hosts
// that this one follows, the configuration is confirmed at the old interval, and requests with
// keys would be refused. It covers the time between reads of the settings file at the other
// hosts (5 s), and the longest watch calls (1.5 s) and calls to peers (1.1 s) in a row.
const revokeTransition = 10 * time.Second

// inEffect holds the settings in effect and what remains of those before.
type inEffect struct {
	*slugsettings.Settings
	// revokeBefore is a longer Revoke that is in effect for revokeTransition after
	// shortenedAt.
	revokeBefore time.Duration
	shortenedAt  slugclock.Instant
}

// settings returns the settings in effect. Those that change while the daemon runs must be read
// anew for each use, or be applied by ApplySettings.
func (h *Host) settings() *slugsettings.Settings { return h.inEffect.Load().Settings }

// ApplySettings puts settings into effect while the host runs. It must not be called
// concurrently. Only settings that state so may differ from those of New. No connection and no
// request is affected.
func (h *Host) ApplySettings(s *slugsettings.Settings) {
	next := *h.inEffect.Load()
	if s.Revoke < next.Revoke {
		next.revokeBefore, next.shortenedAt = h.revoke(), slugclock.Now()
	}
	next.Settings = s
	h.inEffect.Store(&next)
	h.updateRetryBudgets()
}

// revoke returns the bound on revocations by which the age of the configuration is judged.
func (h *Host) revoke() time.Duration {
	s := h.inEffect.Load()
	if s.revokeBefore > 0 && slugclock.Since(s.shortenedAt) < revokeTransition {
		return max(s.Revoke, s.revokeBefore)
	}
	return s.Revoke
}

// retryLimits returns the limits of the retry budgets, without the fixed part.
func (h *Host) retryLimits() slugbudget.Config {
	s := h.settings()
	return slugbudget.Config{Ratio: s.RetryRatio, Window: s.RetryWindow, Reserve: retryReserve}
}

// updateRetryBudgets applies the settings and the number of known hosts to all retry budgets.
func (h *Host) updateRetryBudgets() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.retryBudgets) == 0 {
		return // The host may not have joined yet, so that retryExtra has no records to count.
	}
	limits, extra, now := h.retryLimits(), h.retryExtra(), time.Now()
	for _, b := range h.retryBudgets {
		b.SetLimits(limits, now)
		b.SetExtra(extra)
	}
}
