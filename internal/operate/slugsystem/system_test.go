package slugsystem_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/daemon/sluggate"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugcaller"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugdemo"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugsystem"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
	"gotest.tools/v3/assert"
)

// Completions and plain calls must succeed over loopback sockets.
func TestRequestsOverLoopback(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d := slugdemo.NewDeployment()
	s, err := slugsystem.New(ctx, slugsystem.Config{Hosts: 3, Manifest: d.Manifest})
	assert.NilError(t, err)
	defer s.Close()
	c := slugcaller.New(slugcaller.Config{SeedAddresses: s.GateAddresses(), Key: d.Keys["dojo-manila"]})
	for _, stream := range []bool{true, false} {
		r := slugcaller.ChatRequest{Model: "lineage", Prompt: "review the lineage", MaxTokens: 20, Stream: stream}
		a, err := c.Chat(ctx, r)
		assert.NilError(t, err)
		assert.Equal(t, a.Text, slugengine.Answer(slugengine.Prompt(r.Body()), 20))
	}
	status, body, err := c.Plain(ctx, slugcaller.PlainRequest{Service: "records", Method: "POST", Path: "/promotions", Body: []byte(`{"belt":"black"}`)})
	assert.NilError(t, err)
	assert.Equal(t, status, 200, string(body))
}

// A gate whose port is in use must fail at the start with the address in the error.
func TestGateReportsPortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	s := slugsettings.Defaults()
	s.CallersListen = l.Addr().String()
	err = sluggate.New(s, slugnetwork.New(), slugevent.Discard()).Run(t.Context())
	assert.ErrorContains(t, err, "open listeners: listen ("+s.CallersListen+")")
}
