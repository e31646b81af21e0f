package slugcontrol

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugintent"
	"github.com/sassafraslug/sassafraslug/internal/authority/sluglease"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugreport"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugmetrics"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugburn"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugdiff"
	"github.com/sassafraslug/sassafraslug/internal/version/slughead"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

const (
	// acknowledgeTimeout is how long an apply request waits for acknowledgements.
	acknowledgeTimeout = 10 * time.Second
	// acknowledgePollInterval is the time between checks of the acknowledgements.
	acknowledgePollInterval = 50 * time.Millisecond
	// applyTimeout limits the time to write a change.
	applyTimeout = 10 * time.Second
	// defaultUsageWindows is the number of windows that a usage request covers by default.
	defaultUsageWindows = 10
)

// serveHTTP serves the operator API.
func (c *Control) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c.operatorMuxOnce.Do(func() { c.operatorMux = c.newMux() })
	c.operatorMux.ServeHTTP(w, r)
}

// newMux returns the routes of the operator API.
func (c *Control) newMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", c.getReady)
	mux.HandleFunc("GET /metrics", c.getMetrics)
	mux.HandleFunc("GET /v1/manifest", c.getManifest)
	mux.HandleFunc("POST /v1/apply", c.postApply)
	mux.HandleFunc("GET /v1/changes/{id}", c.getChange)
	mux.HandleFunc("GET /v1/status", c.getStatus)
	mux.HandleFunc("GET /v1/duties", c.getDuties)
	mux.HandleFunc("POST /v1/duties/release", c.postRelease)
	mux.HandleFunc("POST /v1/drain", c.postDrain)
	mux.HandleFunc("GET /v1/usage", c.getUsage)
	mux.HandleFunc("GET /v1/burn", c.getBurn)
	mux.HandleFunc("GET /v1/why", c.getWhy)
	return mux
}

// writeJSON writes a document with a status.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, slugoperatorapi.ErrorResponse{Error: err.Error()})
}

// getReady responds with 503 while the daemon shuts down.
func (c *Control) getReady(w http.ResponseWriter, _ *http.Request) {
	if c.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// getMetrics writes the metrics of this process.
func (c *Control) getMetrics(w http.ResponseWriter, _ *http.Request) {
	slugmetrics.Write(w, c.metrics, c.Transport.Bytes())
}

// getManifest returns the current manifest, or an empty one with revision 0 if there is
// none yet.
func (c *Control) getManifest(w http.ResponseWriter, _ *http.Request) {
	m := slugoperatorapi.Manifest{Manifest: &slugmanifest.Manifest{}}
	if s := c.Follower.Snapshot(); s != nil {
		m.Revision, m.Manifest = s.Revision, s.Manifest
	}
	writeJSON(w, http.StatusOK, m)
}

// postApply validates a manifest and applies it as the next revision.
func (c *Control) postApply(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, errors.Newf("parameter base: %q is not a revision number", r.URL.Query().Get("base")))
		return
	}
	id := slugstore.ChangeID(r.URL.Query().Get("change"))
	if id == "" {
		id = slugstore.RandomChangeID()
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, slugmanifest.MaxManifestBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	m, problems := slugmanifest.Decode(body)
	if len(problems) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, slugoperatorapi.InvalidManifest{Error: "manifest is not valid:\n" + problems.Error(), Problems: problems})
		return
	}
	c.apply(w, r, m, slugconfig.Revision(base), id)
}

// apply writes a manifest as the next revision and waits for acknowledgements.
func (c *Control) apply(w http.ResponseWriter, r *http.Request, m *slugmanifest.Manifest, base slugconfig.Revision, id slugstore.ChangeID) {
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	h, err := slughead.Apply(ctx, c.Store.For("apply"), m, base, id)
	switch {
	case errors.Is(err, slughead.ErrBaseOutdated):
		c.log.Emit(slugevent.ConfigurationConflict, slugevent.Fields{"base": base, "revision": h.Revision})
		writeJSON(w, http.StatusConflict, c.newConflict(ctx, m, base, h))
		return
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, errors.Wrapf(err, "outcome unknown; query it with status --change %s", id))
		return
	}
	revision, _ := h.Find(id)
	c.log.Emit(slugevent.ConfigurationApplied, slugevent.Fields{"revision": revision, "change": id})
	c.Follower.ObservePeer(revision, slugclock.Now())
	writeJSON(w, http.StatusOK, c.awaitAcceptance(r.Context(), id, revision))
}

// newConflict describes how the current revision differs from the submitted manifest.
func (c *Control) newConflict(ctx context.Context, m *slugmanifest.Manifest, base slugconfig.Revision, h slughead.Head) slugoperatorapi.Conflict {
	conflict := slugoperatorapi.Conflict{
		Error:    errors.Newf("base %d is not the present revision, which is %d; nothing was changed", base, h.Revision).Error(),
		Revision: h.Revision, Diff: []slugdiff.Difference{},
	}
	if s, err := slughead.NewLoader(c.Store.For("apply")).Load(ctx, h); err == nil {
		conflict.Diff = append(conflict.Diff, slugdiff.Compare(s.Manifest, m)...)
	}
	return conflict
}

// awaitAcceptance waits until a majority of the hosts has acknowledged a revision, or
// until acknowledgeTimeout.
func (c *Control) awaitAcceptance(ctx context.Context, id slugstore.ChangeID, r slugconfig.Revision) slugoperatorapi.Change {
	deadline := time.Now().Add(acknowledgeTimeout)
	for {
		status := c.changeStatus(id, r)
		if status.Accepted || time.Now().After(deadline) || slugbackoff.Sleep(ctx, acknowledgePollInterval) != nil {
			return status
		}
	}
}

// changeStatus counts the hosts that have acknowledged a revision.
func (c *Control) changeStatus(id slugstore.ChangeID, r slugconfig.Revision) slugoperatorapi.Change {
	acknowledged := map[slugname.Host]bool{}
	for _, x := range c.Member.Records() {
		if x.Kind == slugmember.KindGate {
			acknowledged[x.Host] = false
		}
	}
	for _, s := range c.Table.Statuses() {
		if _, known := acknowledged[s.Host]; known && s.Kind == slugmember.KindGate && s.Alive && s.Revision >= r {
			acknowledged[s.Host] = true
		}
	}
	change := slugoperatorapi.Change{ID: id, Revision: r, Unconfirmed: []slugname.Host{}}
	for h, ok := range acknowledged {
		if !ok {
			change.Unconfirmed = append(change.Unconfirmed, h)
		}
	}
	slices.Sort(change.Unconfirmed)
	change.Accepted = r > 0 && 2*(len(acknowledged)-len(change.Unconfirmed)) > len(acknowledged)
	return change
}

// getChange returns the status of a change, read from the store. An unknown change has
// revision 0.
func (c *Control) getChange(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	h, err := slughead.Read(ctx, c.Store.For("apply"))
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	id := slugstore.ChangeID(r.PathValue("id"))
	revision, ok := h.Find(id)
	if !ok {
		writeJSON(w, http.StatusOK, slugoperatorapi.Change{ID: id, Unconfirmed: []slugname.Host{}})
		return
	}
	writeJSON(w, http.StatusOK, c.changeStatus(id, revision))
}

// getStatus returns the processes, their state and the stored plans.
func (c *Control) getStatus(w http.ResponseWriter, r *http.Request) {
	_, storeAnswers := c.Follower.LastConfirmed()
	status := slugoperatorapi.Status{Revision: c.Follower.Revision(), StoreReachable: storeAnswers, Processes: []slugoperatorapi.ProcessStatus{}, Plans: []slugplan.Plan{}}
	for _, s := range c.Table.Statuses() {
		record, _ := c.Member.Record(s.Process)
		record.Process, record.Kind, record.Host = s.Process, s.Kind, s.Host
		status.Processes = append(status.Processes, slugoperatorapi.ProcessStatus{
			Record: record, Alive: s.Alive, Leaving: s.Leaving, Revision: s.Revision,
			ConfigAgeMs: slugclock.Since(s.LastConfirmed).Milliseconds(), StoreLost: s.StoreUnavailable,
		})
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	status.Plans = append(status.Plans, c.plans(ctx)...)
	writeJSON(w, http.StatusOK, status)
}

// plans reads the plans from the store. It returns none if the store is unavailable.
func (c *Control) plans(ctx context.Context) []slugplan.Plan {
	objects, err := c.Store.For("status").List(ctx, slugplan.Prefix)
	if err != nil {
		return nil
	}
	var out []slugplan.Plan
	for _, o := range objects {
		var p slugplan.Plan
		if o.Body != nil && o.Decode(&p) == nil {
			out = append(out, p)
		}
	}
	return out
}

func (c *Control) getDuties(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, slugoperatorapi.Duties{Duties: c.duties.Statuses()})
}

// postRelease makes this process release a duty.
func (c *Control) postRelease(w http.ResponseWriter, r *http.Request) {
	duty := sluglease.Duty(r.URL.Query().Get("duty"))
	if !c.duties.Release(duty) {
		writeError(w, http.StatusNotFound, errors.Newf("duty %q is not held by this process", duty))
		return
	}
	writeJSON(w, http.StatusOK, slugoperatorapi.Duties{})
}

// postDrain starts or undoes the draining of a host or an endpoint.
func (c *Control) postDrain(w http.ResponseWriter, r *http.Request) {
	var drain slugoperatorapi.Drain
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&drain); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if (drain.Host == "") == (drain.Endpoint == "") {
		writeError(w, http.StatusBadRequest, errors.New("exactly one of host and endpoint is required"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	err := c.intent.ChangeDrains(ctx, func(d *slugintent.Drains) {
		if drain.Host != "" {
			d.Hosts = setListed(d.Hosts, drain.Host, drain.Undo)
			return
		}
		d.Endpoints = setListed(d.Endpoints, drain.Endpoint, drain.Undo)
	})
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, drain)
}

// setListed returns list with name as its last element, or without name if undo is set.
func setListed[T ~string](list []T, name T, undo bool) []T {
	list = slices.DeleteFunc(list, func(x T) bool { return x == name })
	if !undo {
		list = append(list, name)
	}
	return list
}

// getUsage returns the most recent usage reports, newest first.
func (c *Control) getUsage(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("windows"))
	if err != nil || n < 1 {
		n = defaultUsageWindows
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	usage := slugoperatorapi.Usage{Reports: []slugreport.Report{}}
	length := c.settings.UsageWindow
	last := slugledger.WindowAt(time.Now(), length)
	for i := range n {
		window := last - slugledger.Window(int64(i)*int64(length/time.Second))
		o, err := c.Store.For("status").Get(ctx, slugreport.ReportName(c.settings.Region, window))
		if err != nil {
			writeError(w, http.StatusServiceUnavailable, err)
			return
		}
		var report slugreport.Report
		if o.Body != nil && o.Decode(&report) == nil {
			usage.Reports = append(usage.Reports, report)
		}
	}
	writeJSON(w, http.StatusOK, usage)
}

// getBurn merges the objective counters of all gates and computes their burn rates.
func (c *Control) getBurn(w http.ResponseWriter, r *http.Request) {
	reports, missing := c.fetchBurnReports(r.Context())
	burn := slugoperatorapi.Burn{Lines: []slugoperatorapi.BurnLine{}, Missing: missing}
	s := c.Follower.Snapshot()
	for _, l := range slugburn.Merge(reports...) {
		line := slugoperatorapi.BurnLine{Line: l, Share: defaultObjectiveShare}
		if s != nil && s.Service(l.Service) != nil {
			line.Share = s.Service(l.Service).Objectives.Share
		}
		for _, n := range l.Counts {
			line.Rates = append(line.Rates, n.Rate(line.Share))
		}
		burn.Lines = append(burn.Lines, line)
	}
	writeJSON(w, http.StatusOK, burn)
}

// defaultObjectiveShare is the target share of good events of a service that is no longer
// configured.
const defaultObjectiveShare = 0.95

// fetchBurnReports reads the objective counters of all live gates. It also returns the
// hosts whose gates did not respond.
func (c *Control) fetchBurnReports(ctx context.Context) (reports [][]slugburn.Line, missing []slugname.Host) {
	missing = []slugname.Host{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range c.Table.Statuses() {
		record, ok := c.Member.Record(s.Process)
		if !ok || s.Kind != slugmember.KindGate || !s.Alive {
			continue
		}
		wg.Go(func() {
			lines, err := c.fetchBurnReport(ctx, record.OperatorsAddress)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, record.Host)
				return
			}
			reports = append(reports, lines)
		})
	}
	wg.Wait()
	slices.Sort(missing)
	return reports, missing
}

// fetchBurnReport reads the objective counters of one gate.
func (c *Control) fetchBurnReport(ctx context.Context, address string) ([]slugburn.Line, error) {
	var lines []slugburn.Line
	client := slugoperatorapi.New(slugoperatorapi.Config{Address: address, Token: c.token, Dial: c.network.Dial})
	return lines, client.Get(ctx, "/burn", &lines)
}

// getWhy returns the recent decisions of the duties with their inputs.
func (c *Control) getWhy(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, slugoperatorapi.DecisionList{Decisions: c.duties.Decisions()})
}
