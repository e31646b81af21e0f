package sluggate

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugmetrics"
	"github.com/sassafraslug/sassafraslug/internal/request/slugadmit"
	"github.com/sassafraslug/sassafraslug/internal/request/slugchat"
	"github.com/sassafraslug/sassafraslug/internal/request/slugplaincall"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
)

// serveHTTP serves callers.
func (g *Gate) serveHTTP(w http.ResponseWriter, r *http.Request) {
	g.callersMux().ServeHTTP(w, r)
}

// callersMux returns the routes for callers. They are created on the first call.
func (g *Gate) callersMux() *http.ServeMux {
	g.callerRoutesOnce.Do(func() { g.callerRoutes = g.newCallersMux() })
	return g.callerRoutes
}

// newCallersMux returns new routes for callers.
func (g *Gate) newCallersMux() *http.ServeMux {
	chat := slugchat.New(slugchat.Config{
		Snapshot: g.Follower.Snapshot, Admitter: g.admitter, Sender: g.sender, Ledger: g.ledger, Burn: g.burn,
		Suspects: g.suspects, Quarantines: g.quarantines, Log: g.log, Refused: g.handleRefusal, ProgressTimeout: g.settings.Progress, WriteTimeout: g.settings.WriteTimeout, GatesBefore: g.gatesBefore,
	})
	plain := slugplaincall.New(slugplaincall.Config{
		Snapshot: g.Follower.Snapshot, Admitter: g.admitter, Sender: g.sender, Claims: g.claims,
		Ledger: g.ledger, Burn: g.burn, Log: g.log, Refused: g.handleRefusal,
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", g.getAddresses)
	mux.HandleFunc("GET /v1/models", g.getModels)
	mux.Handle("POST /v1/chat/completions", chat)
	mux.Handle("POST /v1/completions", chat)
	mux.Handle("/services/{service}/{path...}", plain)
	mux.HandleFunc("/", g.notFound)
	return mux
}

// handleRefusal counts a refusal. It adds the addresses of other hosts if the caller
// should retry there.
func (g *Gate) handleRefusal(r *slugrefusal.Refusal) {
	g.metrics.Add("refused."+string(r.Code), 1)
	if r.RetryAfter > 0 || r.Code == slugrefusal.CodeCutOff || r.Code == slugrefusal.CodeNotReady {
		r.Addresses = g.directory.Others("")
	}
}

func (g *Gate) notFound(w http.ResponseWriter, r *http.Request) {
	slugrefusal.NotRun(slugrefusal.CodeRouteUnknown, "no route for %s %s", r.Method, r.URL.Path).Write(w)
}

// getAddresses answers an address lookup. It is cheap and requires no key. A caller that
// sends its key gets the hosts for its workspace.
func (g *Gate) getAddresses(w http.ResponseWriter, r *http.Request) {
	s := g.Follower.Snapshot()
	if s == nil {
		slugrefusal.NotRun(slugrefusal.CodeNotReady, "no configuration is in force yet").WithRetryAfter(time.Second).Write(w)
		return
	}
	if name := r.URL.Query().Get("service"); name != "" && s.Service(slugname.Service(name)) == nil {
		slugrefusal.NotRun(slugrefusal.CodeServiceUnknown, "no service %q", name).Write(w)
		return
	}
	workspace := ""
	if k, ok := slugadmit.FindKey(r); ok {
		if name, ok := s.Authenticate(slugconfig.HashKey(string(k))); ok {
			workspace = string(name)
		}
	}
	g.metrics.Add("lookups", 1)
	writeJSON(w, g.directory.Lookup(workspace))
}

// KnownGates returns the addresses of the gates that this gate's lookups return.
func (g *Gate) KnownGates() []string {
	var out []string
	for _, a := range g.directory.Lookup("").Addresses {
		out = append(out, a.Address)
	}
	return out
}

// modelEntry is one entry of the model list.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the list of models that a workspace may use.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// getModels returns the models that the caller's workspace may use.
func (g *Gate) getModels(w http.ResponseWriter, r *http.Request) {
	c, refusal := g.admitter.Begin(r)
	if refusal == nil {
		refusal = g.admitter.Authenticate(r, c)
	}
	if refusal != nil {
		g.handleRefusal(refusal)
		refusal.Write(w)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	s := g.Follower.Snapshot()
	for _, x := range s.Manifest.Services {
		if x.Model != "" && s.Allowed(c.Workspace, x.Name) {
			list.Data = append(list.Data, modelEntry{string(x.Model), "model", "sassafraslug"})
		}
	}
	writeJSON(w, list)
}

// serveOperatorsHTTP serves operators.
func (g *Gate) serveOperatorsHTTP(w http.ResponseWriter, r *http.Request) {
	g.operatorRoutesOnce.Do(func() { g.operatorRoutes = g.newOperatorsMux() })
	g.operatorRoutes.ServeHTTP(w, r)
}

// newOperatorsMux returns new routes for operators.
func (g *Gate) newOperatorsMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", g.getReady)
	mux.HandleFunc("GET /burn", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.burn.Report(time.Now())) })
	mux.HandleFunc("GET /metrics", g.getMetrics)
	return mux
}

// getReady responds with 200 while this gate accepts new callers, and otherwise with 503.
func (g *Gate) getReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready.Load() || g.leaving.Load() || g.Follower.Snapshot() == nil || g.partitionDetector.CutOff() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// getMetrics writes the metrics of this process.
func (g *Gate) getMetrics(w http.ResponseWriter, _ *http.Request) {
	slugmetrics.Write(w, g.metrics, g.Transport.Bytes())
}

// writeJSON writes a document with status 200.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
