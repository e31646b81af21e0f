package slugslope

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sassafraslug/sassafraslug/internal/authority/slugledger"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugmetrics"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugqueue"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugdirectory"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugdemo"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugsystem"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slughead"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// The target size and its budgets.
const (
	targetHosts       = 660
	targetReplicas    = 6400
	targetWorkspaces  = 400
	targetModels      = 11
	targetDataCentres = 8
	// peerBytesBudget is the number of bytes that a process may send and receive per
	// second in peer exchanges.
	peerBytesBudget = 6 << 10
	// storeWritesBudget and storeReadsBudget are the store's limits in calls per second.
	storeWritesBudget = 500
	storeReadsBudget  = 2000
)

var (
	hostCounts      = []float64{20, 60, 200, 660}
	endpointCounts  = []float64{20, 100, 500, 2000}
	workspaceCounts = []float64{8, 50, 150, 400}
)

// experiments returns the experiments for all series.
func experiments() []experiment {
	return []experiment{
		{Series{Role: "peer exchange", Name: "digests sent and received", Unit: "bytes/s a process", Per: "host", Target: targetHosts, Budget: peerBytesBudget,
			Mechanism: "a digest holds at most 40 rows; larger systems send the rows in turn and detect silent processes later"}, hostCounts, digestBytesPerSecond},
		{Series{Role: "peer exchange", Name: "an exchange", Unit: "µs of a processor", Per: "host", Target: targetHosts,
			Mechanism: "each process begins 2 exchanges per second and answers about 2, independent of the size"}, hostCounts, exchangeTime},
		{Series{Role: "gate", Name: "pick and return of an endpoint", Unit: "µs", Per: "endpoint in the subset", Target: 100, Budget: 5,
			Mechanism: "each gate uses a subset of 100 endpoints, chosen by rendezvous hashing"}, []float64{20, 50, 100, 200}, pickTime},
		{Series{Role: "gate", Name: "admission of a request", Unit: "µs", Per: "waiting workspace", Target: targetWorkspaces / 10.0,
			Mechanism: "each workspace uses 4 hosts, so a host serves few workspaces at a time"}, workspaceCounts, admissionTime},
		{Series{Role: "gate", Name: "usage record", Unit: "bytes", Per: "workspace", Target: targetWorkspaces, Budget: 1 << 20,
			Mechanism: "one stored value per gate and usage window, overwritten as a whole"}, workspaceCounts, usageRecordBytes},
		{Series{Role: "gate", Name: "configuration in memory", Unit: "KB", Per: "workspace", Target: targetWorkspaces, Budget: 128 << 10,
			Mechanism: "all requests share one snapshot"}, workspaceCounts, snapshotMemory},
		{Series{Role: "look-up", Name: "answer", Unit: "µs", Per: "host", Target: targetHosts, Budget: 200,
			Mechanism: "rows are held in memory; 4 hosts per workspace, chosen by rendezvous hashing"}, []float64{9, 60, 200, 660}, lookupTime},
		{Series{Role: "control, roles", Name: "plan of a service and data centre", Unit: "bytes", Per: "endpoint", Target: targetReplicas / (targetModels * targetDataCentres), Budget: 1 << 20,
			Mechanism: "one stored object per service and data centre"}, endpointCounts, planBytes},
		{Series{Role: "control, configuration", Name: "written for a change of one workspace", Unit: "bytes", Per: "workspace", Target: targetWorkspaces, Budget: 1 << 20,
			Mechanism: "only chunks with changed content are written; the head holds 34 bytes per chunk"}, workspaceCounts, bytesWrittenPerChange},
		{Series{Role: "control, configuration", Name: "compilation of a snapshot", Unit: "µs", Per: "workspace", Target: targetWorkspaces,
			Mechanism: "once per change, 5,100 per day"}, workspaceCounts, compileTime},
		{Series{Role: "whole system at rest", Name: "processor time", Unit: "ms/s of all processes and stand-ins", Per: "host", Target: 9,
			Mechanism: "one gate and one control process per host"}, []float64{3, 6, 12}, idleProcessorTime},
		{Series{Role: "platform's store", Name: "reads and waiting watches at rest", Unit: "calls/s", Per: "host", Target: targetHosts, Budget: storeReadsBudget,
			Mechanism: "3 processes per data centre poll often, the others use watches of 30 s; 3 candidates poll each duty"}, []float64{3, 6, 12}, idleStoreReads},
		{Series{Role: "platform's store", Name: "writes at rest", Unit: "calls/s", Per: "host", Target: targetHosts, Budget: storeWritesBudget,
			Mechanism: "lease renewals grow with the number of duties, not of hosts"}, []float64{3, 6, 12}, idleStoreWrites},
	}
}

// microsecondsPerCall returns the mean duration of a call of f in microseconds, after one call to
// warm up.
func microsecondsPerCall(f func()) float64 {
	const calls = 2000
	f()
	begin := time.Now()
	for range calls {
		f()
	}
	return float64(time.Since(begin).Nanoseconds()) / calls / 1e3
}

func memberRecord(i int, kind slugmember.Kind) slugmember.Record {
	return slugmember.Record{
		Process: slugname.Process(fmt.Sprintf("host-%04d-%s-0123abcd", i, kind)), Kind: kind, Host: slugname.Host(fmt.Sprintf("host-%04d", i)),
		DataCentre: "dc-1", Region: "north", CallersAddress: "127.0.0.1:8080",
	}
}

// newPeerTable returns the peer table of a process that knows all processes of n hosts, and a
// message with the digest of all of them.
func newPeerTable(n int) (*slugpeer.Table, slugpeer.Message) {
	self := memberRecord(0, slugmember.KindControl)
	t := slugpeer.New(slugpeer.Config{Self: self, LastConfirmed: slugclock.Now, Peers: func() []slugmember.Record { return nil }})
	m := slugpeer.Message{Protocol: slugpeer.Protocol}
	for i := range n {
		for _, k := range []slugmember.Kind{slugmember.KindGate, slugmember.KindControl} {
			r := memberRecord(i, k)
			m.Rows = append(m.Rows, slugpeer.VersionedRow{Version: 1, Row: slugpeer.Row{Process: r.Process, Kind: k, Host: r.Host, Revision: 7}})
			m.Digest = append(m.Digest, slugpeer.Entry{ID: slugmember.IDOf(r.Process), Version: 1, Heartbeat: 100000, ConfirmedAge: 7})
		}
	}
	t.Serve(self.Process, m)
	m.Rows = nil
	return t, m
}

// exchangesPerSecond is the number of exchanges that a process begins or responds to per second.
const exchangesPerSecond = 4

// digestBytesPerSecond returns the size of the digests that a process sends and receives per
// second.
func digestBytesPerSecond(_ context.Context, x float64) (float64, error) {
	t, m := newPeerTable(int(x))
	// Both sides send a digest, and rows only if the digests differ.
	m.Digest = t.Serve("peer", m).Digest
	b, err := cbor.Marshal(slugpeer.Message{Protocol: slugpeer.Protocol, Digest: m.Digest})
	if err != nil {
		return 0, err
	}
	response, err := cbor.Marshal(t.Serve("peer", m))
	return float64(len(b)+len(response)) * exchangesPerSecond, err
}

func exchangeTime(_ context.Context, x float64) (float64, error) {
	t, m := newPeerTable(int(x))
	m.Digest = t.Serve("peer", m).Digest
	return microsecondsPerCall(func() {
		b, _ := cbor.Marshal(m)
		var in slugpeer.Message
		_ = cbor.Unmarshal(b, &in)
		_, _ = cbor.Marshal(t.Serve("peer", in))
	}), nil
}

// endpointsOf returns n engine endpoints of one data centre.
func endpointsOf(n int) []slugpick.Endpoint {
	out := make([]slugpick.Endpoint, n)
	for i := range out {
		out[i] = slugpick.Endpoint{DataCentre: "dc-1", Endpoint: slugplan.Endpoint{
			Name: slugname.Endpoint(fmt.Sprintf("assistant-dc-1-%d", i)), Address: "127.0.0.1:9000", Kind: slugmanifest.KindEngine,
			State: slugplan.StateServing, Streams: 32, Pieces: 1000, TokensPerPiece: 16, Role: slugplan.RoleMixed,
			Speed: slugplan.Speed{PrefillPerSecond: 20000, StepBase: 10 * time.Millisecond, StepPerStream: time.Millisecond, Chunk: 512},
		}}
	}
	return out
}

func pickTime(_ context.Context, x float64) (float64, error) {
	p := slugpick.New(slugpick.Config{})
	p.SetEndpoints(endpointsOf(int(x)))
	now := time.Now()
	w := slugpick.Work{PromptTokens: 2000, OutputTokens: 200, Repeatable: true}
	return microsecondsPerCall(func() {
		w.Affinity++
		if t, ok := p.Pick(w, now); ok {
			p.Done(&t, slugpick.OutcomeComplete, now)
		}
	}), nil
}

// admissionTime measures the admission of a request while x other workspaces wait.
func admissionTime(_ context.Context, x float64) (float64, error) {
	q := slugqueue.New(slugqueue.Config{MaxLength: 1 << 16})
	now := time.Now()
	for i := range int(x) {
		err := q.Enqueue(&slugqueue.Ticket{
			Workspace: slugname.Workspace(fmt.Sprint("w-", i)), Cost: 1, Deadline: now.Add(time.Hour),
			TryStart: func() bool { return false }, OnEnd: func(error) {},
		}, now)
		if err != nil {
			return 0, err
		}
	}
	return microsecondsPerCall(func() {
		_ = q.Enqueue(&slugqueue.Ticket{Workspace: "w-0", Cost: 1, Deadline: now.Add(time.Minute), TryStart: func() bool { return true }, OnEnd: func(error) {}}, now)
	}), nil
}

func usageRecordBytes(_ context.Context, x float64) (float64, error) {
	r := slugledger.Record{Process: memberRecord(0, slugmember.KindGate).Process, Window: 1_700_000_000}
	for i := range int(x) {
		r.Lines = append(r.Lines, slugledger.Line{
			Workspace: slugname.Workspace(fmt.Sprintf("workspace-%d", i)), Service: "assistant",
			Totals: slugledger.Totals{Requests: 4000, PromptTokens: 8_000_000, CachedTokens: 2_000_000, OutputTokens: 1_400_000},
		})
	}
	b, err := json.Marshal(r)
	return float64(len(b)), err
}

// targetManifest returns a manifest with n workspaces, and with the models and data centres
// of the target size.
func targetManifest(n int) *slugmanifest.Manifest {
	m := &slugmanifest.Manifest{}
	for i := range targetDataCentres {
		m.DataCentres = append(m.DataCentres, slugmanifest.DataCentre{Name: slugname.DataCentre(fmt.Sprintf("dc-%d", i)), Region: "north"})
	}
	var models []slugname.Model
	for i := range targetModels {
		model := slugname.Model(fmt.Sprintf("model-%d", i))
		models = append(models, model)
		m.Services = append(m.Services, slugmanifest.Service{Name: slugname.Service(fmt.Sprintf("service-%d", i)), Kind: slugmanifest.KindEngine, Model: model, Objectives: slugmanifest.Objectives{Share: 0.95}})
	}
	for i := range n {
		w := slugname.Workspace(fmt.Sprintf("workspace-%d", i))
		m.Workspaces = append(m.Workspaces, slugmanifest.Workspace{Name: w, Weight: 1, Keys: []slugmanifest.Key{{Label: "a", SHA256: fmt.Sprintf("%064x", i)}, {Label: "b", SHA256: fmt.Sprintf("%064x", i+1<<20)}}})
		m.Rules = append(m.Rules, slugmanifest.Rule{Workspace: w, Models: models[:1+i%targetModels]})
	}
	return m
}

// snapshotMemory returns the size of a snapshot in KiB, as the mean of several copies.
func snapshotMemory(_ context.Context, x float64) (float64, error) {
	const copies = 20
	kept := make([]*slugconfig.Snapshot, copies)
	before := heapBytes()
	for i := range kept {
		kept[i] = slugconfig.New(1, targetManifest(int(x)))
	}
	after := heapBytes()
	runtime.KeepAlive(kept)
	return (after - before) / copies / 1024, nil
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func compileTime(_ context.Context, x float64) (float64, error) {
	m := targetManifest(int(x))
	begin := time.Now()
	const calls = 50
	for range calls {
		slugconfig.New(1, m)
	}
	return float64(time.Since(begin).Microseconds()) / calls, nil
}

func lookupTime(_ context.Context, x float64) (float64, error) {
	var statuses []slugpeer.Status
	records := map[slugname.Process]slugmember.Record{}
	for i := range int(x) {
		r := memberRecord(i, slugmember.KindGate)
		records[r.Process] = r
		statuses = append(statuses, slugpeer.Status{Row: slugpeer.Row{Process: r.Process, Kind: r.Kind, Host: r.Host}, Alive: true, LastConfirmed: slugclock.Now()})
	}
	d := slugdirectory.New(slugdirectory.Config{
		Self: memberRecord(0, slugmember.KindGate), Statuses: func() []slugpeer.Status { return statuses },
		Record: func(p slugname.Process) (slugmember.Record, bool) { r, ok := records[p]; return r, ok },
		CutOff: func() bool { return false }, MaxAge: time.Second,
	})
	n := 0
	return microsecondsPerCall(func() {
		n++
		d.Lookup(fmt.Sprint("workspace-", n%targetWorkspaces))
	}), nil
}

func planBytes(_ context.Context, x float64) (float64, error) {
	p := slugplan.Plan{Service: "assistant", DataCentre: "dc-1", Fence: 7}
	for _, e := range endpointsOf(int(x)) {
		p.Endpoints = append(p.Endpoints, e.Endpoint)
	}
	b, err := json.Marshal(p)
	return float64(len(b)), err
}

// bytesWrittenPerChange returns how many bytes the store receives when the weight of one
// workspace changes.
func bytesWrittenPerChange(ctx context.Context, x float64) (float64, error) {
	p := slugplatform.New(slugplatform.Config{})
	s := slugstore.New(slugstore.Config{BaseURL: "http://platform", Do: p.Link("bench").Do})
	m := targetManifest(int(x))
	if _, err := slughead.Apply(ctx, s, m, 0, "first"); err != nil {
		return 0, err
	}
	before := p.Bytes()
	m.Workspaces[0].Weight = 2
	_, err := slughead.Apply(ctx, s, m, 1, "second")
	return float64(p.Bytes() - before), err
}

// idleDuration is the duration for which an idle system is measured.
const idleDuration = 6 * time.Second

// idleUsage is the resource usage of a system without load, per second: processor time in
// milliseconds, and the number of store reads and writes.
type idleUsage struct {
	processor, reads, writes float64
}

// idleUsageByHosts caches the measurements by the number of hosts, as several series use them.
var idleUsageByHosts = map[int]idleUsage{}

// measureIdle runs a system of n hosts without load and returns its resource usage.
func measureIdle(ctx context.Context, n int) (idleUsage, error) {
	if r, ok := idleUsageByHosts[n]; ok {
		return r, nil
	}
	s, err := slugsystem.New(ctx, slugsystem.Config{
		Hosts: n, Manifest: slugdemo.NewDeployment().Manifest, Platform: slugplatform.Config{HostListLag: time.Second, OrderingRequestNumbers: true},
	})
	if err != nil {
		return idleUsage{}, err
	}
	defer s.Close()
	processor, calls := slugmetrics.Read().ProcessorMicroseconds, s.Standins.Platform.Calls()
	time.Sleep(idleDuration)
	r := idleUsage{processor: float64(slugmetrics.Read().ProcessorMicroseconds-processor) / 1e3 / idleDuration.Seconds()}
	for kind, count := range s.Standins.Platform.Calls() {
		rate := float64(count-calls[kind]) / idleDuration.Seconds()
		if strings.Contains("put delete", kind) {
			r.writes += rate
		} else {
			r.reads += rate
		}
	}
	idleUsageByHosts[n] = r
	return r, nil
}

func idleProcessorTime(ctx context.Context, x float64) (float64, error) {
	r, err := measureIdle(ctx, int(x))
	return r.processor, err
}

func idleStoreReads(ctx context.Context, x float64) (float64, error) {
	r, err := measureIdle(ctx, int(x))
	return r.reads, err
}

func idleStoreWrites(ctx context.Context, x float64) (float64, error) {
	r, err := measureIdle(ctx, int(x))
	return r.writes, err
}
