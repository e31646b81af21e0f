// Package slugworld joins a process to the system: the store's client, its own
// record, the exchange with peers and the configuration in force. Both daemons
// begin with it.
//
// # Usage
//
//	n, err := slugworld.New(slugworld.Config{Settings: s, Kind: slugmember.KindGate, Log: log})
//	err = n.Publish(ctx, group)
package slugworld

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
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/base/slugstore"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugfollow"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugmember"
	"github.com/sassafraslug/sassafraslug/internal/membership/slugpeer"
	"github.com/sassafraslug/sassafraslug/internal/version/slugconfig"
	"golang.org/x/sync/errgroup"
)

const (
	// configWatchers is the number of processes in a data centre that ask the store for
	// the newest configuration often; the others learn from them.
	configWatchers = 3
	// watcherPollWait is how long a watch call of a watcher may wait.
	watcherPollWait = 1500 * time.Millisecond
	// storeConnections bounds the connections to the platform.
	storeConnections = 16
	// publishRetryInterval is the time between tries to publish this process.
	publishRetryInterval = time.Second
	// processIDBytes is the length of the random part of a process's name.
	processIDBytes = 4
)

// Config makes a World.
type Config struct {
	Settings         *slugsettings.Settings
	Kind             slugmember.Kind
	CallersAddress   string
	OperatorsAddress string
	Log              *slugevent.Log
	Network          *slugnetwork.Network
	// Metrics takes the counts of store calls.
	Metrics *expvar.Map
	// PeerRowChanged is called with each row of a peer that is new or changed.
	PeerRowChanged func(slugpeer.Row)
}

// Node is a process's part in the system.
type Node struct {
	cfg      Config
	client   *http.Client
	Store    *slugstore.Store
	Link     slugpeer.Carrier
	Member   *slugmember.Member
	Table    *slugpeer.Table
	Follower *slugfollow.Follower
}

// New joins the parts. It listens for peers and sends nothing.
func New(cfg Config) (*Node, error) {
	n := &Node{cfg: cfg}
	n.Store = n.newStore()
	link, err := cfg.Network.Peers(cfg.Settings.PeersListen, cfg.Log)
	if err != nil {
		return nil, err
	}
	n.Link = link
	n.Member = slugmember.New(slugmember.Config{Self: n.newRecord(), Store: n.Store.For("members")})
	link.SetLookup(n.Member.ByCertificate)
	n.Follower = n.newFollower()
	n.Table = n.newTable()
	return n, nil
}

func (n *Node) newStore() *slugstore.Store {
	counts := new(expvar.Map).Init()
	if n.cfg.Metrics != nil {
		n.cfg.Metrics.Set("storeCalls", counts)
	}
	n.client = &http.Client{Transport: &http.Transport{
		DialContext:         n.cfg.Network.Dial,
		MaxIdleConnsPerHost: storeConnections,
	}}
	return slugstore.New(slugstore.Config{BaseURL: n.cfg.Settings.PlatformAddress, Do: n.client.Do, Counts: counts})
}

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
		PeerAddress:      Advertised(s.PeersAdvertise, n.Link.Address),
		CallersAddress:   n.cfg.CallersAddress,
		OperatorsAddress: n.cfg.OperatorsAddress,
		CertificateHash:  n.Link.Hash,
		StartedAtMs:      time.Now().UnixMilli(),
	}
}

// Advertised returns the address that others are told: the wanted one, with the
// port that is listened on when none was set.
func Advertised(wanted, listening string) string {
	_, port, err := net.SplitHostPort(wanted)
	if err != nil || port == "0" {
		return listening
	}
	return wanted
}

func (n *Node) newFollower() *slugfollow.Follower {
	return slugfollow.New(slugfollow.Config{
		Store: n.Store.For("config"), Log: n.cfg.Log, Wait: n.configWait,
		FromPeer:     n.fetchBundle,
		StoreAnswers: func(ok bool) { n.Table.Update(func(r *slugpeer.Row) { r.StoreLost = !ok }) },
		InForce: func(s *slugconfig.Snapshot) {
			n.Table.Update(func(r *slugpeer.Row) { r.Revision = s.Revision })
			go n.pushTable()
		},
	})
}

func (n *Node) newTable() *slugpeer.Table {
	return slugpeer.New(slugpeer.Config{
		Self: n.Member.Self(), Call: n.Link.Call, Peers: n.Member.Records,
		Word: func() slugclock.Instant {
			word, _ := n.Follower.Word()
			return word
		},
		Heard:     n.cfg.PeerRowChanged,
		HeardWord: n.Follower.Heard,
		Bundle:    n.encodeBundle,
	})
}

// pushTable tells peers of a new revision.
func (n *Node) pushTable() {
	ctx, cancel := context.WithTimeout(context.Background(), slugpeer.Round)
	defer cancel()
	n.Table.Push(ctx)
}

// configWait returns how long a watch of the configuration may configWait. A few processes of
// each data centre ask often, so that all know that their revision is the newest.
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

func (n *Node) encodeBundle() []byte {
	b, err := cbor.Marshal(n.Follower.Bundle())
	if err != nil {
		return nil
	}
	return b
}

func (n *Node) fetchBundle(ctx context.Context, r slugconfig.Revision) (slugfollow.Bundle, error) {
	var bundle slugfollow.Bundle
	b, err := n.Table.FetchBundle(ctx, r)
	if err != nil {
		return bundle, err
	}
	return bundle, cbor.Unmarshal(b, &bundle)
}

// Publish writes this process's record and begins to exchange with peers. It
// waits until the store takes the record.
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
	g.Go(func() error { return n.Link.Serve(ctx, n.Table.Serve) })
	g.Go(func() error { return n.Table.Run(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		n.client.CloseIdleConnections()
		return n.Link.Close()
	})
	return nil
}

// Leave withdraws this process's record.
func (n *Node) Leave(ctx context.Context) error { return n.Member.Withdraw(ctx) }
