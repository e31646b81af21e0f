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
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugoperate"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
)

// Guarantee is one promise with what the run showed of it.
type Guarantee struct {
	Name string `json:"name"`
	Held bool   `json:"held"`
	// Evidence is what was counted.
	Evidence string `json:"evidence"`
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// checkGuarantees compares what was promised with what the stand-ins and the callers saw.
func (d *Demo) checkGuarantees(ctx context.Context) []Guarantee {
	r := d.load.Result()
	twice, lost, untrue := d.load.CheckExecutions(d.executionCounts())
	failures := d.failureSummary()
	return []Guarantee{
		d.checkEngineOrders(),
		{"no request is cut by a planned change", r.Interrupted == 0 && failures == "", fmt.Sprintf("%d cut of %d; %s%s", r.Interrupted, r.Requests, failures, strings.Join(r.Examples, "; "))},
		d.checkPlatformOrders(),
		d.checkKeys(r.LateKeyUses),
		d.checkUsage(r.Tokens),
		{"a caller receives the whole answer to its own request", r.Incorrect == 0 && r.Complete > 0, fmt.Sprintf("%d whole, %d wrong", r.Complete, r.Incorrect)},
		{"a refusal that says not run is true", len(untrue) == 0, fmt.Sprintf("%d ran of %d refused; %v", len(untrue), r.Refused, untrue)},
		{"a non-idempotent request runs at most once", len(twice) == 0 && len(lost) == 0 && r.PlainCalls > 0, fmt.Sprintf("%d calls, %d twice, %d lost", r.PlainCalls, len(twice), len(lost))},
		d.checkConfiguration(ctx),
	}
}

func (d *Demo) failureSummary() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.failures, "; ")
}

// executionCounts counts how often each call that must not be repeated took effect.
func (d *Demo) executionCounts() map[string]int {
	out := map[string]int{}
	for _, s := range d.system.Standins.Plains() {
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

// ConflictingOrders returns the orders of an engine that conflict: an older one that took
// effect after a newer one, or one number with two bodies. Orders that the engine
// refused or answered from memory had no effect and are not among them.
func ConflictingOrders(name string, orders []slugengine.Order) []string {
	var bad []string
	bodies := map[string]slugengine.Order{}
	var latest slugengine.Order
	for _, o := range orders {
		first, repeated := bodies[o.Number]
		switch {
		case repeated && first != o:
			bad = append(bad, fmt.Sprintf("%s: order %s came with two bodies", name, o.Number))
		case repeated && o.Number != latest.Number:
			bad = append(bad, fmt.Sprintf("%s: order %s took effect again after %s", name, o.Number, latest.Number))
		case o.Fence < latest.Fence:
			bad = append(bad, fmt.Sprintf("%s: order %s has fence %d after %d", name, o.Number, o.Fence, latest.Fence))
		}
		bodies[o.Number] = o
		latest = o
	}
	return bad
}

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
	return Guarantee{"the platform never receives endpoint orders from two processes in charge", bad == 0 && len(orders) > 0, fmt.Sprintf("%d orders, %d out of turn", len(orders), bad)}
}

func (d *Demo) checkKeys(late int64) Guarantee {
	seen := 0
	for _, e := range d.system.Standins.Engines() {
		seen += len(e.SeenKeys())
	}
	for _, s := range d.system.Standins.Plains() {
		seen += len(s.SeenKeys())
	}
	return Guarantee{"no endpoint sees a key, and a withdrawn key stops working", seen == 0 && late == 0, fmt.Sprintf("%d keys seen by endpoints, %d late uses", seen, late)}
}

// checkUsage compares the reports with each other and with what callers got.
func (d *Demo) checkUsage(relayed int64) Guarantee {
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
	held := differing == 0 && billed <= relayed && billed > 0 && len(windows) > 1
	return Guarantee{"no usage window is reported with different figures, and no more is billed than relayed", held, fmt.Sprintf("%d windows, %d differing, %d tokens billed of %d relayed", len(windows), differing, billed, relayed)}
}

func (d *Demo) checkConfiguration(ctx context.Context) Guarantee {
	const name = "an accepted configuration is in force everywhere"
	var s slugoperate.Status
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
