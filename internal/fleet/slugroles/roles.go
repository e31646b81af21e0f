// Package slugroles holds the roles that engines were told to take lately, for the
// peers: an engine that is about to change takes no new requests of its old role.
//
// # Usage
//
//	r := slugroles.New()
//	r.Set("engine-1", slugplan.RolePrefill)
//	row.Planned = r.All(time.Now())
package slugroles

import (
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// keepFor is how long a planned role is told. An engine that has not changed by then
// has refused, and goes on in its old role.
const keepFor = 6 * time.Second

// Roles holds planned roles.
type Roles struct {
	mu    sync.Mutex
	roles map[slugname.Endpoint]planned
}

type planned struct {
	role slugplan.Role
	at   time.Time
}

// New returns Roles without any.
func New() *Roles { return &Roles{roles: map[slugname.Endpoint]planned{}} }

// Set notes that an engine is told to take a role.
func (r *Roles) Set(e slugname.Endpoint, role slugplan.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roles[e] = planned{role, time.Now()}
}

// All returns the roles that were planned lately.
func (r *Roles) All(now time.Time) map[slugname.Endpoint]slugplan.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[slugname.Endpoint]slugplan.Role, len(r.roles))
	for e, p := range r.roles {
		if now.Sub(p.at) > keepFor {
			delete(r.roles, e)
			continue
		}
		out[e] = p.role
	}
	return out
}
