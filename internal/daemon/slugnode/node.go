// Package slugnode connects a process to the cluster: the store client, the process's
// membership record, the peer protocol and the current configuration. The gate and control
// daemons build on it.
//
// # Usage
//
//	n, err := slugnode.New(slugnode.Config{Settings: s, Kind: slugmember.KindGate, Log: log})
//	err = n.Publish(ctx, group)
package slugnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugbackoff"
	"github.com/sassafraslug/sassafraslug/internal/base/slugclock"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slughttp"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugheadfollower"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"golang.org/x/sync/errgroup"
)

const (
	// configWatchers is the number of processes per data centre that poll the store for a
	// new configuration at short intervals. The others get it from these.
	configWatchers = 3
	// watcherPollWait is the longest wait of one watch call by these processes.
	watcherPollWait = 1500 * time.Millisecond
	// storeIdleConnections limits the idle connections to the store.
	storeIdleConnections = 16
	// publishRetryInterval is the time between attempts to publish the membership record.
	publishRetryInterval = time.Second
	// processIDBytes is the length of the random part of a process name.
	processIDBytes = 4
)

// Config configures a Node.
type Config struct {
	Settings         *slugsettings.Settings
	Kind             slugmember.Kind
	CallersAddress   string
	OperatorsAddress string
	Log              *slugevent.Log
	Network          *slugnetwork.Network
	// Metrics receives the counters of store calls.
	Metrics *expvar.Map
	// PeerRowChanged is called with each new or changed row of a peer.
	PeerRowChanged func(slugpeer.Row)
	// Evidence merges the evidence of a peer against crashing requests, and returns that of
	// this process if the peer asks to compare; it may be nil.
	Evidence func(list []slugpeer.Evidence, compare bool) []slugpeer.Evidence
}

// Node is a process's connection to the cluster.
type Node struct {
	cfg       Config
	client    *http.Client
	Store     *slugstore.Store
	Transport slugpeer.Transport
	Member    *slugmember.Member
	Table     *slugpeer.Table
	Follower  *slugheadfollower.Follower
}

// New creates the components and listens for peers. It sends nothing.
func New(cfg Config) (*Node, error) {
	n := &Node{cfg: cfg}
	n.Store = n.newStore()
	transport, err := cfg.Network.Peers(cfg.Settings.PeersListen, cfg.Log)
	if err != nil {
		return nil, err
	}
	n.Transport = transport
	n.Member = slugmember.New(slugmember.Config{Self: n.newRecord(), Store: n.Store.For("members")})
	transport.SetLookup(n.Member.ByCertificate)
	n.Follower = n.newFollower()
	n.Table = n.newTable()
	return n, nil
}

func (n *Node) newStore() *slugstore.Store {
	counts := new(expvar.Map).Init()
	if n.cfg.Metrics != nil {
		n.cfg.Metrics.Set("storeCalls", counts)
	}
	transport := slughttp.NewTransport(n.cfg.Network.Dial)
	transport.MaxIdleConnsPerHost = storeIdleConnections
	n.client = &http.Client{Transport: transport}
	return slugstore.New(slugstore.Config{BaseURL: n.cfg.Settings.PlatformAddress, Do: n.client.Do, Counts: counts})
}

// newRecord returns the membership record of this process.
func (n *Node) newRecord() slugmember.Record {
	s := n.cfg.Settings
	id := make([]byte, processIDBytes)
	_, _ = rand.Read(id)
	return slugmember.Record{
		Process:          slugname.Process(string(s.Host) + "-" + string(n.cfg.Kind) + "-" + hex.EncodeToString(id)),
		Kind:             n.cfg.Kind,
		Host:             s.Host,
		DataCentre:       s.DataCentre,
		Region:           s.Region,
		PeerAddress:      Advertised(s.PeersAdvertise, n.Transport.Address),
		CallersAddress:   n.cfg.CallersAddress,
		OperatorsAddress: n.cfg.OperatorsAddress,
		CertificateHash:  n.Transport.Hash,
		StartedAtMs:      time.Now().UnixMilli(),
	}
}

// Advertised returns the address to announce to others: the configured one, or the address
// of the listener if no port is configured.
func Advertised(wanted, listening string) string {
	_, port, err := net.SplitHostPort(wanted)
	if err != nil || port == "0" {
		return listening
	}
	return wanted
}

func (n *Node) newFollower() *slugheadfollower.Follower {
	return slugheadfollower.New(slugheadfollower.Config{
		Store: n.Store.For("config"), Log: n.cfg.Log, Wait: n.configWait,
		FromPeer:     n.fetchBundle,
		StoreAnswers: func(ok bool) { n.Table.Update(func(r *slugpeer.Row) { r.StoreUnavailable = !ok }) },
		InForce: func(s *slugconfig.Snapshot) {
			n.Table.Update(func(r *slugpeer.Row) { r.Revision = s.Revision })
			go n.pushTable()
		},
	})
}

func (n *Node) newTable() *slugpeer.Table {
	return slugpeer.New(slugpeer.Config{
		Self: n.Member.Self(), Call: n.Transport.Call, Peers: n.Member.Records,
		LastConfirmed: func() slugclock.Instant {
			lastConfirmed, _ := n.Follower.LastConfirmed()
			return lastConfirmed
		},
		Revision:          n.Follower.Revision,
		RowChanged:        n.cfg.PeerRowChanged,
		Evidence:          n.cfg.Evidence,
		RevisionConfirmed: n.Follower.ObservePeer,
		Bundle:            n.encodeBundle,
	})
}

// pushTable sends the table to peers immediately, without waiting for the next round.
func (n *Node) pushTable() {
	ctx, cancel := context.WithTimeout(context.Background(), slugpeer.DefaultInterval)
	defer cancel()
	n.Table.Push(ctx)
}

// configWait returns how long a watch call for the configuration may wait. The first
// configWatchers processes of each data centre poll at short intervals, so that all
// processes know whether their revision is the newest.
func (n *Node) configWait() time.Duration {
	var alive []slugname.Process
	self := n.Member.Self()
	for _, s := range n.Table.Statuses() {
		if r, ok := n.Member.Record(s.Process); ok && s.Alive && r.DataCentre == self.DataCentre {
			alive = append(alive, s.Process)
		}
	}
	if slugmember.Rank("config", self.Process, alive) < configWatchers {
		return watcherPollWait
	}
	return slugstore.DefaultWait
}

// encodeBundle returns the configuration for a peer, or nil if it cannot be encoded.
func (n *Node) encodeBundle() []byte {
	b, err := cbor.Marshal(n.Follower.Bundle())
	if err != nil {
		return nil
	}
	return b
}

// fetchBundle fetches a revision of the configuration from a peer.
func (n *Node) fetchBundle(ctx context.Context, r slugconfig.Revision) (slugheadfollower.Bundle, error) {
	var bundle slugheadfollower.Bundle
	b, _, err := n.Table.FetchBundle(ctx, r)
	if err != nil {
		return bundle, err
	}
	return bundle, cbor.Unmarshal(b, &bundle)
}

// Publish writes the membership record, retrying until the store accepts it, and starts
// the exchange with peers.
func (n *Node) Publish(ctx context.Context, g *errgroup.Group) error {
	for {
		err := n.Member.Publish(ctx)
		if err == nil {
			break
		}
		n.cfg.Log.Error(slugevent.StoreUnavailable, err, nil)
		if err := slugbackoff.Sleep(ctx, publishRetryInterval); err != nil {
			return err
		}
	}
	g.Go(func() error { return n.Member.Run(ctx) })
	g.Go(func() error { return n.Transport.Serve(ctx, n.Table.Serve) })
	g.Go(func() error { return n.Table.Run(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		n.client.CloseIdleConnections()
		return n.Transport.Close()
	})
	return nil
}

// Leave removes the membership record of this process.
func (n *Node) Leave(ctx context.Context) error { return n.Member.Withdraw(ctx) }
