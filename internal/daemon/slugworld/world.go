// Package slugworld joins a process to the system: the store's client, its own
// record, the exchange with peers and the configuration in force. Both daemons
// begin with it.
//
// # Usage
//
//	w, err := slugworld.New(slugworld.Config{Settings: s, Kind: slugmember.KindGate, Log: log})
//	err = w.Publish(ctx, group)
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
	// watchers is the number of processes in a data centre that ask the store for
	// the newest configuration often; the others learn from them.
	watchers = 3
	// nearWait is how long a watch call of a watcher may wait.
	nearWait = 1500 * time.Millisecond
	// storeConnections bounds the connections to the platform.
	storeConnections = 16
	// publishRetry is the time between tries to publish this process.
	publishRetry = time.Second
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
	// Heard is called with each row of a peer that is new or changed.
	Heard func(slugpeer.Row)
}

// World is a process's part in the system.
type World struct {
	cfg      Config
	client   *http.Client
	Store    *slugstore.Store
	Link     slugpeer.Carrier
	Member   *slugmember.Member
	Table    *slugpeer.Table
	Follower *slugfollow.Follower
}

// New joins the parts. It listens for peers and sends nothing.
func New(cfg Config) (*World, error) {
	w := &World{cfg: cfg}
	w.Store = w.newStore()
	link, err := cfg.Network.Peers(cfg.Settings.PeersListen, cfg.Log)
	if err != nil {
		return nil, err
	}
	w.Link = link
	w.Member = slugmember.New(slugmember.Config{Self: w.record(), Store: w.Store.For("members")})
	link.SetLookup(w.Member.ByCertificate)
	w.Follower = w.newFollower()
	w.Table = w.newTable()
	return w, nil
}

func (w *World) newStore() *slugstore.Store {
	counts := new(expvar.Map).Init()
	if w.cfg.Metrics != nil {
		w.cfg.Metrics.Set("storeCalls", counts)
	}
	w.client = &http.Client{Transport: &http.Transport{
		DialContext:         w.cfg.Network.Dial,
		MaxIdleConnsPerHost: storeConnections,
	}}
	return slugstore.New(slugstore.Config{BaseURL: w.cfg.Settings.PlatformAddress, Do: w.client.Do, Counts: counts})
}

func (w *World) record() slugmember.Record {
	s := w.cfg.Settings
	id := make([]byte, processIDBytes)
	_, _ = rand.Read(id)
	return slugmember.Record{
		Process:          slugname.Process(string(s.Host) + "-" + string(w.cfg.Kind) + "-" + hex.EncodeToString(id)),
		Kind:             w.cfg.Kind,
		Host:             s.Host,
		DataCentre:       s.DataCentre,
		Region:           s.Region,
		PeerAddress:      Advertised(s.PeersAdvertise, w.Link.Address),
		CallersAddress:   w.cfg.CallersAddress,
		OperatorsAddress: w.cfg.OperatorsAddress,
		CertificateHash:  w.Link.Hash,
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

func (w *World) newFollower() *slugfollow.Follower {
	return slugfollow.New(slugfollow.Config{
		Store: w.Store.For("config"), Log: w.cfg.Log, Wait: w.wait,
		FromPeer:     w.fetchBundle,
		StoreAnswers: func(ok bool) { w.Table.Update(func(r *slugpeer.Row) { r.StoreLost = !ok }) },
		InForce: func(s *slugconfig.Snapshot) {
			w.Table.Update(func(r *slugpeer.Row) { r.Revision = s.Revision })
			go w.pushSoon()
		},
	})
}

func (w *World) newTable() *slugpeer.Table {
	return slugpeer.New(slugpeer.Config{
		Self: w.Member.Self(), Call: w.Link.Call, Peers: w.Member.Records,
		Word: func() slugclock.Instant {
			word, _ := w.Follower.Word()
			return word
		},
		Heard:     w.cfg.Heard,
		HeardWord: w.Follower.Heard,
		Bundle:    w.encodeBundle,
	})
}

// pushSoon tells peers of a new revision.
func (w *World) pushSoon() {
	ctx, cancel := context.WithTimeout(context.Background(), slugpeer.Round)
	defer cancel()
	w.Table.Push(ctx)
}

// wait returns how long a watch of the configuration may wait. A few processes of
// each data centre ask often, so that all know that their revision is the newest.
func (w *World) wait() time.Duration {
	var alive []slugname.Process
	self := w.Member.Self()
	for _, s := range w.Table.Statuses() {
		if r, ok := w.Member.Record(s.Process); ok && s.Alive && r.DataCentre == self.DataCentre {
			alive = append(alive, s.Process)
		}
	}
	if slugmember.Rank("config", self.Process, alive) < watchers {
		return nearWait
	}
	return slugstore.DefaultWait
}

func (w *World) encodeBundle() []byte {
	b, err := cbor.Marshal(w.Follower.Bundle())
	if err != nil {
		return nil
	}
	return b
}

func (w *World) fetchBundle(ctx context.Context, r slugconfig.Revision) (slugfollow.Bundle, error) {
	var bundle slugfollow.Bundle
	b, err := w.Table.FetchBundle(ctx, r)
	if err != nil {
		return bundle, err
	}
	return bundle, cbor.Unmarshal(b, &bundle)
}

// Publish writes this process's record and begins to exchange with peers. It
// waits until the store takes the record.
func (w *World) Publish(ctx context.Context, g *errgroup.Group) error {
	for {
		err := w.Member.Publish(ctx)
		if err == nil {
			break
		}
		w.cfg.Log.Error(slugevent.StoreUnavailable, err, nil)
		if err := slugbackoff.Sleep(ctx, publishRetry); err != nil {
			return err
		}
	}
	g.Go(func() error { return w.Member.Run(ctx) })
	g.Go(func() error { return w.Link.Serve(ctx, w.Table.Serve) })
	g.Go(func() error { return w.Table.Run(ctx) })
	g.Go(func() error {
		<-ctx.Done()
		w.client.CloseIdleConnections()
		return w.Link.Close()
	})
	return nil
}

// Leave withdraws this process's record.
func (w *World) Leave(ctx context.Context) error { return w.Member.Withdraw(ctx) }
