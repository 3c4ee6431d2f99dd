// Package node is an instance that serves routes in a dialect: its parts, its
// sockets, its start and its planned stop.
package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"github.com/zeromicro/go-zero/rest"

	"amaranthvalve/internal/batch"
	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/front"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/pools"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/relay"
	"amaranthvalve/internal/serve"
	"amaranthvalve/internal/state"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/place"
)

// Error is the class of errors that keep an instance from starting.
var Error = errs.Class("instance")

const (
	// tokensShare is the part of the time that tokens may be honoured which is
	// used: the rest covers a request's way to its endpoint.
	tokensShare = 0.9
	// keptIdle is how long a connection for calls that may be repeated is kept
	// idle: endpoints close theirs after a few seconds.
	keptIdle = 1500 * time.Millisecond
	// keptTimes is how many times as long as they are told some callers keep an
	// address.
	keptTimes = 3
	// stopMargin is left of a planned stop for the last answers and for what comes after them.
	stopMargin = 300 * clock.Milli(1)
	// stopSettle is how long requests that cross the end of kept answers are
	// still answered.
	stopSettle = clock.Second
	// stopStep is how often a planned stop looks at what is under way.
	stopStep = 50 * time.Millisecond
	// stopLast is how long a planned stop waits for what was sent last.
	stopLast = 50 * clock.Milli(1)
)

// Node is an instance that serves routes, spoken to in a dialect.
type Node struct {
	set   *conf.Settings
	clk   clock.Clock
	log   zerolog.Logger
	mtr   *meter.Meter
	ctl   *state.Control
	front *front.Front
	pools *pools.Pools
	homes *coord.Coordinator
	link  *peer.Link

	calls  *serve.Server
	others []*http.Server
	lsns   []net.Listener
	cancel context.CancelFunc
	ended  chan struct{}
	// keep is how long callers may keep an address, in milliseconds; longer is the instant up
	// to which callers may go by a longer time that they were told before.
	keep   atomic.Int64
	longer atomic.Int64
}

// New opens the sockets of an instance that speaks a dialect. Nothing is
// served before Start.
func New(set *conf.Settings, dia *proto.Dialect, log zerolog.Logger) (*Node, error) {
	nod := &Node{set: set, log: log, mtr: meter.New(), ended: make(chan struct{})}
	nod.keep.Store(int64(set.EntryTTL()))
	calls, err := net.Listen("tcp", set.CallerAddr())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if set.PeerAddr() != "" {
		if err := nod.openLink(); err != nil {
			return nil, err
		}
	}
	nod.open(dia)
	nod.calls = serve.New(calls, nod.front)
	return nod, nod.openOthers(dia)
}

func (nod *Node) openLink() error {
	server, client, err := peer.EphemeralTLS()
	if err != nil {
		return Error.Wrap(err)
	}
	nod.link, err = peer.Listen(nod.set.PeerAddr(), server, client, func(ctx context.Context, msg peer.Message) peer.Message {
		switch msg.Kind {
		case peer.ReleaseResults:
			return nod.homes.HandleRelease(msg)
		case peer.GetWait:
			return nod.homes.HandleWaitQuery(msg)
		case peer.PlacePrompt:
			return nod.homes.HandlePlace(msg)
		case peer.ReportPlaced:
			return nod.homes.HandleReports(msg)
		case peer.GetPermit:
			return nod.homes.HandlePermit(msg)
		}
		return nod.ctl.Handle(ctx, msg)
	})
	if err != nil {
		return Error.Wrap(err)
	}
	nod.link.HandleLong = func(ctx context.Context, msg peer.Message) peer.Message {
		if msg.Kind == peer.PollUpdate {
			return nod.ctl.ServeFollower(ctx, msg)
		}
		return nod.homes.HandleOrder(ctx, msg)
	}
	nod.link.OnRefused = func(err error) {
		nod.mtr.CountEvent(meter.EventPeerRefused)
		nod.log.Warn().Err(err).Msg("a peer was refused")
	}
	return nil
}

// open makes the parts.
func (nod *Node) open(dia *proto.Dialect) {
	self := nod.set.PeerAdvertise()
	if self == "" {
		self = nod.set.CallerAddr()
	}
	inc := ident.NewIncarnation(self)
	nod.log = nod.log.With().Str("instance", string(inc)).Logger()
	heard := func(addr string, res *http.Response, ago time.Duration) {
		nod.ctl.RecordReply(addr, dia.Reply(res), nod.clk.Now()-clock.FromDuration(ago))
	}
	kept := relay.PooledClient(keptIdle, heard)
	share, most, window := nod.set.RetryBudget()
	desk := batch.New(batch.Setup{
		Dialect: dia, Client: kept, Clock: nod.clk, Meter: nod.mtr, Log: nod.log, Share: share, Reserve: most, Window: window,
		OnMisdirected:   func(id ident.Process, why string) { nod.ctl.EndpointLeaving(id, why) },
		ProcessEnded:    relay.ProcessEnded,
		RateShare:       func(pool string) float64 { return nod.homes.RateShare(pool) },
		OnInputsFetched: func(lots []batch.ResultSet) { nod.homes.ReleaseAll(lots) },
	})
	pls := pools.New(pools.Setup{Clock: nod.clk, Zone: nod.set.Zone(), RetryShare: share, RetryReserve: most})
	nod.pools = pls
	nod.ctl = state.New(state.Setup{
		Self: inc, Zone: nod.set.Zone(), Caller: nod.set.CallerAddr(), Seeds: nod.set.Peers(), Capacity: nod.set.Capacity(),
		Clock: nod.clk, Store: dia.Store(nod.set.StoreAddr(), relay.PooledClient(keptIdle, nil)), Meter: nod.mtr, Log: nod.log,
		Dialect: dia, Link: nod.link, TokenMaxViewAge: nod.set.TokenMaxViewAge(),
		OnChange: func(vw *state.View) {
			desk.Sync(vw.Plan(), vw.Endpoints(), vw.Rates())
			pls.Sync(vw)
			if pln := vw.Plan(); pln != nil {
				nod.calls.SetLimits(serve.Limits{HeaderTimeout: pln.Limits().HeaderTime, IdleTimeout: pln.Limits().IdleTime})
			}
		},
	})
	nod.homes = coord.New(coord.Setup{Control: nod.ctl, Batcher: desk, Pools: pls, Link: nod.link, Clock: nod.clk, Log: nod.log, CachedParts: asksHeld(dia, kept)})
	nod.front = front.New(front.Setup{
		Control: nod.ctl, Dialect: dia, Relay: relay.New(dia, heard), Pools: pls, Coordinator: nod.homes, Clock: nod.clk,
		Meter: nod.mtr, Log: nod.log,
		TokensFor: clock.Milli(tokensShare * float64(nod.set.TokenMaxViewAge())),
	})
}

// asksHeld gives what asks model engines which parts of prompts they hold, nil in a dialect
// without such a question.
func asksHeld(dia *proto.Dialect, cli *http.Client) func(ctx context.Context, ep proto.Endpoint) ([]place.Part, error) {
	if dia.CachedParts == nil {
		return nil
	}
	return func(ctx context.Context, ep proto.Endpoint) ([]place.Part, error) {
		return dia.CachedParts(ctx, cli, ep)
	}
}

// openOthers opens what is asked by others than callers.
func (nod *Node) openOthers(dia *proto.Dialect) error {
	byAddr := map[string][]rest.Route{}
	add := func(addr, path string, handler http.HandlerFunc) {
		if addr != "" {
			byAddr[addr] = append(byAddr[addr], rest.Route{Method: http.MethodGet, Path: path, Handler: handler})
		}
	}
	add(nod.set.EntriesAddr(), dia.EntriesPath, nod.entries(dia))
	add(nod.set.ReadyAddr(), dia.ReadyPath, nod.ready)
	add(nod.set.MetricsAddr(), "/metrics", nod.mtr.Handler().ServeHTTP)
	add(nod.set.MetricsAddr(), wire.StatusPath, nod.showStatus)
	for addr, routes := range byAddr {
		handler, err := serve.NewRouter(routes)
		if err != nil {
			return Error.Wrap(err)
		}
		lsn, err := net.Listen("tcp", addr)
		if err != nil {
			return Error.Wrap(err)
		}
		nod.others, nod.lsns = append(nod.others, serve.NewPlain(handler)), append(nod.lsns, lsn)
	}
	return nil
}

// ready answers whether callers should be sent here.
func (nod *Node) ready(wrt http.ResponseWriter, _ *http.Request) {
	if nod.ctl.View().Ready(nod.clk.Now()) {
		wrt.WriteHeader(http.StatusOK)
		return
	}
	wrt.WriteHeader(http.StatusServiceUnavailable)
}

// entries answers "which address": all instances that take callers. An instance
// that isn't ready names nobody: it may be the one that is cut off.
func (nod *Node) entries(dia *proto.Dialect) http.HandlerFunc {
	return func(wrt http.ResponseWriter, _ *http.Request) {
		vw := nod.ctl.View()
		if !vw.Ready(nod.clk.Now()) {
			wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "this instance is not ready"})
			return
		}
		var addrs []string
		named := map[string]bool{}
		for _, mbr := range vw.Members() {
			takes := mbr.ID() == nod.ctl.Self() || mbr.Status() == member.Alive && !mbr.Stale()
			// A process that ended and the one after it may both be members for a moment.
			if takes && !named[mbr.Caller()] {
				named[mbr.Caller()] = true
				addrs = append(addrs, mbr.Caller())
			}
		}
		wire.WriteJSON(wrt, http.StatusOK, dia.Entries(addrs, clock.Milli(nod.keep.Load())))
	}
}

// Start serves until Stop or Kill.
func (nod *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	nod.cancel = cancel
	if nod.link != nil {
		go nod.link.Serve(ctx)
	}
	go func() {
		nod.ctl.Run(ctx)
		close(nod.ended)
	}()
	go nod.calls.Serve()
	for i, srv := range nod.others {
		go func() { _ = srv.Serve(nod.lsns[i]) }()
	}
	nod.log.Info().Str("zone", nod.set.Zone()).Str("callers", nod.set.CallerAddr()).
		Str("store", nod.set.StoreAddr()).Strs("seeds", nod.set.Peers()).Msg("started")
}

// Apply takes settings that may change while the instance runs: the seeds and how
// long answers are kept. What names sockets holds until the next start.
func (nod *Node) Apply(set *conf.Settings) {
	before := nod.keep.Swap(int64(set.EntryTTL()))
	if int64(set.EntryTTL()) < before {
		until := int64(nod.clk.Now()) + keptTimes*before
		nod.longer.Store(max(nod.longer.Load(), until))
	}
	nod.ctl.SetSeeds(set.Peers())
}

// Stop is a planned stop. The instance leaves the answers to "which address" and
// says so to the others. Until kept answers have run out it serves what surely ends
// before the stop does, and refuses the rest; then it finishes what is under way. What is
// still under way when its time is up is given up with a word to the callers.
func (nod *Node) Stop(ctx context.Context) {
	began := nod.clk.Now()
	end := began + nod.set.ShutdownTimeout() - stopMargin
	kept := max(keptTimes*clock.Milli(nod.keep.Load()), clock.Milli(nod.longer.Load())-began) + stopSettle
	nod.log.Info().Int64("kept_ms", int64(kept)).Int64("stop_ms", int64(nod.set.ShutdownTimeout())).Int64("under_way", nod.front.InFlight()).Msg("leaving")
	// The control thread may be busy; what comes meanwhile is bound by the stop's end too.
	nod.front.BeginShutdown(end)
	sctx, cancel := nod.withEnd(ctx, end)
	defer cancel()
	nod.ctl.Leave(sctx)
	nod.until(ctx, min(began+kept, end), func() bool { return false })
	nod.log.Info().Int64("under_way", nod.front.InFlight()).Msg("taking no new connections, finishing what is under way")
	nod.calls.Shutdown(sctx)
	nod.until(ctx, end, func() bool { return nod.homes.Orders() == 0 })
	// The last answers to others, and results that are given back, are on their way for a moment.
	nod.until(ctx, min(nod.clk.Now()+stopLast, end), func() bool { return false })
	under := nod.front.InFlight()
	nod.calls.Abort()
	nod.log.Info().Int64("given_up", under).Int64("took_ms", int64(nod.clk.Since(began))).Msg("stopped")
	nod.Kill()
}

// withEnd gives a context that ends at an instant of the instance's clock, which goes on while
// the machine is suspended; those of the runtime don't.
func (nod *Node) withEnd(ctx context.Context, end clock.Milli) (context.Context, context.CancelFunc) {
	ectx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		nod.until(ectx, end, func() bool { return false })
	}()
	return ectx, cancel
}

// until waits for an instant, or until done.
func (nod *Node) until(ctx context.Context, at clock.Milli, done func() bool) {
	for nod.clk.Now() < at && ctx.Err() == nil && !done() {
		time.Sleep(stopStep)
	}
}

// Kill ends the instance at once, as a crash would.
func (nod *Node) Kill() {
	nod.calls.Close()
	for _, srv := range nod.others {
		_ = srv.Close()
	}
	if nod.cancel != nil {
		nod.cancel()
		<-nod.ended
	}
}
