package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"golang.org/x/net/netutil"

	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/contr"
	"amaranthvalve/internal/filter"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/platf"
	"amaranthvalve/internal/serve"
	"amaranthvalve/internal/stage"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// Error is the class of errors that prevent an instance from starting.
var Error = errs.Class("instance")

const (
	// opsMaxConns is the maximum number of connections to the operators' interface.
	opsMaxConns = 256
	// flushTimeout is the time-out for flushing records to the log at shutdown.
	flushTimeout = 10 * time.Second
)

// Node is an instance of the gateway.
type Node struct {
	set       *conf.Settings
	clk       clock.Clock
	log       zerolog.Logger
	mtr       *meter.Meter
	ctl       *contr.Control
	rnr       *stage.Runner
	chn       *filter.Chain
	link      *peer.Link
	callerSrv *serve.DrainServer
	opsSrv    *http.Server
	callerLsn net.Listener
	opsLsn    net.Listener

	// warnLimits has a rate limiter of log lines for each reason of refusal.
	warnLimits sync.Map
	cancel     context.CancelFunc
	loopDone   chan struct{}
}

// Keys returns the TLS configurations for connections between instances.
type Keys func() (server, client *tls.Config, err error)

// FileKeys returns Keys that reads the certificate and key files named in the settings.
func FileKeys(set *conf.Settings) Keys {
	return func() (*tls.Config, *tls.Config, error) { return peer.TLSConfigs(set.TLS()) }
}

// New creates an instance and opens its listeners. It serves from Start on.
func New(set *conf.Settings, keys Keys, log zerolog.Logger) (*Node, error) {
	nod := &Node{set: set, log: log, mtr: meter.New(), loopDone: make(chan struct{})}
	var err error
	if nod.callerLsn, err = net.Listen("tcp", set.CallerAddr()); err != nil {
		return nil, Error.Wrap(err)
	}
	if nod.opsLsn, err = net.Listen("tcp", set.OpsAddr()); err != nil {
		return nil, Error.Wrap(err)
	}
	nod.opsLsn = netutil.LimitListener(nod.opsLsn, opsMaxConns)
	if err := nod.open(keys); err != nil {
		return nil, err
	}
	return nod, nil
}

// open creates the components. The link must listen before the incarnation is
// built, since the operating system may choose its port.
func (nod *Node) open(keys Keys) error {
	addr := nod.callerLsn.Addr().String()
	if nod.set.PeerAddr() != "" {
		server, client, err := keys()
		if err != nil {
			return Error.Wrap(err)
		}
		nod.link, err = peer.Listen(nod.set.PeerAddr(), server, client, func(ctx context.Context, msg peer.Message) peer.Message {
			return nod.ctl.Handle(ctx, msg)
		})
		if err != nil {
			return Error.Wrap(err)
		}
		nod.link.OnRefused = func(err error) {
			nod.mtr.CountEvent(meter.EventPeerRefused)
			nod.log.Warn().Err(err).Msg("peer connection refused")
		}
		addr = nod.link.Addr()
		if nod.set.PeerAdvertise() != nod.set.PeerAddr() {
			addr = nod.set.PeerAdvertise()
		}
	}
	nod.rnr = stage.New(nod.clk, nod.set.Zone(), nod.mtr, func(pool, id string) { nod.ctl.ReportLeaving(pool, id) })
	nod.rnr.OnUnbounded(func(addr string, err error) {
		nod.mtr.CountEvent(meter.EventUnbounded)
		nod.log.Warn().Err(err).Str("addr", addr).Msg("answer of endpoint exceeds a bound")
	})
	nod.ctl = contr.New(contr.Setup{
		Self: ident.NewIncarnation(addr), Zone: nod.set.Zone(), CallerAddr: nod.callerLsn.Addr().String(),
		Peers: nod.set.Peers(), MaxLogAge: nod.set.MaxLogAge(), LogRetention: nod.set.LogRetention(), Clock: nod.clk,
		Platform: platf.New(nod.set.Platform()), Runner: nod.rnr, Meter: nod.mtr, Log: nod.log, Link: nod.link,
	})
	nod.chn = filter.New(filter.Setup{
		Control: nod.ctl, Runner: nod.rnr, Clock: nod.clk, Meter: nod.mtr,
		ResumeKey: nod.set.ResumeKey(), MaxInFlight: nod.set.MaxInFlight(),
	})
	nod.ctl.SetRates(nod.chn.Rates)
	return nod.serveHTTP()
}

func (nod *Node) serveHTTP() error {
	callers, err := serve.NewRouter(nod.callerRoutes())
	if err != nil {
		return Error.Wrap(err)
	}
	ops, err := serve.NewRouter(nod.opsRoutes())
	if err != nil {
		return Error.Wrap(err)
	}
	nod.callerSrv, nod.opsSrv = serve.NewDrainServer(callers, nod.callerLsn, nod.set.MaxConnections()), serve.NewPlain(ops)
	return nil
}

// CallerAddr returns the listen address of the callers' interface.
func (nod *Node) CallerAddr() string { return nod.callerLsn.Addr().String() }

// OpsAddr returns the listen address of the operators' interface.
func (nod *Node) OpsAddr() string { return nod.opsLsn.Addr().String() }

// Control returns the instance's control state.
func (nod *Node) Control() *contr.Control { return nod.ctl }

// Start begins to serve; the instance serves until Stop or Kill.
func (nod *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	nod.cancel = cancel
	if nod.link != nil {
		go nod.link.Serve(ctx)
	}
	go nod.rnr.Tick(ctx)
	go func() {
		nod.ctl.Run(ctx)
		close(nod.loopDone)
	}()
	go nod.callerSrv.Serve()
	go func() { _ = nod.opsSrv.Serve(nod.opsLsn) }()
	nod.log.Info().Str("instance", string(nod.ctl.Self())).Str("callers", nod.CallerAddr()).Str("operators", nod.OpsAddr()).Msg("started")
}

// Stop shuts the instance down without interrupting requests: it removes the
// instance from the lists of addresses, serves until cached lists have expired,
// finishes the requests in flight and flushes the log. It returns when that is
// done or the context ends.
func (nod *Node) Stop(ctx context.Context) {
	ttl := nod.set.EntryTTL()
	nod.log.Info().Int64("keep_ms", int64(ttl)).Msg("draining; serving until cached addresses have expired")
	nod.ctl.Leave(ctx)
	select {
	case <-time.After(ttl.Duration()):
	case <-ctx.Done():
	}
	nod.ctl.RefuseNewWork()
	nod.log.Info().Msg("refusing new requests, finishing requests in flight")
	// Shutdown waits for requests in flight, including streams, and closes
	// idle connections.
	nod.callerSrv.Shutdown(ctx)
	fctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	nod.ctl.Flush(fctx)
	nod.Kill()
	nod.log.Info().Msg("stopped")
}

// Kill stops the instance at once, as in a crash.
func (nod *Node) Kill() {
	nod.callerSrv.Close()
	_ = nod.opsSrv.Close()
	if nod.cancel != nil {
		nod.cancel()
		<-nod.loopDone
	}
}
