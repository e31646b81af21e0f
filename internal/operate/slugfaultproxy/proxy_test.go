package slugfaultproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// echo starts a server that returns each line, and a proxy to it.
func echo(t *testing.T) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p, err := New("127.0.0.1:0", l.Addr().String(), func() float64 { return 0.5 })
	assert.NilError(t, err)
	t.Cleanup(func() { p.Close(); _ = l.Close() })
	return p
}

// client is a connection through the proxy.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, p *Proxy) *client {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{c, bufio.NewReader(c)}
}

// exchange sends a line and returns how long its return took.
func (c *client) exchange(line string) (time.Duration, error) {
	startedAt := time.Now()
	if _, err := fmt.Fprintln(c, line); err != nil {
		return 0, err
	}
	got, err := c.r.ReadString('\n')
	if err == nil && got != line+"\n" {
		err = fmt.Errorf("got %q", got)
	}
	return time.Since(startedAt), err
}

const pause = 300 * time.Millisecond

// A silent connection must go on without loss, whichever direction is silent, and so must one
// that is opened meanwhile.
func TestHold(t *testing.T) {
	for _, which := range []Directions{Both, {Outward: true}, {Inward: true}} {
		p := echo(t)
		c := dial(t, p)
		_, err := c.exchange("before")
		assert.NilError(t, err)
		p.Hold(which, pause, 1)
		started := dial(t, p)
		for _, x := range []*client{c, started} {
			took, err := x.exchange("meanwhile")
			assert.NilError(t, err)
			assert.Assert(t, x != c || took >= pause-20*time.Millisecond, "took %s", took)
		}
		_, err = c.exchange("after")
		assert.NilError(t, err)
	}
}

// A fault with a share below what is drawn must leave the connection alone.
func TestShare(t *testing.T) {
	p := echo(t)
	c := dial(t, p)
	p.Hold(Both, time.Minute, 0.4)
	p.Reset(time.Minute, 0.4)
	_, err := c.exchange("line")
	assert.NilError(t, err)
	assert.Equal(t, len(p.Breaks()), 0)
}

// Delayed bytes must not delay those behind them as well, and held ones must arrive at once
// when the silence is over.
func TestTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, outer := net.Pipe()
		inner, server := net.Pipe()
		l := &link{client: outer, server: inner, outward: newPipe(nil), inward: newPipe(nil)}
		go l.outward.copy(inner, outer, l)
		startedAt := time.Now()
		l.outward.delay(pause, startedAt.Add(pause))
		go func() {
			for range 4 {
				_, _ = client.Write([]byte("x"))
				time.Sleep(pause / 4)
			}
			time.Sleep(2 * pause)
			l.outward.hold(startedAt.Add(5 * pause))
			_, _ = client.Write([]byte("x"))
		}()
		for n := range 5 {
			want := pause + time.Duration(n)*pause/4
			if n == 4 {
				want = 5 * pause
			}
			_, err := server.Read(make([]byte, 1))
			assert.NilError(t, err)
			assert.Equal(t, time.Since(startedAt), want, "byte %d", n)
		}
		l.close()
		_, _ = client.Close(), server.Close()
	})
}

// A reset must be seen by the client and be on record with the address that the server saw.
func TestReset(t *testing.T) {
	p := echo(t)
	c := dial(t, p)
	_, err := c.exchange("before")
	assert.NilError(t, err)
	p.Reset(pause, 1)
	_, err = c.exchange("after")
	assert.Assert(t, err != nil)
	// The reset may be seen by the dial already.
	if conn, err := net.Dial("tcp", p.Address()); err == nil {
		_, err = (&client{conn, bufio.NewReader(conn)}).exchange("meanwhile")
		assert.Assert(t, err != nil)
		assert.NilError(t, conn.Close())
	}
	time.Sleep(pause)
	_, err = dial(t, p).exchange("later")
	assert.NilError(t, err)
	assert.Equal(t, len(p.Breaks()), 2)
	assert.Assert(t, p.Breaks()[0].Connection != "")
}

// The end of a connection must reach the other side, after the bytes before it.
func TestEnd(t *testing.T) {
	p := echo(t)
	c := dial(t, p)
	_, err := fmt.Fprint(c, "last")
	assert.NilError(t, err)
	assert.NilError(t, c.Conn.(*net.TCPConn).CloseWrite())
	got, err := io.ReadAll(c.r)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "last")
}

// Bytes that the proxy reads late, since the processors are busy, must be on record with the time at
// which the kernel received them.
func TestReceiptsOfLateProxy(t *testing.T) {
	target := echo(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &Proxy{listener: l, target: target.Address(), random: func() float64 { return 0 }, links: map[*link]struct{}{}}
	t.Cleanup(p.Close)
	c := dial(t, p)
	_, err = fmt.Fprintln(c, "early")
	assert.NilError(t, err)
	writtenAt := time.Now()
	time.Sleep(pause)
	p.wg.Go(p.accept)
	_, err = c.r.ReadString('\n')
	assert.NilError(t, err)
	_, err = c.exchange("next")
	assert.NilError(t, err)
	receipts := p.Receipts()
	assert.Equal(t, len(receipts), 2)
	early, next := receipts[0], receipts[1]
	assert.Assert(t, early.ReadAt.Sub(writtenAt) >= pause)
	assert.Assert(t, early.ArrivedAt.Sub(writtenAt) < pause/2, "%s", early.ArrivedAt.Sub(writtenAt))
	assert.Assert(t, next.ArrivedAt.Sub(writtenAt) >= pause/2, "%s", next.ArrivedAt.Sub(writtenAt))
	assert.Equal(t, early.Connection, next.Connection)
}
