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

// Error is the class of errors that keep an instance from starting.
var Error = errs.Class("instance")

// Bounds of the HTTP interfaces.
const (
	opsMaxConns = 256
	// flushWait bounds the wait for the log at the end of a stop.
	flushWait = 10 * time.Second
)

// Node is one instance.
type Node struct {
	set    *conf.Settings
	clk    clock.Clock
	log    zerolog.Logger
	mtr    *meter.Meter
	ctl    *contr.Control
	rnr    *stage.Runner
	chn    *filter.Chain
	link   *peer.Link
	caller *serve.DrainServer
	ops    *http.Server
	calls  net.Listener
	opers  net.Listener

	// lines bounds the log lines of each reason.
	lines  sync.Map
	cancel context.CancelFunc
	ended  chan struct{}
}

// Keys gives the TLS settings of the link between instances.
type Keys func() (server, client *tls.Config, err error)

// FileKeys reads the keys from the files that the settings name.
func FileKeys(set *conf.Settings) Keys {
	return func() (*tls.Config, *tls.Config, error) { return peer.TLSConfigs(set.TLS()) }
}

// New opens the sockets of an instance. Nothing is served before Start.
func New(set *conf.Settings, keys Keys, log zerolog.Logger) (*Node, error) {
	nod := &Node{set: set, log: log, mtr: meter.New(), ended: make(chan struct{})}
	var err error
	if nod.calls, err = net.Listen("tcp", set.CallerAddr()); err != nil {
		return nil, Error.Wrap(err)
	}
	if nod.opers, err = net.Listen("tcp", set.OpsAddr()); err != nil {
		return nil, Error.Wrap(err)
	}
	nod.opers = netutil.LimitListener(nod.opers, opsMaxConns)
	if err := nod.open(keys); err != nil {
		return nil, err
	}
	return nod, nil
}

// open makes the parts. The link must listen before the incarnation is known,
// for its port may be chosen by the machine.
func (nod *Node) open(keys Keys) error {
	addr := nod.calls.Addr().String()
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
			nod.log.Warn().Err(err).Msg("a peer was refused")
		}
		addr = nod.link.Addr()
		if nod.set.PeerAdvertise() != nod.set.PeerAddr() {
			addr = nod.set.PeerAdvertise()
		}
	}
	nod.rnr = stage.New(nod.clk, nod.set.Zone(), nod.mtr, func(pool, id string) { nod.ctl.Left(pool, id) })
	nod.ctl = contr.New(contr.Setup{
		Self: ident.NewIncarnation(addr), Zone: nod.set.Zone(), CallerAddr: nod.calls.Addr().String(),
		Peers: nod.set.Peers(), Fresh: nod.set.MaxLogAge(), LogRetention: nod.set.LogRetention(), Clock: nod.clk,
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
	nod.caller, nod.ops = serve.NewDrainServer(callers, nod.calls, nod.set.MaxConnections()), serve.NewPlain(ops)
	return nil
}

// CallerAddr gives the address on which callers are served.
func (nod *Node) CallerAddr() string { return nod.calls.Addr().String() }

// OpsAddr gives the address of the operators' interface.
func (nod *Node) OpsAddr() string { return nod.opers.Addr().String() }

// Control gives the instance's control state.
func (nod *Node) Control() *contr.Control { return nod.ctl }

// Start serves until Stop or Kill.
func (nod *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	nod.cancel = cancel
	if nod.link != nil {
		go nod.link.Serve(ctx)
	}
	go nod.rnr.Tick(ctx)
	go func() {
		nod.ctl.Run(ctx)
		close(nod.ended)
	}()
	go nod.caller.Serve()
	go func() { _ = nod.ops.Serve(nod.opers) }()
	nod.log.Info().Str("instance", string(nod.ctl.Self())).Str("callers", nod.CallerAddr()).Str("operators", nod.OpsAddr()).Msg("started")
}

// Stop is a planned stop. It cuts off no request: the instance leaves the
// answers to "which address", serves until kept answers have run out, finishes
// what is under way, and ends. It returns when all is done or the context ends.
func (nod *Node) Stop(ctx context.Context) {
	keep := nod.set.EntryTTL()
	nod.log.Info().Int64("keep_ms", int64(keep)).Msg("leaving; serving until kept addresses have run out")
	nod.ctl.Leave(ctx)
	select {
	case <-time.After(keep.Duration()):
	case <-ctx.Done():
	}
	nod.ctl.Refuse()
	nod.log.Info().Msg("refusing new requests, finishing what is under way")
	// Shutdown waits for requests under way, streams included, and closes
	// idle connections.
	nod.caller.Shutdown(ctx)
	fctx, cancel := context.WithTimeout(ctx, flushWait)
	defer cancel()
	nod.ctl.Flush(fctx)
	nod.Kill()
	nod.log.Info().Msg("stopped")
}

// Kill ends the instance at once, as a crash would.
func (nod *Node) Kill() {
	nod.caller.Close()
	_ = nod.ops.Close()
	if nod.cancel != nil {
		nod.cancel()
		<-nod.ended
	}
}
