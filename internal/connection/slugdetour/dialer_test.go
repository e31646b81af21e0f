package slugdetour

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"gotest.tools/v3/assert"
)

// half is one direction of a stream.
type half struct {
	mu   sync.Mutex
	cond *sync.Cond
	data bytes.Buffer
	end  error
}

func newHalf() *half {
	h := &half{}
	h.cond = sync.NewCond(&h.mu)
	return h
}

func (h *half) finish(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.end == nil {
		h.end = err
	}
	h.cond.Broadcast()
}

// streamEnd is one end of a stream between two processes, or between a process and an endpoint.
type streamEnd struct {
	net.Conn
	in, out *half
}

func newStreamPair() (*streamEnd, *streamEnd) {
	a, b := newHalf(), newHalf()
	return &streamEnd{in: a, out: b}, &streamEnd{in: b, out: a}
}

func (s *streamEnd) Read(b []byte) (int, error) {
	s.in.mu.Lock()
	defer s.in.mu.Unlock()
	for s.in.data.Len() == 0 && s.in.end == nil {
		s.in.cond.Wait()
	}
	if s.in.data.Len() > 0 {
		return s.in.data.Read(b)
	}
	return 0, s.in.end
}

func (s *streamEnd) Write(b []byte) (int, error) {
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	if s.out.end != nil {
		return 0, io.ErrClosedPipe
	}
	n, err := s.out.data.Write(b)
	s.out.cond.Broadcast()
	return n, err
}

func (s *streamEnd) CloseWrite() error {
	s.out.finish(io.EOF)
	return nil
}

func (s *streamEnd) Close() error {
	s.in.finish(net.ErrClosed)
	return s.CloseWrite()
}

// Abort breaks the stream off for both ends.
func (s *streamEnd) Abort() {
	s.in.finish(net.ErrClosed)
	s.out.finish(syscall.ECONNRESET)
}

func (s *streamEnd) SetDeadline(time.Time) error { return nil }

// SetReadDeadline ends reads at a time, unless it is zero.
func (s *streamEnd) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		time.AfterFunc(time.Until(t), func() { s.in.finish(os.ErrDeadlineExceeded) })
	}
	return nil
}

// lab is a few processes and one endpoint.
type lab struct {
	dialers map[slugname.Process]*Dialer
	// links are the processes that reach the endpoint, refused those whose connections are
	// refused, and silent those that answer no peer.
	links, refused, silent map[slugname.Process]bool
	// accepted holds the ends of the connections at the endpoint.
	accepted []*streamEnd
	// last is the peer that says that it has lost paths.
	last    slugname.Process
	lost    int
	unknown bool
	mu      sync.Mutex
}

const endpoint = "10.0.0.1:80"

// newLab returns a lab with the given processes.
func newLab(names ...slugname.Process) *lab {
	l := &lab{dialers: map[slugname.Process]*Dialer{}, links: map[slugname.Process]bool{}, refused: map[slugname.Process]bool{}, silent: map[slugname.Process]bool{}}
	for _, self := range names {
		l.links[self] = true
		l.dialers[self] = New(Config{
			Direct: func(ctx context.Context, _, _ string) (net.Conn, error) { return l.connect(ctx, self) },
			Peers: func() (out []Peer) {
				for _, p := range names {
					if p != self {
						out = append(out, Peer{Process: p, LostPaths: p == l.last})
					}
				}
				return out
			},
			Record: func(p slugname.Process) (slugmember.Record, bool) { return slugmember.Record{Process: p}, true },
			Open: func(ctx context.Context, to slugmember.Record) (slugpeer.Stream, error) {
				if _, _, answers := l.state(to.Process); !answers {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				a, b := newStreamPair()
				go l.dialers[to.Process].Serve(self, b)
				return a, nil
			},
			Allowed: func(string) bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				return !l.unknown
			},
			PathChanged: func(_ string, lost bool) {
				l.mu.Lock()
				defer l.mu.Unlock()
				if l.lost--; lost {
					l.lost += 2
				}
			},
			Log: slugevent.Discard(),
		})
	}
	return l
}

// withLab runs a test on a lab in virtual time, and ends its connections.
func withLab(t *testing.T, test func(t *testing.T, l *lab), names ...slugname.Process) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := newLab(names...)
		test(t, l)
		for _, e := range l.accepted {
			_ = e.Close()
		}
		time.Sleep(directTimeout + peerTimeout + lingerTimeout)
	})
}

// set changes the lab.
func (l *lab) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// lostPaths returns the number of paths that were lost and not restored.
func (l *lab) lostPaths() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// state returns whether a process reaches the endpoint, has its connections refused, and answers
// peers.
func (l *lab) state(p slugname.Process) (linked, refused, answers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[p], l.refused[p], !l.silent[p]
}

// connect connects a process to the endpoint.
func (l *lab) connect(ctx context.Context, p slugname.Process) (net.Conn, error) {
	switch linked, refused, _ := l.state(p); {
	case refused:
		return nil, syscall.ECONNREFUSED
	case !linked:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	a, b := newStreamPair()
	l.set(func() { l.accepted = append(l.accepted, b) })
	return a, nil
}

// dial connects process a to the endpoint, and returns the time that it took.
func (l *lab) dial(ctx context.Context) (net.Conn, time.Duration, error) {
	began := time.Now()
	c, err := l.dialers["a"].Dial(ctx, "tcp", endpoint)
	return c, time.Since(began), err
}

// end returns the end at the endpoint of the newest connection.
func (l *lab) end() *streamEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted[len(l.accepted)-1]
}

// checkEcho checks that bytes pass both ways.
func (l *lab) checkEcho(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("ping"))
	assert.NilError(t, err)
	b := make([]byte, 4)
	_, err = io.ReadFull(l.end(), b)
	assert.NilError(t, err)
	_, err = l.end().Write([]byte("pong"))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, b)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "pong")
}

// TestPathLost guards against a host that does not reach an endpoint although a peer does, that
// waits for its own attempt each time, or that uses peers after its links are back.
func TestPathLost(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		withLab(t, func(t *testing.T, l *lab) {
			l.set(func() { l.links["a"], l.refused["a"] = false, refuse })
			c, took, err := l.dial(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, took <= 200*time.Millisecond, "%s", took)
			l.checkEcho(t, c)
			assert.NilError(t, c.Close())
			time.Sleep(directTimeout)
			assert.Equal(t, l.lostPaths(), 1)
			_, took, err = l.dial(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, took, time.Duration(0))
			l.set(func() { l.links["a"], l.refused["a"] = true, false })
			time.Sleep(time.Second)
			for range 2 {
				c, _, err = l.dial(t.Context())
				assert.NilError(t, err)
				synctest.Wait()
			}
			assert.Equal(t, l.lostPaths(), 0)
			_, direct := c.(*directConn)
			assert.Assert(t, direct)
		}, "a", "b")
	}
}

// TestDeadEndpointIsNoLostPath guards against a dead endpoint that is taken for one to which the
// path is lost, or the other way round, and against peers that are asked for each connection.
func TestDeadEndpointIsNoLostPath(t *testing.T) {
	withLab(t, func(t *testing.T, l *lab) {
		l.set(func() {
			for p := range l.links {
				l.refused[p] = true
			}
		})
		_, took, err := l.dial(t.Context())
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		assert.Equal(t, took, time.Duration(0))
		time.Sleep(time.Second)
		l.set(func() { l.links, l.refused = map[slugname.Process]bool{}, map[slugname.Process]bool{} })
		_, took, err = l.dial(t.Context())
		assert.Assert(t, err != nil && !errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		assert.Assert(t, took <= 2*directTimeout, "%s", took)
		assert.Equal(t, l.lostPaths(), 0)
		asked := l.dialers["a"].Status().Unopened
		_, _, err = l.dial(t.Context())
		assert.Assert(t, err != nil)
		assert.Equal(t, l.dialers["a"].Status().Unopened, asked, "peers were asked again")
	}, "a", "b", "c")
}

// TestBrokenOffResponseLooksComplete guards against a response that the endpoint breaks off and
// that ends as if it were complete behind a peer.
func TestBrokenOffResponseLooksComplete(t *testing.T) {
	for _, broken := range []bool{false, true} {
		withLab(t, func(t *testing.T, l *lab) {
			l.set(func() { l.refused["a"] = true })
			c, _, err := l.dial(t.Context())
			assert.NilError(t, err)
			_, err = l.end().Write([]byte("part"))
			assert.NilError(t, err)
			synctest.Wait()
			if broken {
				l.end().Abort()
			} else {
				assert.NilError(t, l.end().CloseWrite())
			}
			got, err := io.ReadAll(c)
			assert.Equal(t, err != nil, broken, "%v", err)
			assert.Assert(t, broken || string(got) == "part")
			assert.NilError(t, c.Close())
			synctest.Wait()
			assert.Equal(t, len(l.dialers["b"].served), 0, "the connection is closed at the peer")
			assert.Equal(t, len(l.dialers["a"].Sharing(endpoint))+len(l.dialers["b"].Sharing(endpoint)), 0)
		}, "a", "b")
	}
}

// TestDisconnectIsNotPassedOn guards against an endpoint that works on although the connection
// through a peer was closed.
func TestDisconnectIsNotPassedOn(t *testing.T) {
	withLab(t, func(t *testing.T, l *lab) {
		l.set(func() { l.refused["a"] = true })
		c, _, err := l.dial(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		_, err = l.end().Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	}, "a", "b")
}

// TestConnectionTakesASecondHop guards against connections that pass several peers, and against
// peers that open connections to addresses that they do not know.
func TestConnectionTakesASecondHop(t *testing.T) {
	withLab(t, func(t *testing.T, l *lab) {
		l.set(func() { l.refused["a"], l.links["b"], l.last = true, false, "c" })
		l.dialers["b"].paths.Lost(endpoint, time.Now(), time.Now())
		c, took, err := l.dial(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, took, time.Duration(0), "c is asked at once")
		assert.DeepEqual(t, l.dialers["a"].Sharing(endpoint), []slugname.Process{"c"})
		assert.NilError(t, c.Close())
		l.set(func() { l.unknown = true })
		_, _, err = l.dial(t.Context())
		assert.Assert(t, err != nil)
	}, "a", "b", "c")
}

// TestSilentPeersAreWaitedFor guards against a wait for each peer that is cut off itself.
func TestSilentPeersAreWaitedFor(t *testing.T) {
	withLab(t, func(t *testing.T, l *lab) {
		l.set(func() { l.refused["a"], l.silent["b"], l.silent["c"] = true, true, true })
		l.last = "d"
		_, took, err := l.dial(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, took, 2*peerPatience)
		time.Sleep(peerTimeout)
	}, "a", "b", "c", "d")
}

// TestRequestsWaitOnSilentConnections guards against connections that are kept although nothing
// arrives on them any more, and against those closed on which responses still arrive, or may after
// a single failed attempt.
func TestRequestsWaitOnSilentConnections(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		withLab(t, func(t *testing.T, l *lab) {
			silent, _, err := l.dial(t.Context())
			assert.NilError(t, err)
			live, _, err := l.dial(t.Context())
			assert.NilError(t, err)
			liveEnd := l.end()
			time.Sleep(time.Second)
			l.set(func() { l.links["a"], l.refused["a"] = false, refuse })
			for attempts := 1; attempts <= 2; attempts++ {
				_, _, err = l.dial(t.Context())
				assert.NilError(t, err)
				_, err = liveEnd.Write([]byte("x"))
				assert.NilError(t, err)
				_, err = io.ReadFull(live, make([]byte, 1))
				assert.NilError(t, err)
				time.Sleep(directTimeout)
				synctest.Wait()
				_, err = live.Write([]byte("x"))
				assert.NilError(t, err)
				_, err = silent.Write([]byte("x"))
				assert.Equal(t, err == nil, refuse || attempts == 1, "%v", err)
			}
		}, "a", "b")
	}
}
