// Package slugconfig builds the indexes of a manifest that are used to process requests:
// keys by hash, permissions, and services by name and by model.
//
// A Snapshot is immutable, so that a request uses the same revision throughout.
//
// # Usage
//
//	s := slugconfig.New(revision, manifest)
//	w, ok := s.Authenticate(slugconfig.HashKey(key))
package slugconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
)

// Revision is the number of an accepted configuration. Each change increases it by one.
type Revision uint64

// KeyHash is the SHA-256 hash of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Snapshot is one revision of the configuration.
type Snapshot struct {
	// Revision is the number of this configuration.
	Revision Revision
	// Manifest is the manifest of this revision. It must not be changed.
	Manifest    *slugmanifest.Manifest
	keys        map[KeyHash]slugname.Workspace
	workspaces  map[slugname.Workspace]*slugmanifest.Workspace
	services    map[slugname.Service]*slugmanifest.Service
	models      map[slugname.Model]*slugmanifest.Service
	permissions map[permission]bool
}

// permission allows a workspace to use a service.
type permission struct {
	workspace slugname.Workspace
	service   slugname.Service
}

// New builds the Snapshot of a manifest that has passed slugmanifest.Manifest.Check. It
// ignores invalid keys and rules for unknown models.
func New(r Revision, m *slugmanifest.Manifest) *Snapshot {
	s := &Snapshot{
		Revision:    r,
		Manifest:    m,
		keys:        map[KeyHash]slugname.Workspace{},
		workspaces:  map[slugname.Workspace]*slugmanifest.Workspace{},
		services:    map[slugname.Service]*slugmanifest.Service{},
		models:      map[slugname.Model]*slugmanifest.Service{},
		permissions: map[permission]bool{},
	}
	for i := range m.Services {
		s.addService(&m.Services[i])
	}
	for i := range m.Workspaces {
		s.addWorkspace(&m.Workspaces[i])
	}
	for _, r := range m.Rules {
		s.addRule(r)
	}
	return s
}

func (s *Snapshot) addService(x *slugmanifest.Service) {
	s.services[x.Name] = x
	if x.Kind == slugmanifest.KindEngine {
		s.models[x.Model] = x
	}
}

func (s *Snapshot) addWorkspace(w *slugmanifest.Workspace) {
	s.workspaces[w.Name] = w
	for _, k := range w.Keys {
		var h KeyHash
		if n, err := hex.Decode(h[:], []byte(k.SHA256)); err == nil && n == len(h) {
			s.keys[h] = w.Name
		}
	}
}

func (s *Snapshot) addRule(r slugmanifest.Rule) {
	for _, m := range r.Models {
		if x := s.models[m]; x != nil {
			s.permissions[permission{r.Workspace, x.Name}] = true
		}
	}
	for _, x := range r.Services {
		s.permissions[permission{r.Workspace, x}] = true
	}
}

// Authenticate returns the workspace that has the key with the given hash. To prevent
// timing attacks, keys are looked up by hash, and the stored hash is compared in constant
// time.
func (s *Snapshot) Authenticate(h KeyHash) (slugname.Workspace, bool) {
	w, ok := s.keys[h]
	if !ok {
		return "", false
	}
	for _, k := range s.workspaces[w].Keys {
		stored, err := hex.DecodeString(k.SHA256)
		if err == nil && subtle.ConstantTimeCompare(stored, h[:]) == 1 {
			return w, true
		}
	}
	return "", false
}

// Workspace returns the workspace with the given name, or nil.
func (s *Snapshot) Workspace(w slugname.Workspace) *slugmanifest.Workspace { return s.workspaces[w] }

// Service returns the service with the given name, or nil.
func (s *Snapshot) Service(n slugname.Service) *slugmanifest.Service { return s.services[n] }

// ServiceOfModel returns the engine service that runs a model, or nil.
func (s *Snapshot) ServiceOfModel(m slugname.Model) *slugmanifest.Service { return s.models[m] }

// Allowed reports whether a workspace may use a service.
func (s *Snapshot) Allowed(w slugname.Workspace, n slugname.Service) bool {
	return s.permissions[permission{w, n}]
}

// AllowsClass reports whether a workspace may request a class. It returns true for an
// unknown workspace.
func (s *Snapshot) AllowsClass(w slugname.Workspace, c slugmanifest.Class) bool {
	x := s.workspaces[w]
	return x == nil || len(x.Classes) == 0 || slices.Contains(x.Classes, c)
}

// Route returns the route of a service that accepts method and has the longest path prefix
// of path.
func (s *Snapshot) Route(n slugname.Service, method, path string) (slugmanifest.Route, bool) {
	x := s.services[n]
	if x == nil {
		return slugmanifest.Route{}, false
	}
	var best slugmanifest.Route
	found := false
	for _, r := range x.Routes {
		if !matches(r, method, path) || (found && len(r.Path) <= len(best.Path)) {
			continue
		}
		best, found = r, true
	}
	return best, found
}

// matches reports whether a route accepts a method and a path. Its path must be a prefix of
// whole path segments.
func matches(r slugmanifest.Route, method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	return len(path) == len(r.Path) || strings.HasSuffix(r.Path, "/") || path[len(r.Path)] == '/'
}
