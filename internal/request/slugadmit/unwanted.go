package slugadmit

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugpick"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugqueue"
	"github.com/sassafraslug/sassafraslug/internal/request/slugrefusal"
)

// unwantedSpread is the time over which callers return that were refused because no endpoint
// wants requests.
const unwantedSpread = 500 * time.Millisecond

// errUnwanted is the cause with which a wait ends when no endpoint wants requests.
var errUnwanted = errors.New("all endpoints asked to be left alone")

// mustNotWait reports whether a request is to be refused because no endpoint wants requests
// for a time. A started one waits if it can start afterwards: its caller has a part of the
// response.
func mustNotWait(p *slugpick.Picker, w slugpick.Work, t *slugqueue.Ticket) bool {
	now := time.Now()
	wait := p.UntilWanted(w, now)
	return wait > 0 && (!t.Started || now.Add(wait).After(t.Deadline))
}

// unwantedRefusal refuses a call because no endpoint wants requests for a time.
func unwantedRefusal(wait time.Duration, c *Call) *slugrefusal.Refusal {
	spread := time.Duration(rand.Int64N(int64(unwantedSpread)))
	return slugrefusal.NotRun(slugrefusal.CodeEndpointRefused, "all endpoints of service %q asked to be left alone", c.Service.Name).WithRetryAfter(wait + spread)
}
