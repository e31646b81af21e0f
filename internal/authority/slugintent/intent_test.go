package slugintent

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugbuffer"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// TestUnreadableDrainsEndDrains guards against drains that end because another writer
// replaced their object by one that cannot be decoded.
func TestUnreadableDrainsEndDrains(t *testing.T) {
	var log slugbuffer.Buffer
	i := New(nil, slugevent.New(&log, logrus.InfoLevel, ""))
	object := func(name, body string) slugstore.Object {
		return slugstore.Object{Name: prefix + name, Body: json.RawMessage(body)}
	}
	i.Apply([]slugstore.Object{object("drains", `{"hosts":["h"],"endpoints":["a"]}`), object("releases/north", `{"endpoints":["b"]}`)})
	for n, odd := range []string{`7`, `{"endpoints":[1e400]}`, `{"hosts":["h"],"endpoints":"a"}`, `[`} {
		i.Apply([]slugstore.Object{object("drains", odd), object("releases/north", odd), object("releases/south", odd)})
		assert.Assert(t, i.IsDraining("a") && i.IsDraining("b"), odd)
		assert.DeepEqual(t, i.Drains().Hosts, []slugname.Host{"h"})
		assert.Equal(t, strings.Count(log.String(), fmt.Sprintf(`"event":%d`, slugevent.DrainsUnreadable)), 3*(n+1))
	}
	i.Apply([]slugstore.Object{object("drains", `{}`), {Name: releasesPrefix + "north"}})
	assert.Assert(t, !i.IsDraining("a") && !i.IsDraining("b"))
}
