package slugsystem_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/operate/slugcaller"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugdemo"
	"github.com/sassafraslug/sassafraslug/internal/operate/slugsystem"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugmesh"
	"gotest.tools/v3/assert"
)

// A request must succeed over the in-memory network in virtual time, on which the other
// system tests rely.
func TestRequestsInMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		d := slugdemo.NewDeployment()
		mesh := slugmesh.New()
		s, err := slugsystem.New(ctx, slugsystem.Config{Hosts: 3, Manifest: d.Manifest, Mesh: mesh})
		assert.NilError(t, err)
		defer s.Close()
		c := slugcaller.New(slugcaller.Config{
			SeedAddresses: s.GateAddresses(), Key: d.Keys["dojo-manila"],
			Transport: &http.Transport{DialContext: mesh.Host("caller").Dial},
		})
		defer c.CloseIdleConnections()
		r := slugcaller.ChatRequest{Model: "lineage", Prompt: "review the lineage", MaxTokens: 20, Stream: true}
		a, err := c.Chat(ctx, r)
		assert.NilError(t, err)
		assert.Equal(t, a.Text, slugengine.Answer(slugengine.Prompt(r.Body()), 20))
	})
}
