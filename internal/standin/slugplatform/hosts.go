package slugplatform

import (
	"net/http"
	"time"
)

// HostState is the state of a host in the host list.
type HostState string

// The states of a host. The host list omits hosts that are gone.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	hostGone    HostState = "gone"
)

// Host is an entry of the host list.
type Host struct {
	Name       string    `json:"name"`
	DataCentre string    `json:"dataCentre"`
	State      HostState `json:"state"`
}

// hostChange is a change of the host list that becomes visible at a time.
type hostChange struct {
	Host
	visibleAt time.Time
}

// SetHost adds or changes an entry of the host list. The change becomes visible after
// Config.HostListLag.
func (p *Platform) SetHost(h Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostChanges = append(p.hostChanges, hostChange{h, time.Now().Add(p.cfg.HostListLag)})
}

// RemoveHost removes a host from the list. The change becomes visible after
// Config.HostListLag.
func (p *Platform) RemoveHost(name string) {
	p.SetHost(Host{Name: name, State: hostGone})
}

// Hosts returns the host list as it is visible now.
func (p *Platform) Hosts() []Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	positions := map[string]int{}
	latest := []Host{}
	for _, change := range p.hostChanges {
		if change.visibleAt.After(now) {
			continue
		}
		if i, ok := positions[change.Name]; ok {
			latest[i] = change.Host
			continue
		}
		positions[change.Name] = len(latest)
		latest = append(latest, change.Host)
	}
	listed := []Host{}
	for _, h := range latest {
		if h.State != hostGone {
			listed = append(listed, h)
		}
	}
	return listed
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Hosts())
}
