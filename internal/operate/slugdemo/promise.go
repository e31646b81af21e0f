package slugdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/sassafraslug/sassafraslug/internal/authority/slugreport"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperatorapi"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
)

// Guarantee is one guarantee of the system and whether it held in a run.
type Guarantee struct {
	Name string `json:"name"`
	// Held reports whether the run showed no violation.
	Held bool `json:"held"`
	// Evidence describes the counts behind the verdict.
	Evidence string `json:"evidence"`
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// checkGuarantees checks every guarantee against what the stand-ins and the callers observed.
func (d *Demo) checkGuarantees(ctx context.Context) []Guarantee {
	r := d.load.Result()
	duplicated, lost, ranThoughRefused := d.load.CheckExecutions(d.executionCounts())
	failures := d.failureSummary()
	return []Guarantee{
		d.checkEngineOrders(),
		{"no request is cut by a planned change", r.Interrupted == 0 && failures == "", fmt.Sprintf("%d of %d interrupted; %s%s", r.Interrupted, r.Requests, failures, strings.Join(r.Examples, "; "))},
		d.checkPlatformOrders(),
		d.checkKeys(r.LateKeyUses),
		d.checkUsage(r.Tokens),
		{"a caller receives the whole answer to its own request", r.Incorrect == 0 && r.Complete > 0, fmt.Sprintf("%d complete, %d incorrect", r.Complete, r.Incorrect)},
		{"a refusal that says not run is true", len(ranThoughRefused) == 0, fmt.Sprintf("%d plain calls ran although refused as not run, %d requests refused in total; %v", len(ranThoughRefused), r.Refused, ranThoughRefused)},
		{"a non-idempotent request runs at most once", len(duplicated) == 0 && len(lost) == 0 && r.PlainCalls > 0, fmt.Sprintf("%d calls answered, %d executed more than once, %d answered but not executed", r.PlainCalls, len(duplicated), len(lost))},
		d.checkConfiguration(ctx),
	}
}

func (d *Demo) failureSummary() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.failures, "; ")
}

// executionCounts returns how often the plain services executed each call, by its body.
func (d *Demo) executionCounts() map[string]int {
	out := map[string]int{}
	for _, s := range d.system.Standins.PlainServices() {
		for _, x := range s.Executions() {
			out[x.Body]++
		}
	}
	return out
}

func (d *Demo) checkEngineOrders() Guarantee {
	n, bad := 0, []string{}
	for name, e := range d.system.Standins.Engines() {
		n += len(e.Orders())
		bad = append(bad, ConflictingOrders(name, e.Orders())...)
	}
	return Guarantee{"an engine never receives conflicting orders, nor orders without authority", len(bad) == 0 && n > 0, fmt.Sprintf("%d orders, %d conflicts %v", n, len(bad), bad)}
}

// ConflictingOrders describes the conflicts among the orders that an engine executed: an
// order with a lower fence after one with a higher fence, an order executed again after
// another one, or two different orders with the same number. Orders that the engine
// refused, and repeated orders that it confirmed without executing them again, are not in
// the list.
func ConflictingOrders(name string, orders []slugengine.Order) []string {
	var bad []string
	byNumber := map[string]slugengine.Order{}
	var latest slugengine.Order
	for _, o := range orders {
		first, repeated := byNumber[o.Number]
		switch {
		case repeated && first != o:
			bad = append(bad, fmt.Sprintf("%s: order number %s was used for two different orders", name, o.Number))
		case repeated && o.Number != latest.Number:
			bad = append(bad, fmt.Sprintf("%s: order %s was executed again after %s", name, o.Number, latest.Number))
		case o.Fence < latest.Fence:
			bad = append(bad, fmt.Sprintf("%s: order %s with fence %d was executed after fence %d", name, o.Number, o.Fence, latest.Fence))
		}
		byNumber[o.Number] = o
		latest = o
	}
	return bad
}

// checkPlatformOrders checks that fences never decrease and that each belongs to one holder.
func (d *Demo) checkPlatformOrders() Guarantee {
	orders := d.system.Standins.Platform.Orders()
	holders := map[uint64]string{}
	bad := 0
	var fence uint64
	for _, o := range orders {
		if h, ok := holders[o.Fence]; ok && h != o.Holder || o.Fence < fence {
			bad++
		}
		holders[o.Fence] = o.Holder
		fence = max(fence, o.Fence)
	}
	return Guarantee{"the platform never receives endpoint orders from two processes in charge", bad == 0 && len(orders) > 0, fmt.Sprintf("%d orders, %d with an old or shared fence", len(orders), bad)}
}

func (d *Demo) checkKeys(late int64) Guarantee {
	seen := 0
	for _, e := range d.system.Standins.Engines() {
		seen += len(e.SeenKeys())
	}
	for _, s := range d.system.Standins.PlainServices() {
		seen += len(s.SeenKeys())
	}
	return Guarantee{"no endpoint sees a key, and a withdrawn key stops working", seen == 0 && late == 0, fmt.Sprintf("%d keys seen by endpoints, %d uses after revocation", seen, late)}
}

// checkUsage compares the reports of each window with each other, and the billed tokens with
// those that callers received.
func (d *Demo) checkUsage(received int64) Guarantee {
	var billed int64
	differing := 0
	windows := d.system.Standins.Platform.AllWindows()
	for _, bodies := range windows {
		for _, b := range bodies[1:] {
			if !bytes.Equal(b, bodies[0]) {
				differing++
			}
		}
		var r slugreport.Report
		if json.Unmarshal(bodies[0], &r) != nil {
			differing++
		}
		for _, l := range r.Lines {
			billed += l.OutputTokens
		}
	}
	held := differing == 0 && billed <= received && billed > 0 && len(windows) > 1
	return Guarantee{"no usage window is reported with different figures, and no more is billed than relayed", held, fmt.Sprintf("%d windows, %d differing reports, %d tokens billed of %d received", len(windows), differing, billed, received)}
}

// checkConfiguration checks that every live process uses the latest revision. That is
// revision 3, as a run applies the initial manifest and two changes.
func (d *Demo) checkConfiguration(ctx context.Context) Guarantee {
	const name = "an accepted configuration is in force everywhere"
	var s slugoperatorapi.Status
	if err := d.system.OperatorClient().Get(ctx, "/v1/status", &s); err != nil {
		return Guarantee{name, false, err.Error()}
	}
	behind := 0
	for _, p := range s.Processes {
		if p.Alive && p.Revision != s.Revision {
			behind++
		}
	}
	return Guarantee{name, behind == 0 && s.Revision == 3, fmt.Sprintf("revision %d, %d live processes behind", s.Revision, behind)}
}
