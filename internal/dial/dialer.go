package dial

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/reach"
)

const (
	// hedgeDelay is how long a direct connection may take before one through a relay is opened as
	// well: many round trips between data centres, and short against the time that callers wait.
	hedgeDelay = 50 * time.Millisecond
	// slowDelay is how long it may take before other paths are checked.
	slowDelay = 200 * time.Millisecond
)

// errUnreached is returned for an endpoint that neither this instance nor a relay reaches.
var errUnreached = &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("no instance reaches the endpoint")}

// Setup holds the dependencies of a [Dialer].
type Setup struct {
	Self ident.Incarnation
	Zone string
	// Direct opens a connection without a relay.
	Direct Func
	// Link is nil for a standalone instance.
	Link *peer.Link
	// Endpoints returns the known endpoints, Relays the instances that may relay connections.
	Endpoints func() []proto.Endpoint
	Relays    func() []reach.Relay
	// MayRelay reports whether an endpoint may be connected for another instance; nil allows all.
	MayRelay func(ep proto.Endpoint) bool
	// MaySend is the last check right before something is sent to an endpoint for another instance, with the
	// endpoint's data centre; nil allows all.
	MaySend func(id ident.Process, zone string) bool
	// MayProbe reports whether an endpoint may be connected only to see whether it is reached; nil
	// allows all.
	MayProbe func(ep proto.Endpoint) bool
	// OnHealed is called when a path that had been blocked is open again; it may be nil.
	OnHealed func()
	Clock    clock.Clock
	Meter    *meter.Meter
	Log      zerolog.Logger
}

// Dialer opens connections to endpoints, directly or through another instance (package reach), and
// relays connections for other instances. It is created by [New] and safe for concurrent use.
type Dialer struct {
	set Setup

	mtx     sync.Mutex
	table   reach.Table
	relays  reach.Relays
	probing bool
	closed  bool
	// wasBlind is the state that was logged last.
	wasBlind bool

	checks  checks
	serving serving
}

// New returns a dialer that has met no failure.
func New(set Setup) *Dialer { return &Dialer{set: set} }

// SetKnown sets the number of addresses at which endpoints are known.
func (dlr *Dialer) SetKnown(addrs int) {
	dlr.mtx.Lock()
	defer dlr.mtx.Unlock()
	dlr.table.SetKnown(addrs)
}

// Blind reports whether other instances should take this one for partitioned from all endpoints, and whether
// it may relay connections all the same since it reaches endpoints again.
func (dlr *Dialer) Blind() (blind, recovering bool) {
	dlr.mtx.Lock()
	defer dlr.mtx.Unlock()
	return dlr.table.Advertised(dlr.set.Clock.Now())
}

// Watch connects to an endpoint now and then while no request does, until the context ends. Otherwise an
// instance without requests would not know that it is partitioned, and others would use it as a relay
// or a coordinator.
func (dlr *Dialer) Watch(ctx context.Context) {
	tkr := time.NewTicker(idleInterval.Duration())
	defer tkr.Stop()
	for dlr.set.Link != nil {
		select {
		case <-tkr.C:
			dlr.probeIdle()
		case <-ctx.Done():
			return
		}
	}
}

// probeIdle connects to an endpoint if none was connected lately.
func (dlr *Dialer) probeIdle() {
	dlr.mtx.Lock()
	idle := dlr.table.Idle(dlr.set.Clock.Now()) >= idleInterval
	dlr.mtx.Unlock()
	if addrs := dlr.sampleAddrs(""); idle && len(addrs) > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		dlr.probe(ctx, addrs[0])
	}
}

// Close ends the probing of blocked paths.
func (dlr *Dialer) Close() {
	dlr.mtx.Lock()
	defer dlr.mtx.Unlock()
	dlr.closed = true
}

// DialContext opens a connection to the endpoint at an address.
func (dlr *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	dlr.mtx.Lock()
	strategy := dlr.table.Strategy(addr, dlr.set.Clock.Now())
	dlr.mtx.Unlock()
	switch strategy {
	case reach.DirectOnly:
		return dlr.direct(ctx, network, addr)
	case reach.RelayFirst:
		return dlr.relayFirst(ctx, network, addr)
	}
	return dlr.directFirst(ctx, network, addr)
}

// relayFirst connects through a relay, and directly if no relay reaches the endpoint: the partition may
// have healed. While this instance is blind, it looks first whether it reaches any endpoint, which all
// connections do together: a path without answers would hold each of them.
func (dlr *Dialer) relayFirst(ctx context.Context, network, addr string) (net.Conn, error) {
	con, err := dlr.relayed(ctx, addr)
	if err == nil || ctx.Err() != nil {
		return con, err
	}
	dlr.mtx.Lock()
	blind := dlr.table.Blind()
	dlr.mtx.Unlock()
	if blind {
		if reaches, _ := dlr.reachesOthers(""); !reaches {
			return nil, errUnreached
		}
	}
	return dlr.direct(ctx, network, addr)
}

// attempt is the outcome of one of the paths of a connection.
type attempt struct {
	path reach.Path
	con  net.Conn
	err  error
}

// directFirst connects directly, and through a relay if that fails or takes longer than hedgeDelay.
// The first connection is used and the other one closed: neither has carried any bytes.
func (dlr *Dialer) directFirst(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan attempt, len(reach.Paths()))
	go func() {
		con, err := dlr.direct(ctx, network, addr)
		ended <- attempt{path: reach.Direct, con: con, err: err}
	}()
	pending, relaying := 1, false
	var failed error
	relay := func() {
		if relaying {
			return
		}
		relaying = true
		pending++
		go func() {
			con, err := dlr.relayed(ctx, addr)
			ended <- attempt{path: reach.Relayed, con: con, err: err}
		}()
	}
	hedge, slow := time.NewTimer(hedgeDelay), time.NewTimer(slowDelay)
	defer hedge.Stop()
	defer slow.Stop()
	for pending > 0 {
		select {
		case <-hedge.C:
			relay()
		case <-slow.C:
			dlr.checkPaths(addr)
		case att := <-ended:
			pending--
			if att.err == nil {
				if att.path == reach.Relayed && failed == nil {
					dlr.recordDirect(addr, reach.Unanswered)
				}
				go discard(ended, pending, cancel)
				return att.con, nil
			}
			if att.path == reach.Direct {
				failed = att.err
				relay()
			}
		}
	}
	cancel()
	return nil, failed
}

// discard cancels the attempts that are still pending and closes their connections.
func discard(ended <-chan attempt, pending int, cancel func()) {
	cancel()
	for range pending {
		if att := <-ended; att.con != nil {
			_ = att.con.Close()
		}
	}
}

// direct connects without a relay.
func (dlr *Dialer) direct(ctx context.Context, network, addr string) (net.Conn, error) {
	con, err := dlr.set.Direct(ctx, network, addr)
	dlr.recordDirect(addr, ResultOf(err))
	return con, err
}

func (dlr *Dialer) recordDirect(addr string, res reach.Result) {
	dlr.set.Meter.CountDial(reach.Direct, res)
	now := dlr.set.Clock.Now()
	dlr.mtx.Lock()
	healed := dlr.table.RecordDirect(addr, res, now)
	dlr.mtx.Unlock()
	dlr.logBlind()
	if healed && dlr.set.OnHealed != nil {
		dlr.set.OnHealed()
	}
	if res != reach.Connected && res != reach.Canceled {
		dlr.checkPaths(addr)
	}
	dlr.startProbing()
}

// checkPaths connects to other endpoints after one could not be reached in time, unless this was done
// a moment ago: whether this instance is blind should be known before the next requests.
func (dlr *Dialer) checkPaths(addr string) {
	dlr.mtx.Lock()
	due := dlr.table.CheckDue(dlr.set.Clock.Now())
	dlr.mtx.Unlock()
	if due {
		go dlr.reachesOthers(addr)
	}
}

// logBlind logs whether this instance has become blind, or has ceased to be.
func (dlr *Dialer) logBlind() {
	dlr.mtx.Lock()
	blind := dlr.table.Blind()
	changed := blind != dlr.wasBlind
	dlr.wasBlind = blind
	severed := dlr.table.Severed()
	dlr.mtx.Unlock()
	dlr.set.Meter.SetGauge(meter.GaugeSevered, float64(severed))
	if !changed {
		return
	}
	value := 0.0
	if blind {
		value = 1
	}
	dlr.set.Meter.SetGauge(meter.GaugeBlind, value)
	dlr.set.Log.Warn().Bool("blind", blind).Int("severed", severed).Msg("whether any endpoint is reached directly has changed")
}

// endpointAt returns the endpoint at an address.
func (dlr *Dialer) endpointAt(addr string) (proto.Endpoint, bool) {
	for _, ep := range dlr.set.Endpoints() {
		if ep.Addr == addr {
			return ep, true
		}
	}
	return proto.Endpoint{}, false
}

// chooseRelays returns the relays to try for an endpoint, in order.
func (dlr *Dialer) chooseRelays(zone string) []reach.Relay {
	if dlr.set.Link == nil {
		return nil
	}
	cands := dlr.set.Relays()
	dlr.mtx.Lock()
	defer dlr.mtx.Unlock()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return dlr.relays.Choose(dlr.set.Self, cands, []string{dlr.set.Zone, zone}, rng, dlr.set.Clock.Now())
}
