// Package slugroles remembers the roles that engines were recently ordered to take, so
// that the host can announce them to its peers: an engine that is about to change its role
// gets no new requests for the old one.
//
// # Usage
//
//	r := slugroles.New()
//	r.Set("engine-1", slugplan.RolePrefill)
//	row.PlannedRoles = r.All(time.Now())
package slugroles

import (
	"sync"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/decision/slugplan"
)

// plannedRoleTTL is how long a planned role is announced. An engine that has not changed
// its role by then has refused the order and continues in its old role.
const plannedRoleTTL = 6 * time.Second

// Roles holds the planned roles of engines. Its methods are safe for concurrent use.
type Roles struct {
	mu    sync.Mutex
	roles map[slugname.Endpoint]plannedRole
}

// plannedRole is a role with the time of its order.
type plannedRole struct {
	role      slugplan.Role
	orderedAt time.Time
}

// New returns an empty Roles.
func New() *Roles { return &Roles{roles: map[slugname.Endpoint]plannedRole{}} }

// Set records that an engine was ordered to take a role.
func (r *Roles) Set(e slugname.Endpoint, role slugplan.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roles[e] = plannedRole{role, time.Now()}
}

// All returns the planned roles that have not expired, and deletes those that have.
func (r *Roles) All(now time.Time) map[slugname.Endpoint]slugplan.Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[slugname.Endpoint]slugplan.Role, len(r.roles))
	for e, p := range r.roles {
		if now.Sub(p.orderedAt) > plannedRoleTTL {
			delete(r.roles, e)
			continue
		}
		out[e] = p.role
	}
	return out
}
