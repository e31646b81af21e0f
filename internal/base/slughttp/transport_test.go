package slughttp

import (
	"bufio"
	"context"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeaderWithoutEnd guards against the headers of a response that never end and that a
// client keeps, also in interim responses and in trailers.
func TestHeaderWithoutEnd(t *testing.T) {
	const ok, line = "HTTP/1.1 200 OK\r\n", "X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"
	for name, parts := range map[string][2]string{
		"headers":            {ok, line},
		"one header":         {ok + "X-A: ", strings.Repeat("x", 100)},
		"interim response":   {"HTTP/1.1 103 x\r\n", line},
		"interim responses":  {"", "HTTP/1.1 103 x\r\n" + strings.Repeat(line, 10) + "\r\n"},
		"status line":        {"HTTP/1.1 200 ", strings.Repeat("x", 100)},
		"trailers":           {ok + "Trailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", line},
		"extension of chunk": {ok + "Transfer-Encoding: chunked\r\n\r\n1", strings.Repeat(";x", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			transport := NewTransport(func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					defer func() { _ = server.Close() }()
					_, err := http.ReadRequest(bufio.NewReader(server))
					if err == nil {
						_, err = io.WriteString(server, parts[0])
					}
					n := 0
					for ; err == nil; n += len(parts[1]) {
						_, err = io.WriteString(server, parts[1])
					}
					sent <- n
				}()
				return client, nil
			})
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a/", nil)
			assert.NilError(t, err)
			resp, err := transport.RoundTrip(r)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			assert.Assert(t, err != nil)
			n := <-sent
			assert.Assert(t, n < 2*maxHeaderBytes, "%d bytes were read", n)
		})
	}
}

// checkSources checks that no source file of the programs uses one of the given texts, except in
// the given package. The clients of experiments and stand-ins run in processes of their own.
func checkSources(t *testing.T, except string, texts ...string) {
	t.Helper()
	root := filepath.Join("..", "..", "..")
	for _, dir := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			slash := filepath.ToSlash(path)
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			for _, part := range []string{"operate", "standin", "slugsoakrig", except} {
				if strings.Contains(slash, "/"+part+"/") {
					return nil
				}
			}
			b, err := os.ReadFile(path)
			for _, text := range texts {
				assert.Check(t, !strings.Contains(string(b), text), "%s uses %s", slash, text)
			}
			return err
		})
		assert.NilError(t, err)
	}
}

// TestTransportsAreBounded guards against a client whose responses may have headers of the
// 10 MB that net/http allows.
func TestTransportsAreBounded(t *testing.T) {
	checkSources(t, "slughttp", "http.Transport{", "http.DefaultClient", "http.DefaultTransport", "http.Get(", "http.Post(")
}

// TestConnectionsTellResetsFromEnds guards against a connection that is not opened by slugsocket, on
// which a reset may look like the end of a response.
func TestConnectionsTellResetsFromEnds(t *testing.T) {
	checkSources(t, "slugsocket", "net.Dial(", "net.DialTimeout(", "net.DialTCP(", "Dialer{}).Dial", "ialer.Dial(", "ialer.DialContext(")
}
