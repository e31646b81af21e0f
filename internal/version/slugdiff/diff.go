// Package slugdiff compares two manifests and lists the parts that differ.
//
// # Usage
//
//	for _, d := range slugdiff.Compare(current, proposed) {
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

// Compare returns the parts that were added, removed or changed between two manifests.
func Compare(before, after *slugmanifest.Manifest) []Difference {
	out := compareParts("service", serviceParts(before), serviceParts(after))
	out = append(out, compareParts("workspace", workspaceParts(before), workspaceParts(after))...)
	for _, x := range []struct {
		kind          string
		before, after any
	}{{"rules", before.Rules, after.Rules}, {"dataCentres", before.DataCentres, after.DataCentres}, {"budget", before.Budget, after.Budget}} {
		if encode(x.before) != encode(x.after) {
			out = append(out, Difference{Kind: x.kind, Change: "changed"})
		}
	}
	return out
}

// part is a service or workspace with its encoded content.
type part struct {
	name    string
	content string
}

func serviceParts(m *slugmanifest.Manifest) []part {
	out := make([]part, len(m.Services))
	for i, s := range m.Services {
		out[i] = part{string(s.Name), encode(s)}
	}
	return out
}

func workspaceParts(m *slugmanifest.Manifest) []part {
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

func compareParts(kind string, oldParts, newParts []part) []Difference {
	var out []Difference
	oldContent := map[string]string{}
	for _, p := range oldParts {
		oldContent[p.name] = p.content
	}
	remaining := map[string]bool{}
	for _, p := range newParts {
		remaining[p.name] = true
		content, known := oldContent[p.name]
		switch {
		case !known:
			out = append(out, Difference{kind, p.name, "added"})
		case content != p.content:
			out = append(out, Difference{kind, p.name, "changed"})
		}
	}
	for _, p := range oldParts {
		if !remaining[p.name] {
			out = append(out, Difference{kind, p.name, "removed"})
		}
	}
	return out
}
