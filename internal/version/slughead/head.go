// Package slughead stores the configuration in the platform's store. Each service and each
// workspace is an immutable chunk that is named by the hash of its content; one more chunk
// holds the rest. A single head object lists the chunks of the current revision and is
// only replaced by conditional writes.
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

// Names of the stored objects.
const (
	// HeadName is the name of the head object.
	HeadName = "config/head"
	// ChunkPrefix is the prefix of the names of chunk objects.
	ChunkPrefix = "config/chunks/"
)

// Hash identifies a chunk by its content.
type Hash string

// HashOf returns the hash of an encoded chunk: its truncated SHA-256 in hexadecimal.
func HashOf(body []byte) Hash {
	sum := sha256.Sum256(body)
	return Hash(hex.EncodeToString(sum[:hashBytes]))
}

// hashBytes is the number of bytes to which SHA-256 is truncated.
const hashBytes = 16

// maxRecentChanges is the number of changes in Head.Recent, within which a repeated change
// is recognized.
const maxRecentChanges = 64

// chunkConcurrency limits parallel reads and writes of chunks.
const chunkConcurrency = 8

// Head lists the chunks of one revision.
type Head struct {
	Revision slugconfig.Revision `json:"revision"`
	// Change is the id of the change that created this revision.
	Change slugstore.ChangeID `json:"change"`
	Chunks []Hash             `json:"chunks"`
	// Recent are the latest changes with their revisions, newest last.
	Recent []Change `json:"recent"`
	// Version is the version of the head object.
	Version slugstore.Version `json:"-"`
}

// Change is one accepted change.
type Change struct {
	ID       slugstore.ChangeID  `json:"id"`
	Revision slugconfig.Revision `json:"revision"`
}

// chunk is one part of a manifest. Exactly one field is set.
type chunk struct {
	Service   *slugmanifest.Service   `json:"service,omitempty"`
	Workspace *slugmanifest.Workspace `json:"workspace,omitempty"`
	Rest      *slugmanifest.Manifest  `json:"rest,omitempty"`
}

// ErrBaseOutdated means that a change is not based on the current revision.
var ErrBaseOutdated = errors.New("base is not the current revision")

// Read returns the current head. Its revision is 0 before the first change.
func Read(ctx context.Context, s *slugstore.Store) (Head, error) {
	o, err := s.Get(ctx, HeadName)
	if err != nil {
		return Head{}, err
	}
	return Decode(o)
}

// Decode decodes the head from its object.
func Decode(o slugstore.Object) (Head, error) {
	h := Head{Version: o.Version}
	if o.Body == nil {
		return h, nil
	}
	return h, o.Decode(&h)
}

// Find returns the revision that a change created, if it is one of the recent changes.
func (h Head) Find(id slugstore.ChangeID) (slugconfig.Revision, bool) {
	for _, c := range h.Recent {
		if c.ID == id {
			return c.Revision, true
		}
	}
	return 0, false
}

// Apply stores a manifest as the revision that follows base. A repeated call with the id
// of a recent change has no effect and returns the current head. Apply returns
// ErrBaseOutdated if another change came first, and slugstore.ErrUnknown if the outcome is
// not known.
func Apply(ctx context.Context, s *slugstore.Store, m *slugmanifest.Manifest, base slugconfig.Revision, id slugstore.ChangeID) (Head, error) {
	h, err := Read(ctx, s)
	if err != nil {
		return Head{}, err
	}
	if _, ok := h.Find(id); ok {
		return h, nil
	}
	if h.Revision != base {
		return h, errors.Wrapf(ErrBaseOutdated, "current revision is %d", h.Revision)
	}
	chunks, err := splitManifest(m)
	if err != nil {
		return h, err
	}
	if err := writeChunks(ctx, s, h, chunks); err != nil {
		return h, err
	}
	return writeHead(ctx, s, h, chunks, id)
}

func writeHead(ctx context.Context, s *slugstore.Store, h Head, chunks []encodedChunk, id slugstore.ChangeID) (Head, error) {
	next := Head{Revision: h.Revision + 1, Change: id, Recent: append(h.Recent, Change{id, h.Revision + 1})}
	next.Recent = next.Recent[max(0, len(next.Recent)-maxRecentChanges):]
	for _, c := range chunks {
		next.Chunks = append(next.Chunks, c.hash)
	}
	version, err := s.PutChange(ctx, HeadName, h.Version, next, id)
	if err == nil {
		next.Version = version
		return next, nil
	}
	if !errors.Is(err, slugstore.ErrConflict) {
		return h, err
	}
	return resolveConflict(ctx, s, id, err)
}

// resolveConflict finds out whether a change has taken effect although its write returned
// a conflict.
func resolveConflict(ctx context.Context, s *slugstore.Store, id slugstore.ChangeID, cause error) (Head, error) {
	h, err := Read(ctx, s)
	if err != nil {
		return h, errors.Mark(err, slugstore.ErrUnknown)
	}
	if _, ok := h.Find(id); ok {
		return h, nil
	}
	return h, errors.Wrapf(errors.Mark(cause, ErrBaseOutdated), "current revision is %d", h.Revision)
}

// encodedChunk is an encoded chunk with its hash.
type encodedChunk struct {
	hash Hash
	body json.RawMessage
}

func splitManifest(m *slugmanifest.Manifest) ([]encodedChunk, error) {
	parts := []chunk{}
	for i := range m.Services {
		parts = append(parts, chunk{Service: &m.Services[i]})
	}
	for i := range m.Workspaces {
		parts = append(parts, chunk{Workspace: &m.Workspaces[i]})
	}
	parts = append(parts, chunk{Rest: &slugmanifest.Manifest{Rules: m.Rules, DataCentres: m.DataCentres, Budget: m.Budget}})
	chunks := make([]encodedChunk, len(parts))
	for i, p := range parts {
		body, err := json.Marshal(p)
		if err != nil {
			return nil, slugfault.Wrap(err, "encode chunk", "")
		}
		chunks[i] = encodedChunk{HashOf(body), body}
	}
	return chunks, nil
}

// writeChunks writes the chunks that are not listed in the current head.
func writeChunks(ctx context.Context, s *slugstore.Store, h Head, chunks []encodedChunk) error {
	listed := map[Hash]bool{}
	for _, c := range h.Chunks {
		listed[c] = true
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(chunkConcurrency)
	for _, c := range chunks {
		if listed[c.hash] {
			continue
		}
		listed[c.hash] = true
		g.Go(func() error { return writeChunk(ctx, s, c) })
	}
	return g.Wait()
}

// writeChunk creates a chunk. A conflict is taken to mean that the chunk already exists,
// with the same content since its name is the hash.
func writeChunk(ctx context.Context, s *slugstore.Store, c encodedChunk) error {
	_, err := s.Put(ctx, ChunkPrefix+string(c.hash), 0, c.body)
	if errors.Is(err, slugstore.ErrConflict) {
		return nil
	}
	return err
}

// Loader loads the configuration of a head and caches the chunks of the head that it
// loaded last.
type Loader struct {
	// Fetch reads a chunk that is not cached.
	Fetch  func(ctx context.Context, h Hash) (json.RawMessage, error)
	mu     sync.Mutex
	cached map[Hash]json.RawMessage
}

// NewLoader returns a Loader that reads chunks from the store.
func NewLoader(s *slugstore.Store) *Loader {
	return &Loader{Fetch: func(ctx context.Context, h Hash) (json.RawMessage, error) {
		o, err := s.Get(ctx, ChunkPrefix+string(h))
		if err == nil && o.Body == nil {
			err = slugfault.New("read chunk", string(h), "chunk does not exist")
		}
		return o.Body, err
	}}
}

// Load returns the configuration of a head. It fetches only chunks that are not cached.
func (l *Loader) Load(ctx context.Context, h Head) (*slugconfig.Snapshot, error) {
	bodies, err := l.loadBodies(ctx, h)
	if err != nil {
		return nil, err
	}
	m, err := joinChunks(h, bodies)
	if err != nil {
		return nil, err
	}
	l.cacheChunks(h, bodies)
	return slugconfig.New(h.Revision, m), nil
}

// Chunk returns a cached chunk.
func (l *Loader) Chunk(h Hash) (json.RawMessage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	body, ok := l.cached[h]
	return body, ok
}

// ReplaceCache replaces the cached chunks with those of another Loader.
func (l *Loader) ReplaceCache(other *Loader) {
	other.mu.Lock()
	cached := other.cached
	other.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cached = cached
}

func (l *Loader) loadBodies(ctx context.Context, h Head) ([]json.RawMessage, error) {
	bodies := make([]json.RawMessage, len(h.Chunks))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(chunkConcurrency)
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

func (l *Loader) cacheChunks(h Head, bodies []json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cached = make(map[Hash]json.RawMessage, len(bodies))
	for i, b := range bodies {
		l.cached[h.Chunks[i]] = b
	}
}

func joinChunks(h Head, bodies []json.RawMessage) (*slugmanifest.Manifest, error) {
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
