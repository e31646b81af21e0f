package slugmanifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
)

// Problem is one error of a manifest.
type Problem struct {
	// Path is the location in the manifest, such as workspaces[2].weight.
	Path string `json:"path"`
	// Value is the invalid value.
	Value string `json:"value"`
	// Reason describes what is allowed, or what is wrong.
	Reason string `json:"reason"`
}

// Problems are all errors of a manifest.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = fmt.Sprintf("%s: %q: %s", x.Path, x.Value, x.Reason)
	}
	return strings.Join(lines, "\n")
}

// Limits of a manifest.
const (
	// MaxWeight is the maximum weight of a workspace.
	MaxWeight = 1000
	// MaxManifestBytes is the maximum size of a manifest.
	MaxManifestBytes = 64 << 20
)

var (
	hashPattern         = regexp.MustCompile(`^[0-9a-f]{64}$`)
	unknownFieldPattern = regexp.MustCompile(`unknown field "([^"]*)"`)
	methodPattern       = regexp.MustCompile(`^[A-Z]{1,16}$`)
)

// Decode decodes and checks a manifest. It rejects unknown fields and trailing data.
func Decode(data []byte) (*Manifest, Problems) {
	if len(data) > MaxManifestBytes {
		return nil, Problems{{Path: "$", Value: fmt.Sprint(len(data), " bytes"), Reason: fmt.Sprint("at most ", MaxManifestBytes, " bytes")}}
	}
	m := &Manifest{}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(m); err != nil {
		return nil, Problems{decodeProblem(err, d.InputOffset())}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, Problems{{Path: "$", Value: "trailing data", Reason: "only one JSON object is allowed"}}
	}
	return m, m.Check()
}

func decodeProblem(err error, offset int64) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Problem{Path: typeErr.Field, Value: typeErr.Value, Reason: "a value of type " + typeErr.Type.String() + " is needed"}
	}
	if m := unknownFieldPattern.FindStringSubmatch(err.Error()); m != nil {
		return Problem{Path: fmt.Sprintf("byte %d", offset), Value: m[1], Reason: "unknown field"}
	}
	return Problem{Path: fmt.Sprintf("byte %d", offset), Value: "", Reason: err.Error()}
}

// checker collects problems, and the names and hashes for finding duplicates and unknown
// references.
type checker struct {
	problems    Problems
	services    map[slugname.Service]ServiceKind
	models      map[slugname.Model]bool
	workspaces  map[slugname.Workspace]bool
	dataCentres map[slugname.DataCentre]bool
	// hashes maps the hash of each key to its path in the manifest.
	hashes map[string]string
}

func (c *checker) addProblem(path string, value any, reason string) {
	c.problems = append(c.problems, Problem{Path: path, Value: fmt.Sprint(value), Reason: reason})
}

func (c *checker) require(ok bool, path string, value any, reason string) {
	if !ok {
		c.addProblem(path, value, reason)
	}
}

// nameReason describes valid names, see slugname.Name.Valid.
const nameReason = "1 to 63 lower-case letters, digits, dots and hyphens are allowed"

// Check returns all errors of the manifest.
func (m *Manifest) Check() Problems {
	c := &checker{
		services:    map[slugname.Service]ServiceKind{},
		models:      map[slugname.Model]bool{},
		workspaces:  map[slugname.Workspace]bool{},
		dataCentres: map[slugname.DataCentre]bool{},
		hashes:      map[string]string{},
	}
	for i, d := range m.DataCentres {
		c.checkDataCentre(fmt.Sprintf("dataCentres[%d]", i), d)
	}
	for i, s := range m.Services {
		c.checkService(fmt.Sprintf("services[%d]", i), s)
	}
	for i, w := range m.Workspaces {
		c.checkWorkspace(fmt.Sprintf("workspaces[%d]", i), w)
	}
	for i, r := range m.Rules {
		c.checkRule(fmt.Sprintf("rules[%d]", i), r)
	}
	c.require(m.Budget.CentsPerHour >= 0, "budget.centsPerHour", m.Budget.CentsPerHour, "0 or more")
	return c.problems
}

func (c *checker) checkDataCentre(path string, d DataCentre) {
	c.require(d.Name.Valid(), path+".name", d.Name, nameReason)
	c.require(!c.dataCentres[d.Name], path+".name", d.Name, "another entry already has this name")
	c.dataCentres[d.Name] = true
	c.require(d.Region.Valid(), path+".region", d.Region, nameReason)
	for i, o := range d.Offers {
		p := fmt.Sprintf("%s.offers[%d]", path, i)
		c.require(o.Kind == KindEngine || o.Kind == KindPlain, p+".kind", o.Kind, "engine or plain")
		c.require(o.CentsPerHour >= 0, p+".centsPerHour", o.CentsPerHour, "0 or more")
	}
}

func (c *checker) checkService(path string, s Service) {
	c.require(s.Name.Valid(), path+".name", s.Name, nameReason)
	_, duplicate := c.services[s.Name]
	c.require(!duplicate, path+".name", s.Name, "another entry already has this name")
	c.services[s.Name] = s.Kind
	c.require(s.Kind == KindEngine || s.Kind == KindPlain, path+".kind", s.Kind, "engine or plain")
	if s.Kind == KindEngine {
		c.require(s.Model.Valid(), path+".model", s.Model, nameReason)
		c.require(!c.models[s.Model], path+".model", s.Model, "another service already has this model")
		c.models[s.Model] = true
		c.require(len(s.Routes) == 0, path+".routes", len(s.Routes), "only plain services have routes")
	} else {
		c.require(s.Model == "", path+".model", s.Model, "only engine services have a model")
	}
	c.checkObjectives(path+".objectives", s.Objectives)
	for i, r := range s.Routes {
		c.checkRoute(fmt.Sprintf("%s.routes[%d]", path, i), r)
	}
	for i, r := range s.Replicas {
		p := fmt.Sprintf("%s.replicas[%d]", path, i)
		c.require(c.dataCentres[r.DataCentre], p+".dataCentre", r.DataCentre, "no data centre has this name")
		c.require(r.Min >= 0, p+".min", r.Min, "0 or more")
		c.require(r.Max >= r.Min, p+".max", r.Max, "at least min")
	}
}

func (c *checker) checkObjectives(path string, o Objectives) {
	c.require(o.Share > 0 && o.Share < 1, path+".share", o.Share, "more than 0 and less than 1")
	c.require(o.FirstTokenMs >= 0, path+".firstTokenMs", o.FirstTokenMs, "0 or more")
	c.require(o.BetweenTokensMs >= 0, path+".betweenTokensMs", o.BetweenTokensMs, "0 or more")
	c.require(o.CompletionMs >= 0, path+".completionMs", o.CompletionMs, "0 or more")
}

func (c *checker) checkRoute(path string, r Route) {
	c.require(strings.HasPrefix(r.Path, "/"), path+".path", r.Path, "must start with a slash")
	for i, m := range r.Methods {
		c.require(methodPattern.MatchString(m), fmt.Sprintf("%s.methods[%d]", path, i), m, "must be an HTTP method in upper case")
	}
}

func (c *checker) checkWorkspace(path string, w Workspace) {
	c.require(w.Name.Valid(), path+".name", w.Name, nameReason)
	c.require(!c.workspaces[w.Name], path+".name", w.Name, "another entry already has this name")
	c.workspaces[w.Name] = true
	c.require(w.Weight >= 1 && w.Weight <= MaxWeight, path+".weight", w.Weight, fmt.Sprint("1 to ", MaxWeight))
	c.require(w.Limits.RequestsPerSecond >= 0, path+".limits.requestsPerSecond", w.Limits.RequestsPerSecond, "0 or more")
	c.require(w.Limits.Concurrent >= 0, path+".limits.concurrent", w.Limits.Concurrent, "0 or more")
	for i, x := range w.Classes {
		c.require(x.Valid(), fmt.Sprintf("%s.classes[%d]", path, i), x, "interactive, standard or batch")
	}
	for i, k := range w.Keys {
		p := fmt.Sprintf("%s.keys[%d].sha256", path, i)
		c.require(hashPattern.MatchString(k.SHA256), p, k.SHA256, "64 lower-case hexadecimal digits")
		c.require(c.hashes[k.SHA256] == "", p, k.SHA256, "duplicate of the hash at "+c.hashes[k.SHA256])
		c.hashes[k.SHA256] = p
	}
}

func (c *checker) checkRule(path string, r Rule) {
	c.require(c.workspaces[r.Workspace], path+".workspace", r.Workspace, "no workspace has this name")
	for i, m := range r.Models {
		c.require(c.models[m], fmt.Sprintf("%s.models[%d]", path, i), m, "no service has this model")
	}
	for i, s := range r.Services {
		c.require(c.services[s] == KindPlain, fmt.Sprintf("%s.services[%d]", path, i), s, "no plain service has this name")
	}
}
