package slugsystem_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPromiseServedWithoutLinks guards against a host that fails the requests of its callers
// because it has lost its links to all endpoints, while its peers still reach them.
func TestPromiseServedWithoutLinks(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(subtestName("refuse %t", refuse), func(t *testing.T) {
			withHarness(t, harnessOptions{}, func(t *testing.T, r *harness) {
				cut := r.Hosts()[0]
				setLinks := func(lost bool) {
					change := func(name string) {
						if refuse {
							r.mesh.Refuse(string(cut.Name), name, lost)
						} else {
							r.mesh.Partition(string(cut.Name), name, lost)
						}
					}
					for name := range r.Standins.Engines() {
						change(name)
					}
					for name := range r.Standins.PlainServices() {
						change(name)
					}
				}
				c := r.newClient("dojo-manila", 1, callersAddress(cut))
				r.mustChat(c, chatRequest(20, "before"))
				setLinks(true)
				time.Sleep(3 * time.Second)
				for i := range 5 {
					for _, stream := range []bool{true, false} {
						x := chatRequest(20, fmt.Sprint("without links ", i, stream))
						x.Stream = stream
						r.mustChat(c, x)
					}
					status, _, err := c.Plain(r.ctx, promotionCall("promotion", fmt.Sprint(i)))
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusOK)
				}
				setLinks(false)
				time.Sleep(time.Second)
				r.mustChat(c, chatRequest(20, "after"))
			})
		})
	}
}
