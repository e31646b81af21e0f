package slugengine

import (
	"net/http"
	"time"
)

// Load is a load report.
type Load struct {
	// AgeMs is how old the report is.
	AgeMs         int64  `json:"ageMs"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	PrefillTokens int    `json:"prefillTokens"`
	FreePieces    int    `json:"freePieces"`
	Role          string `json:"role"`
}

type timedReport struct {
	Load
	at time.Time
}

// keptReports is the number of reports kept for lagging answers.
const keptReports = 512

// report records the present load; e.mu is held.
func (e *Engine) report() {
	l := Load{Running: len(e.running), Queued: len(e.queue), FreePieces: e.cfg.Pieces, Role: e.role}
	for _, s := range e.running {
		l.PrefillTokens += s.prefillLeft
		l.FreePieces -= (promptTokens(s.prompt) + s.done) / e.cfg.TokensPerPiece
	}
	for _, s := range e.queue {
		l.PrefillTokens += promptTokens(s.prompt)
	}
	l.FreePieces = max(0, l.FreePieces)
	e.reports = append(e.reports, timedReport{l, time.Now()})
	if n := len(e.reports) - keptReports; n > 0 {
		e.reports = e.reports[n:]
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.report()
	shown := e.reports[0]
	limit := time.Now().Add(-e.cfg.ReportLag)
	for _, r := range e.reports {
		if !r.at.After(limit) {
			shown = r
		}
	}
	e.mu.Unlock()
	l := shown.Load
	l.AgeMs = time.Since(shown.at).Milliseconds()
	writeJSON(w, http.StatusOK, l)
}
