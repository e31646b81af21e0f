package slugserve

import (
	"context"
	"crypto/tls"
	"net/http"

	"golang.org/x/net/http2"
)

// configureHTTP2 makes a server speak HTTP/2. The server that it returns tells all HTTP/2
// connections to close when it is shut down, and does nothing else.
func configureHTTP2(server *http.Server) (*http.Server, error) {
	owner := &http.Server{}
	if err := http2.ConfigureServer(owner, &http2.Server{MaxConcurrentStreams: maxStreamsPerConnection, IdleTimeout: idleTimeout}); err != nil {
		return nil, err
	}
	server.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){}
	for protocol, serve := range owner.TLSNextProto {
		server.TLSNextProto[protocol] = func(server *http.Server, c *tls.Conn, h http.Handler) {
			// net/http passes the context of the connection in this way.
			if b, ok := h.(interface{ BaseContext() context.Context }); ok {
				connectionOf(b.BaseContext()).setHTTP2()
			}
			serve(server, c, h)
		}
	}
	return owner, nil
}
