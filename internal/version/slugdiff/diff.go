// Package slugdiff tells two manifests apart, a line for each part that differs.
//
// # Usage
//
//	for _, d := range slugdiff.Compare(present, wanted) {
//		fmt.Println(d.Kind, d.Name, d.Change)
//	}
package slugdiff

import (
	"encoding/json"

	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Difference is one part of a manifest that differs.
type Difference struct {
	// Kind is "service", "workspace", "rules", "dataCentres" or "budget".
	Kind string `json:"kind"`
	Name string `json:"name,omitempty"`
	// Change is "added", "removed" or "changed".
	Change string `json:"change"`
}

// Compare returns what differs from a to b.
func Compare(a, b *slugmanifest.Manifest) []Difference {
	out := parts("service", services(a), services(b))
	out = append(out, parts("workspace", workspaces(a), workspaces(b))...)
	for _, x := range []struct {
		kind string
		a, b any
	}{{"rules", a.Rules, b.Rules}, {"dataCentres", a.DataCentres, b.DataCentres}, {"budget", a.Budget, b.Budget}} {
		if encode(x.a) != encode(x.b) {
			out = append(out, Difference{Kind: x.kind, Change: "changed"})
		}
	}
	return out
}

// part is a named part with its content.
type part struct {
	name    string
	content string
}

func services(m *slugmanifest.Manifest) []part {
	out := make([]part, len(m.Services))
	for i, s := range m.Services {
		out[i] = part{string(s.Name), encode(s)}
	}
	return out
}

func workspaces(m *slugmanifest.Manifest) []part {
	out := make([]part, len(m.Workspaces))
	for i, w := range m.Workspaces {
		out[i] = part{string(w.Name), encode(w)}
	}
	return out
}

func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

func parts(kind string, a, b []part) []Difference {
	var out []Difference
	before := map[string]string{}
	for _, p := range a {
		before[p.name] = p.content
	}
	after := map[string]bool{}
	for _, p := range b {
		after[p.name] = true
		content, known := before[p.name]
		switch {
		case !known:
			out = append(out, Difference{kind, p.name, "added"})
		case content != p.content:
			out = append(out, Difference{kind, p.name, "changed"})
		}
	}
	for _, p := range a {
		if !after[p.name] {
			out = append(out, Difference{kind, p.name, "removed"})
		}
	}
	return out
}
