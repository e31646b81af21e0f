package slugplatform

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// HTTP headers of the store protocol.
const (
	// VersionHeader carries the version of an object.
	VersionHeader = "Object-Version"
	// IfVersionHeader carries the version that a write expects the object to have; 0
	// means that the object must not exist.
	IfVersionHeader = "If-Version"
)

// ListedObject is an entry of a ListAnswer.
type ListedObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// ListAnswer is the response to a list or a watch of a prefix.
type ListAnswer struct {
	// Revision is the revision of the store at which the list was read.
	Revision uint64         `json:"revision"`
	Objects  []ListedObject `json:"objects"`
}

// withFaults wraps a handler of the store with fault injection and call counts.
func (p *Platform) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[callKind(r)]++
		down, delay, losesResponse := p.down, p.delay, p.losesResponse
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if down {
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		if losesResponse != nil && losesResponse(r) {
			h(discardingWriter{header: http.Header{}}, r)
			http.Error(w, "response dropped by fault injection", http.StatusGatewayTimeout)
			return
		}
		h(w, r)
	}
}

func callKind(r *http.Request) string {
	switch {
	case r.Method == http.MethodPut:
		return "put"
	case r.Method == http.MethodDelete:
		return "delete"
	case r.URL.Query().Get("waitMs") != "":
		return "watch"
	case strings.HasPrefix(r.URL.Path, "/store/list"):
		return "list"
	default:
		return "get"
	}
}

// discardingWriter is an http.ResponseWriter that drops the response.
type discardingWriter struct{ header http.Header }

func (d discardingWriter) Header() http.Header         { return d.header }
func (d discardingWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardingWriter) WriteHeader(int)             {}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	after, wait := waitParameters(r)
	stored, ok := p.await(r, wait, func() bool { return p.objects[name].version > after || wait == 0 }, name)
	if !ok {
		p.respondUnchanged(w)
		return
	}
	w.Header().Set(VersionHeader, strconv.FormatUint(stored.version, 10))
	if stored.version == 0 || stored.deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(stored.value)
}

// await waits until ready returns true and returns the named object. It returns false
// if the wait time passes, the request ends or the store goes down.
func (p *Platform) await(r *http.Request, wait time.Duration, ready func() bool, name string) (object, bool) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		if ready() && !p.down {
			o := p.objects[name]
			p.mu.Unlock()
			return o, true
		}
		changed := p.changed
		down := p.down
		p.mu.Unlock()
		if down {
			return object{}, false
		}
		select {
		case <-changed:
		case <-deadline.C:
			return object{}, false
		case <-r.Context().Done():
			return object{}, false
		}
	}
}

// respondUnchanged responds to a wait that ended without a change: 503 if the store is
// down, else 304.
func (p *Platform) respondUnchanged(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		http.Error(w, "store is down", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNotModified)
}

func waitParameters(r *http.Request) (after uint64, wait time.Duration) {
	after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	return after, time.Duration(ms) * time.Millisecond
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.writeObject(w, r, object{value: value})
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.writeObject(w, r, object{deleted: true})
}

// writeObject replaces an object or responds with 409 if its version isn't the expected
// one. A deleted object counts as version 0.
func (p *Platform) writeObject(w http.ResponseWriter, r *http.Request, next object) {
	expected, err := strconv.ParseUint(r.Header.Get(IfVersionHeader), 10, 64)
	if err != nil {
		http.Error(w, "If-Version header is missing or not a number", http.StatusBadRequest)
		return
	}
	name := r.PathValue("name")
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.objects[name]
	currentVersion := current.version
	if current.deleted {
		currentVersion = 0
	}
	if currentVersion != expected {
		w.Header().Set(VersionHeader, strconv.FormatUint(current.version, 10))
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.revision++
	p.writtenBytes += len(next.value)
	next.version = p.revision
	p.objects[name] = next
	p.notifyWaiters()
	w.Header().Set(VersionHeader, strconv.FormatUint(next.version, 10))
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, wait := waitParameters(r)
	_, ok := p.await(r, wait, func() bool { return wait == 0 || p.newestVersion(prefix) > after }, "")
	if !ok {
		p.respondUnchanged(w)
		return
	}
	writeJSON(w, http.StatusOK, p.list(prefix, after))
}

// newestVersion returns the highest version of the objects whose names have a prefix,
// tombstones included; p.mu is held.
func (p *Platform) newestVersion(prefix string) uint64 {
	var newest uint64
	for name, o := range p.objects {
		if strings.HasPrefix(name, prefix) {
			newest = max(newest, o.version)
		}
	}
	return newest
}

// list returns the objects whose names have a prefix and whose versions are higher than
// after, tombstones included.
func (p *Platform) list(prefix string, after uint64) ListAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := ListAnswer{Revision: p.revision}
	for name, o := range p.objects {
		if strings.HasPrefix(name, prefix) && o.version > after {
			answer.Objects = append(answer.Objects, ListedObject{name, o.version, o.value, o.deleted})
		}
	}
	sort.Slice(answer.Objects, func(i, j int) bool { return answer.Objects[i].Name < answer.Objects[j].Name })
	return answer
}
