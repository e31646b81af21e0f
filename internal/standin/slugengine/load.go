package slugengine

import (
	"net/http"
	"time"
)

// Load is a load report of the engine.
type Load struct {
	// AgeMs is the age of the report in milliseconds.
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

// maxLoadReports is the number of past reports kept to serve reports with a lag.
const maxLoadReports = 512

// recordLoad appends a report of the current load; e.mu is held.
func (e *Engine) recordLoad() {
	l := Load{Running: len(e.running), Queued: len(e.queue), FreePieces: e.cfg.Pieces, Role: e.role}
	for _, s := range e.running {
		l.PrefillTokens += s.prefillLeft
		l.FreePieces -= (promptTokens(s.prompt) + s.generated) / e.cfg.TokensPerPiece
	}
	for _, s := range e.queue {
		l.PrefillTokens += promptTokens(s.prompt)
	}
	l.FreePieces = max(0, l.FreePieces)
	e.reports = append(e.reports, timedReport{l, time.Now()})
	if n := len(e.reports) - maxLoadReports; n > 0 {
		e.reports = e.reports[n:]
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.recordLoad()
	visible := e.reports[0]
	latestVisible := time.Now().Add(-e.cfg.ReportLag)
	for _, r := range e.reports {
		if !r.at.After(latestVisible) {
			visible = r
		}
	}
	e.mu.Unlock()
	l := visible.Load
	l.AgeMs = time.Since(visible.at).Milliseconds()
	writeJSON(w, http.StatusOK, l)
}
