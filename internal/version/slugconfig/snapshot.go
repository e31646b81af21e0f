// Package slugconfig compiles a manifest into the indexes that the request path
// reads: keys by hash, rights, services by name and by model.
//
// A Snapshot never changes, so that a request reads one revision throughout.
//
// # Usage
//
//	s := slugconfig.New(revision, manifest)
//	w, ok := s.Authenticate(key)
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

// Revision numbers accepted configurations, growing by one.
type Revision uint64

// KeyHash is the SHA-256 of a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Snapshot is one revision of the configuration.
type Snapshot struct {
	// Revision is the number of this configuration.
	Revision Revision
	// Manifest is what the snapshot was compiled from. It must not be changed.
	Manifest   *slugmanifest.Manifest
	keys       map[KeyHash]slugname.Workspace
	workspaces map[slugname.Workspace]*slugmanifest.Workspace
	services   map[slugname.Service]*slugmanifest.Service
	models     map[slugname.Model]*slugmanifest.Service
	rights     map[right]bool
}

// right is the permission of one workspace for one service.
type right struct {
	workspace slugname.Workspace
	service   slugname.Service
}

// New compiles a checked manifest.
func New(r Revision, m *slugmanifest.Manifest) *Snapshot {
	s := &Snapshot{
		Revision:   r,
		Manifest:   m,
		keys:       map[KeyHash]slugname.Workspace{},
		workspaces: map[slugname.Workspace]*slugmanifest.Workspace{},
		services:   map[slugname.Service]*slugmanifest.Service{},
		models:     map[slugname.Model]*slugmanifest.Service{},
		rights:     map[right]bool{},
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
			s.rights[right{r.Workspace, x.Name}] = true
		}
	}
	for _, x := range r.Services {
		s.rights[right{r.Workspace, x}] = true
	}
}

// Authenticate returns the workspace of a key. The table is keyed by the hash,
// so that the time of a look-up tells nothing about stored keys, and the found
// entry is compared in constant time.
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

// Workspace returns a workspace by name, or nil.
func (s *Snapshot) Workspace(w slugname.Workspace) *slugmanifest.Workspace { return s.workspaces[w] }

// Service returns a service by name, or nil.
func (s *Snapshot) Service(n slugname.Service) *slugmanifest.Service { return s.services[n] }

// ServiceOfModel returns the engine service of a model, or nil.
func (s *Snapshot) ServiceOfModel(m slugname.Model) *slugmanifest.Service { return s.models[m] }

// Allowed reports whether a workspace may use a service.
func (s *Snapshot) Allowed(w slugname.Workspace, n slugname.Service) bool {
	return s.rights[right{w, n}]
}

// AllowsClass reports whether a workspace may ask for a class.
func (s *Snapshot) AllowsClass(w slugname.Workspace, c slugmanifest.Class) bool {
	x := s.workspaces[w]
	return x == nil || len(x.Classes) == 0 || slices.Contains(x.Classes, c)
}

// Route returns the route with the longest prefix of path that takes method.
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

func matches(r slugmanifest.Route, method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	return len(path) == len(r.Path) || strings.HasSuffix(r.Path, "/") || path[len(r.Path)] == '/'
}
