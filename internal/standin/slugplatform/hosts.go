package slugplatform

import (
	"net/http"
	"time"
)

// HostState is what the host list says of a host.
type HostState string

// The states of a host. A host that is gone is not listed.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	hostGone    HostState = "gone"
)

// Host is one line of the host list.
type Host struct {
	Name       string    `json:"name"`
	DataCentre string    `json:"dataCentre"`
	State      HostState `json:"state"`
}

// hostEntry is a change of the list with the time at which it is seen.
type hostEntry struct {
	Host
	visible time.Time
}

// SetHost changes the host list; the change is seen after the lag.
func (p *Platform) SetHost(h Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hostEntry{h, time.Now().Add(p.cfg.HostListLag)})
}

// RemoveHost takes a host off the list; the change is seen after the lag.
func (p *Platform) RemoveHost(name string) {
	p.SetHost(Host{Name: name, State: hostGone})
}

// Hosts returns the list as it is seen now.
func (p *Platform) Hosts() []Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	index := map[string]int{}
	list := []Host{}
	for _, e := range p.hosts {
		if e.visible.After(now) {
			continue
		}
		if i, ok := index[e.Name]; ok {
			list[i] = e.Host
			continue
		}
		index[e.Name] = len(list)
		list = append(list, e.Host)
	}
	live := []Host{}
	for _, h := range list {
		if h.State != hostGone {
			live = append(live, h)
		}
	}
	return live
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Hosts())
}
