// Package slughead keeps the configuration in the platform's store: immutable
// chunks named by their content, one a service or workspace, and one head that
// lists them and is written by conditional update only.
//
// # Usage
//
//	h, err := slughead.Read(ctx, store)
//	snapshot, err := loader.Load(ctx, h)
//	result, err := slughead.Apply(ctx, store, manifest, base, changeID)
package slughead

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugfault"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"github.com/sassafraslug/sassafraslug/internal/version/slugmanifest"
	"golang.org/x/sync/errgroup"
)

// Names of the objects.
const (
	// Name is the object that holds the head.
	Name = "config/head"
	// ChunkPrefix begins the names of chunks.
	ChunkPrefix = "config/chunks/"
)

// Hash names a chunk by its content.
type Hash string

// HashOf returns the name of a chunk.
func HashOf(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(hex.EncodeToString(sum[:hashBytes]))
}

// hashBytes is the number of bytes of SHA-256 that name a chunk.
const hashBytes = 16

// keptChanges is the number of past changes that the head remembers.
const keptChanges = 64

// loadConcurrency bounds parallel reads of chunks.
const loadConcurrency = 8

// Head lists the chunks of one revision.
type Head struct {
	Revision slugconfig.Revision `json:"revision"`
	// Change is the id of the change that made this revision.
	Change slugstore.ChangeID `json:"change"`
	Chunks []Hash             `json:"chunks"`
	// Recent are the newest changes with their revisions, newest last.
	Recent []Change `json:"recent"`
	// Version is the version of the object that holds the head.
	Version slugstore.Version `json:"-"`
}

// Change is one accepted change.
type Change struct {
	ID       slugstore.ChangeID  `json:"id"`
	Revision slugconfig.Revision `json:"revision"`
}

// chunk is one part of a manifest; exactly one field is set.
type chunk struct {
	Service   *slugmanifest.Service   `json:"service,omitempty"`
	Workspace *slugmanifest.Workspace `json:"workspace,omitempty"`
	Rest      *slugmanifest.Manifest  `json:"rest,omitempty"`
}

// ErrBase says that a change was made on another revision than the present one.
var ErrBase = errors.New("base is not the present revision")

// Read returns the present head; before the first change it has revision 0.
func Read(ctx context.Context, s *slugstore.Store) (Head, error) {
	o, err := s.Get(ctx, Name)
	if err != nil {
		return Head{}, err
	}
	return Decode(o)
}

// Decode returns the head in an object.
func Decode(o slugstore.Object) (Head, error) {
	h := Head{Version: o.Version}
	if o.Body == nil {
		return h, nil
	}
	return h, o.Decode(&h)
}

// Find returns the revision that a change made, if it is among the recent ones.
func (h Head) Find(id slugstore.ChangeID) (slugconfig.Revision, bool) {
	for _, c := range h.Recent {
		if c.ID == id {
			return c.Revision, true
		}
	}
	return 0, false
}

// Apply writes a manifest as the next revision after base. A repeated call with
// the same id returns the revision that the first one made. Errors: ErrBase when
// another change came first, slugstore.ErrUnknown when the outcome is not known.
func Apply(ctx context.Context, s *slugstore.Store, m *slugmanifest.Manifest, base slugconfig.Revision, id slugstore.ChangeID) (Head, error) {
	h, err := Read(ctx, s)
	if err != nil {
		return Head{}, err
	}
	if _, ok := h.Find(id); ok {
		return h, nil
	}
	if h.Revision != base {
		return h, errors.Wrapf(ErrBase, "present revision is %d", h.Revision)
	}
	chunks, err := split(m)
	if err != nil {
		return h, err
	}
	if err := writeChunks(ctx, s, h, chunks); err != nil {
		return h, err
	}
	return writeHead(ctx, s, h, chunks, id)
}

func writeHead(ctx context.Context, s *slugstore.Store, h Head, chunks []namedChunk, id slugstore.ChangeID) (Head, error) {
	next := Head{Revision: h.Revision + 1, Change: id, Recent: append(h.Recent, Change{id, h.Revision + 1})}
	next.Recent = next.Recent[max(0, len(next.Recent)-keptChanges):]
	for _, c := range chunks {
		next.Chunks = append(next.Chunks, c.hash)
	}
	version, err := s.PutChange(ctx, Name, h.Version, next, id)
	if err == nil {
		next.Version = version
		return next, nil
	}
	if !errors.Is(err, slugstore.ErrConflict) {
		return h, err
	}
	return settle(ctx, s, id, err)
}

// settle finds out after a conflict whether the change took effect all the same.
func settle(ctx context.Context, s *slugstore.Store, id slugstore.ChangeID, cause error) (Head, error) {
	h, err := Read(ctx, s)
	if err != nil {
		return h, errors.Mark(err, slugstore.ErrUnknown)
	}
	if _, ok := h.Find(id); ok {
		return h, nil
	}
	return h, errors.Wrapf(errors.Mark(cause, ErrBase), "present revision is %d", h.Revision)
}

// namedChunk is an encoded chunk.
type namedChunk struct {
	hash Hash
	body json.RawMessage
}

func split(m *slugmanifest.Manifest) ([]namedChunk, error) {
	parts := []chunk{}
	for i := range m.Services {
		parts = append(parts, chunk{Service: &m.Services[i]})
	}
	for i := range m.Workspaces {
		parts = append(parts, chunk{Workspace: &m.Workspaces[i]})
	}
	parts = append(parts, chunk{Rest: &slugmanifest.Manifest{Rules: m.Rules, DataCentres: m.DataCentres, Budget: m.Budget}})
	chunks := make([]namedChunk, len(parts))
	for i, p := range parts {
		body, err := json.Marshal(p)
		if err != nil {
			return nil, slugfault.Wrap(err, "encode chunk", "")
		}
		chunks[i] = namedChunk{HashOf(body), body}
	}
	return chunks, nil
}

// writeChunks writes the chunks that the present head does not list.
func writeChunks(ctx context.Context, s *slugstore.Store, h Head, chunks []namedChunk) error {
	present := map[Hash]bool{}
	for _, c := range h.Chunks {
		present[c] = true
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(loadConcurrency)
	for _, c := range chunks {
		if present[c.hash] {
			continue
		}
		present[c.hash] = true
		g.Go(func() error { return writeChunk(ctx, s, c) })
	}
	return g.Wait()
}

// writeChunk creates a chunk. A conflict means that it exists with this content.
func writeChunk(ctx context.Context, s *slugstore.Store, c namedChunk) error {
	_, err := s.Put(ctx, ChunkPrefix+string(c.hash), 0, c.body)
	if errors.Is(err, slugstore.ErrConflict) {
		return nil
	}
	return err
}

// Loader reads the manifests of heads and keeps the chunks of the last one.
type Loader struct {
	// Fetch reads one chunk.
	Fetch func(ctx context.Context, h Hash) (json.RawMessage, error)
	mu    sync.Mutex
	kept  map[Hash]json.RawMessage
}

// NewLoader returns a Loader that reads from the store.
func NewLoader(s *slugstore.Store) *Loader {
	return &Loader{Fetch: func(ctx context.Context, h Hash) (json.RawMessage, error) {
		o, err := s.Get(ctx, ChunkPrefix+string(h))
		if err == nil && o.Body == nil {
			err = slugfault.New("read chunk", string(h), "chunk does not exist")
		}
		return o.Body, err
	}}
}

// Load returns the snapshot of a head. It reads only chunks that it has not kept.
func (l *Loader) Load(ctx context.Context, h Head) (*slugconfig.Snapshot, error) {
	bodies, err := l.bodies(ctx, h)
	if err != nil {
		return nil, err
	}
	m, err := join(h, bodies)
	if err != nil {
		return nil, err
	}
	l.keep(h, bodies)
	return slugconfig.New(h.Revision, m), nil
}

// Chunk returns a kept chunk.
func (l *Loader) Chunk(h Hash) (json.RawMessage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	body, ok := l.kept[h]
	return body, ok
}

// Adopt takes over the chunks that another Loader has kept.
func (l *Loader) Adopt(x *Loader) {
	x.mu.Lock()
	kept := x.kept
	x.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = kept
}

func (l *Loader) bodies(ctx context.Context, h Head) ([]json.RawMessage, error) {
	bodies := make([]json.RawMessage, len(h.Chunks))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(loadConcurrency)
	for i, c := range h.Chunks {
		if body, ok := l.Chunk(c); ok {
			bodies[i] = body
			continue
		}
		g.Go(func() error {
			var err error
			bodies[i], err = l.Fetch(ctx, c)
			return err
		})
	}
	return bodies, g.Wait()
}

func (l *Loader) keep(h Head, bodies []json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept = make(map[Hash]json.RawMessage, len(bodies))
	for i, b := range bodies {
		l.kept[h.Chunks[i]] = b
	}
}

func join(h Head, bodies []json.RawMessage) (*slugmanifest.Manifest, error) {
	m := &slugmanifest.Manifest{}
	for i, body := range bodies {
		var c chunk
		if err := json.Unmarshal(body, &c); err != nil {
			return nil, slugfault.Wrap(err, "decode chunk "+string(h.Chunks[i]), "")
		}
		switch {
		case c.Service != nil:
			m.Services = append(m.Services, *c.Service)
		case c.Workspace != nil:
			m.Workspaces = append(m.Workspaces, *c.Workspace)
		case c.Rest != nil:
			m.Rules, m.DataCentres, m.Budget = c.Rest.Rules, c.Rest.DataCentres, c.Rest.Budget
		}
	}
	return m, nil
}
