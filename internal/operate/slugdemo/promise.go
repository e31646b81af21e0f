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

// Promise is one promise with what the run showed of it.
type Promise struct {
	Name string `json:"name"`
	Held bool   `json:"held"`
	// Evidence is what was counted.
	Evidence string `json:"evidence"`
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// judge compares what was promised with what the stand-ins and the callers saw.
func (d *Demo) judge(ctx context.Context) []Promise {
	r := d.load.Result()
	twice, lost, untrue := d.load.Once(d.executed())
	failures := d.failed()
	return []Promise{
		d.judgeOrders(),
		{"no request is cut by a planned change", r.Cut == 0 && failures == "", fmt.Sprintf("%d cut of %d; %s%s", r.Cut, r.Requests, failures, strings.Join(r.Examples, "; "))},
		d.judgeOrdering(),
		d.judgeKeys(r.LateUses),
		d.judgeUsage(r.Tokens),
		{"a caller receives the whole answer to its own request", r.Wrong == 0 && r.Whole > 0, fmt.Sprintf("%d whole, %d wrong", r.Whole, r.Wrong)},
		{"a refusal that says not run is true", len(untrue) == 0, fmt.Sprintf("%d ran of %d refused; %v", len(untrue), r.Refused, untrue)},
		{"a non-idempotent request runs at most once", len(twice) == 0 && len(lost) == 0 && r.Plain > 0, fmt.Sprintf("%d calls, %d twice, %d lost", r.Plain, len(twice), len(lost))},
		d.judgeConfiguration(ctx),
	}
}

func (d *Demo) failed() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.Join(d.failures, "; ")
}

// executed counts how often each call that must not be repeated took effect.
func (d *Demo) executed() map[string]int {
	out := map[string]int{}
	for _, s := range d.system.Stand.Plains() {
		for _, x := range s.Executions() {
			out[x.Body]++
		}
	}
	return out
}

func (d *Demo) judgeOrders() Promise {
	n, bad := 0, []string{}
	for name, e := range d.system.Stand.Engines() {
		n += len(e.Orders())
		bad = append(bad, Conflicts(name, e.Orders())...)
	}
	return Promise{"an engine never receives conflicting orders, nor orders without authority", len(bad) == 0 && n > 0, fmt.Sprintf("%d orders, %d conflicts %v", n, len(bad), bad)}
}

// Conflicts returns the orders of an engine that conflict: an older one that took
// effect after a newer one, or one number with two bodies. Orders that the engine
// refused or answered from memory had no effect and are not among them.
func Conflicts(name string, orders []slugengine.Order) []string {
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

func (d *Demo) judgeOrdering() Promise {
	orders := d.system.Stand.Platform.Orders()
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
	return Promise{"the platform never receives endpoint orders from two processes in charge", bad == 0 && len(orders) > 0, fmt.Sprintf("%d orders, %d out of turn", len(orders), bad)}
}

func (d *Demo) judgeKeys(late int64) Promise {
	seen := 0
	for _, e := range d.system.Stand.Engines() {
		seen += len(e.SeenKeys())
	}
	for _, s := range d.system.Stand.Plains() {
		seen += len(s.SeenKeys())
	}
	return Promise{"no endpoint sees a key, and a withdrawn key stops working", seen == 0 && late == 0, fmt.Sprintf("%d keys seen by endpoints, %d late uses", seen, late)}
}

// judgeUsage compares the reports with each other and with what callers got.
func (d *Demo) judgeUsage(relayed int64) Promise {
	var billed int64
	differing := 0
	windows := d.system.Stand.Platform.AllWindows()
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
	return Promise{"no usage window is reported with different figures, and no more is billed than relayed", held, fmt.Sprintf("%d windows, %d differing, %d tokens billed of %d relayed", len(windows), differing, billed, relayed)}
}

func (d *Demo) judgeConfiguration(ctx context.Context) Promise {
	const name = "an accepted configuration is in force everywhere"
	var s slugoperate.Status
	if err := d.system.Operators().Get(ctx, "/v1/status", &s); err != nil {
		return Promise{name, false, err.Error()}
	}
	behind := 0
	for _, p := range s.Processes {
		if p.Alive && p.Revision != s.Revision {
			behind++
		}
	}
	return Promise{name, behind == 0 && s.Revision == 3, fmt.Sprintf("revision %d, %d live processes behind", s.Revision, behind)}
}
