// Package node assembles an instance that serves routes in a dialect: it wires up the
// components, opens the sockets, starts the instance and shuts it down.
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
	"amaranthvalve/internal/bounds"
	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/coord"
	"amaranthvalve/internal/dial"
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
	"amaranthvalve/pkg/reach"
)

// Error is the class of errors that prevent an instance from starting.
var Error = errs.Class("instance")

const (
	// tokenAgeShare is the share of the maximum view age for tokens within which a request
	// is sent: the remainder covers its transfer to the endpoint.
	tokenAgeShare = 0.9
	// idleConnTimeout is the idle time-out of pooled connections, which carry only calls that
	// may be repeated. It is short because endpoints close idle connections after a few seconds.
	idleConnTimeout = 1500 * time.Millisecond
	// entryTTLFactor is the multiple of the entry TTL for which some callers cache an address.
	entryTTLFactor = 3
	// shutdownMargin is the part of the shutdown time-out that is reserved for the last answers
	// and the steps after them.
	shutdownMargin = 300 * clock.Milli(1)
	// entryTTLSlack extends the time of service for requests that are sent just before a cached
	// address expires.
	entryTTLSlack = clock.Second
	// shutdownPollInterval is the interval at which a shutdown checks for remaining work.
	shutdownPollInterval = 50 * time.Millisecond
	// maxAnswerBytes bounds what all answers in progress hold together, in bytes, and answerMemoryDivisor what they may take
	// of the memory limit: most of that is for the control state, and for what the collector has not freed yet.
	maxAnswerBytes      = 32 << 20
	answerMemoryDivisor = 8
	// shutdownFlush is how long a shutdown waits for the delivery of the last messages.
	shutdownFlush = 50 * clock.Milli(1)
)

// Node is an instance that serves routes in a dialect.
type Node struct {
	set   *conf.Settings
	clk   clock.Clock
	log   zerolog.Logger
	mtr   *meter.Meter
	ctl   *state.Control
	front *front.Front
	pools *pools.Pools
	coord *coord.Coordinator
	link  *peer.Link
	// dialDirect opens connections to endpoints; tests replace it.
	dialDirect dial.Func
	dialer     *dial.Dialer
	// pooled is the client for calls that may be repeated.
	pooled *http.Client

	callers      *serve.Server
	auxServers   []*http.Server
	auxListeners []net.Listener
	cancel       context.CancelFunc
	stopped      chan struct{}
	// entryTTL is how long callers may cache an address, in milliseconds. oldEntriesUntil is the
	// instant at which addresses cached under an earlier, longer TTL have expired.
	entryTTL        atomic.Int64
	oldEntriesUntil atomic.Int64
}

// New opens the sockets of an instance that serves a dialect. It accepts no requests
// before Start.
func New(set *conf.Settings, dia *proto.Dialect, log zerolog.Logger) (*Node, error) {
	nod := &Node{set: set, log: log, mtr: meter.New(), stopped: make(chan struct{}), dialDirect: dial.Direct(dial.EndpointSilence).DialContext}
	nod.entryTTL.Store(int64(set.EntryTTL()))
	lsn, err := net.Listen("tcp", set.CallerAddr())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if set.PeerAddr() != "" {
		if err := nod.openLink(); err != nil {
			return nil, err
		}
	}
	nod.build(dia)
	nod.callers = serve.New(lsn, nod.front)
	return nod, nod.openAuxServers(dia)
}

func (nod *Node) openLink() error {
	server, client, err := peer.EphemeralTLS()
	if err != nil {
		return Error.Wrap(err)
	}
	nod.link, err = peer.Listen(nod.set.PeerAddr(), server, client, func(ctx context.Context, msg peer.Message) peer.Message {
		switch msg.Kind {
		case peer.ReleaseResults:
			return nod.coord.HandleRelease(msg)
		case peer.GetWait:
			return nod.coord.HandleWaitQuery(msg)
		case peer.PlacePrompt:
			return nod.coord.HandlePlace(msg)
		case peer.ReportPlaced:
			return nod.coord.HandleReports(msg)
		case peer.GetPermit:
			return nod.coord.HandlePermit(msg)
		case peer.TakeSlot:
			return nod.coord.HandleSlot(msg)
		case peer.NoteRest:
			return nod.coord.HandleRest(msg)
		case peer.NoteBindings:
			return nod.coord.HandleBindings(msg)
		case peer.FindBinding:
			return nod.coord.HandleFind(msg)
		case peer.CheckEndpoint:
			return nod.dialer.HandleCheck(ctx, msg)
		}
		return nod.ctl.Handle(ctx, msg)
	})
	if err != nil {
		return Error.Wrap(err)
	}
	nod.link.HandleLong = func(ctx context.Context, msg peer.Message) peer.Message {
		switch msg.Kind {
		case peer.PollUpdate:
			return nod.ctl.ServeFollower(ctx, msg)
		case peer.JoinQueue:
			return nod.coord.HandleJoin(ctx, msg)
		}
		return nod.coord.HandleOrder(ctx, msg)
	}
	nod.link.HandleTunnel = func(msg peer.Message, tnl *peer.Tunnel) { nod.dialer.ServeTunnel(msg, tnl) }
	nod.link.OnRefused = func(err error) {
		nod.mtr.CountEvent(meter.EventPeerRefused)
		nod.log.Warn().Err(err).Msg("peer connection refused")
	}
	return nil
}

// build creates the components and connects them.
func (nod *Node) build(dia *proto.Dialect) {
	self := nod.set.PeerAdvertise()
	if self == "" {
		self = nod.set.CallerAddr()
	}
	inc := ident.NewIncarnation(self)
	nod.log = nod.log.With().Str("instance", string(inc)).Logger()
	onReply := func(xch relay.Exchange) {
		nod.ctl.RecordNotice(xch.Request.URL.Host, dia.Notice(xch.Request, xch.Response), nod.clk.Now()-clock.FromDuration(xch.Ago), xch.Relay)
	}
	nod.dialer = dial.New(dial.Setup{
		Self: inc, Zone: nod.set.Zone(), Link: nod.link, Clock: nod.clk, Meter: nod.mtr, Log: nod.log,
		Direct: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return nod.dialDirect(ctx, network, addr)
		},
		Endpoints: func() []proto.Endpoint { return nod.ctl.View().Endpoints() },
		Relays:    func() []reach.Relay { return nod.ctl.View().Relays(inc) },
		MayRelay: func(ep proto.Endpoint) bool {
			return !ep.Leaving && !nod.ctl.Resting(ep.ID) && nod.ctl.MaySend(ep.ID, ep.Zone)
		},
		MaySend: func(id ident.Process, zone string) bool { return nod.ctl.MaySend(id, zone) },
		MayProbe: func(ep proto.Endpoint) bool {
			return !ep.Leaving && !ep.Withheld && !nod.ctl.View().BrittlePools()[ep.Pool]
		},
		OnHealed: func() { nod.pooled.CloseIdleConnections() },
	})
	cli := relay.PooledClient(idleConnTimeout, nod.dialAllowed, onReply)
	nod.pooled = cli
	share, reserve, window := nod.set.RetryBudget()
	btr := batch.New(batch.Setup{
		Dialect: dia, Client: cli, BatchClient: relay.SingleUseClient(nod.dialAllowed, onReply), Clock: nod.clk, Meter: nod.mtr, Log: nod.log, Share: share, Reserve: reserve, Window: window,
		OnMisdirected:   func(id ident.Process, why string) { nod.ctl.EndpointLeaving(id, why) },
		ProcessEnded:    nod.dialer.ProcessEnded,
		RateShare:       func(pool string) float64 { return nod.coord.RateShare(pool) },
		OnInputsFetched: func(sets []batch.ResultSet) { nod.coord.ReleaseAll(sets) },
		Rests:           func() map[ident.Process]clock.Milli { return nod.ctl.Rests() },
		MaySend:         func(id ident.Process, zone string) bool { return nod.ctl.MaySend(id, zone) },
		MaySendTo:       func(addr, zone string) bool { return nod.ctl.MaySendTo(addr, zone) },
	})
	pls := pools.New(pools.Setup{Clock: nod.clk, Zone: nod.set.Zone(), RetryShare: share, RetryReserve: reserve})
	nod.pools = pls
	nod.ctl = state.New(state.Setup{
		Self: inc, Zone: nod.set.Zone(), Caller: nod.set.CallerAddr(), Seeds: nod.set.Peers(), Capacity: nod.set.Capacity(),
		Clock: nod.clk, Store: dia.Store(nod.set.StoreAddr(), relay.PooledClient(idleConnTimeout, dial.Direct(dial.StoreSilence).DialContext, nil)), Meter: nod.mtr, Log: nod.log,
		Dialect: dia, Link: nod.link, TokenMaxViewAge: nod.set.TokenMaxViewAge(),
		Blind: nod.dialer.Blind, Relayed: nod.dialer.Served,
		OnRest: func(id ident.Process, span clock.Milli, relay ident.Incarnation) {
			nod.coord.SpreadRest(id, span, relay)
		},
		OnChange: func(vw *state.View) {
			nod.dialer.SetKnown(len(vw.Endpoints()))
			btr.Sync(vw.Plan(), vw.Endpoints(), vw.Rates(), vw.BrittlePools())
			pls.Sync(vw)
			nod.coord.DispatchAll(vw)
			if pln := vw.Plan(); pln != nil {
				nod.callers.SetLimits(serve.Limits{HeaderTimeout: pln.Limits().HeaderTime, IdleTimeout: pln.Limits().IdleTime})
			}
		},
	})
	nod.coord = coord.New(coord.Setup{Control: nod.ctl, Batcher: btr, Pools: pls, Link: nod.link, Clock: nod.clk, Meter: nod.mtr, Log: nod.log, CachedParts: cachedParts(dia, cli), OnUnbounded: func() { nod.mtr.CountEvent(meter.EventUnbounded) }, Origins: nod.dialer.Origins})
	nod.front = front.New(front.Setup{
		Control: nod.ctl, Dialect: dia, Relay: relay.New(dia, nod.dialer.DialContext, onReply), Pools: pls, Coordinator: nod.coord, Clock: nod.clk,
		Meter: nod.mtr, Log: nod.log, CheckProcess: nod.dialer.CheckProcess,
		RankAdmission:   nod.set.RankAdmission() || dia.WantsRankAdmission != nil && dia.WantsRankAdmission(nod.set.Policies()),
		HedgeShare:      nod.set.HedgeShare(),
		TokenMaxViewAge: clock.Milli(tokenAgeShare * float64(nod.set.TokenMaxViewAge())),
		AnswerBudget:    bounds.NewBudget(answerBytes(nod.set.MemoryLimit())),
	})
}

// answerBytes returns how many bytes all answers in progress may hold together under a memory limit, zero for none.
func answerBytes(limit int64) int64 {
	if limit <= 0 {
		return maxAnswerBytes
	}
	return min(maxAnswerBytes, limit/answerMemoryDivisor)
}

// dialAllowed opens a connection for calls of this instance itself. Opening one takes up to a second, in which
// the data centre may be evacuated, or the endpoint become known to leave.
func (nod *Node) dialAllowed(ctx context.Context, network, addr string) (net.Conn, error) {
	con, err := nod.dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	allowed := func() bool {
		nod.ctl.AwaitList(context.WithoutCancel(ctx))
		return nod.ctl.MaySendTo(addr, "") && !nod.ctl.View().HasLeft(addr)
	}
	if !allowed() {
		_ = con.Close()
		return nil, proto.ErrWithheld
	}
	return relay.Checked(con, allowed, proto.ErrWithheld), nil
}

// cachedParts returns the query for the prompt parts that a model engine has cached, or nil if
// the dialect has no such query.
func cachedParts(dia *proto.Dialect, cli *http.Client) func(ctx context.Context, ep proto.Endpoint) ([]place.Part, error) {
	if dia.CachedParts == nil {
		return nil
	}
	return func(ctx context.Context, ep proto.Endpoint) ([]place.Part, error) {
		return dia.CachedParts(ctx, cli, ep)
	}
}

// openAuxServers opens the listeners for entries, readiness, metrics and status.
func (nod *Node) openAuxServers(dia *proto.Dialect) error {
	byAddr := map[string][]rest.Route{}
	add := func(addr, path string, handler http.HandlerFunc) {
		if addr != "" {
			byAddr[addr] = append(byAddr[addr], rest.Route{Method: http.MethodGet, Path: path, Handler: handler})
		}
	}
	add(nod.set.EntriesAddr(), dia.EntriesPath, nod.serveEntries(dia))
	add(nod.set.ReadyAddr(), dia.ReadyPath, nod.serveReady)
	add(nod.set.MetricsAddr(), "/metrics", nod.mtr.Handler().ServeHTTP)
	add(nod.set.MetricsAddr(), wire.StatusPath, nod.serveStatus)
	for addr, routes := range byAddr {
		handler, err := serve.NewRouter(routes)
		if err != nil {
			return Error.Wrap(err)
		}
		lsn, err := net.Listen("tcp", addr)
		if err != nil {
			return Error.Wrap(err)
		}
		nod.auxServers, nod.auxListeners = append(nod.auxServers, serve.NewPlain(handler)), append(nod.auxListeners, lsn)
	}
	return nil
}

// serveReady reports whether callers should be routed to this instance.
func (nod *Node) serveReady(wrt http.ResponseWriter, _ *http.Request) {
	if nod.ctl.View().Ready(nod.clk.Now()) {
		wrt.WriteHeader(http.StatusOK)
		return
	}
	wrt.WriteHeader(http.StatusServiceUnavailable)
}

// serveEntries lists the addresses of all instances that accept callers. An instance that is
// not ready lists none, because it may be partitioned off from the others.
func (nod *Node) serveEntries(dia *proto.Dialect) http.HandlerFunc {
	return func(wrt http.ResponseWriter, _ *http.Request) {
		vw := nod.ctl.View()
		if !vw.Ready(nod.clk.Now()) {
			wire.WriteJSON(wrt, http.StatusServiceUnavailable, wire.ErrorBody{Error: "this instance is not ready"})
			return
		}
		var addrs []string
		seen := map[string]bool{}
		for _, mbr := range vw.Members() {
			accepts := mbr.ID() == nod.ctl.Self() || mbr.Status() == member.Alive && !mbr.Stale()
			// A terminated process and its successor may both be members for a moment.
			if accepts && !seen[mbr.Caller()] {
				seen[mbr.Caller()] = true
				addrs = append(addrs, mbr.Caller())
			}
		}
		wire.WriteJSON(wrt, http.StatusOK, dia.Entries(addrs, clock.Milli(nod.entryTTL.Load())))
	}
}

// SetDial replaces the way in which connections to endpoints are opened. It must be called before
// Start.
func (nod *Node) SetDial(dlf dial.Func) { nod.dialDirect = dlf }

// Start serves requests until Stop or Kill is called.
func (nod *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	nod.cancel = cancel
	if nod.link != nil {
		go nod.link.Serve(ctx)
	}
	go func() {
		nod.ctl.Run(ctx)
		close(nod.stopped)
	}()
	go nod.dialer.Watch(ctx)
	go nod.coord.HandOverBindings(ctx)
	go nod.callers.Serve()
	for i, srv := range nod.auxServers {
		go func() { _ = srv.Serve(nod.auxListeners[i]) }()
	}
	nod.log.Info().Str("zone", nod.set.Zone()).Str("callers", nod.set.CallerAddr()).
		Str("store", nod.set.StoreAddr()).Strs("seeds", nod.set.Peers()).Msg("started")
}

// Apply applies the settings that may change at run time: the seeds and the entry TTL. Changed
// addresses of sockets take effect at the next start.
func (nod *Node) Apply(set *conf.Settings) {
	old := nod.entryTTL.Swap(int64(set.EntryTTL()))
	if int64(set.EntryTTL()) < old {
		until := int64(nod.clk.Now()) + entryTTLFactor*old
		nod.oldEntriesUntil.Store(max(nod.oldEntriesUntil.Load(), until))
	}
	nod.ctl.SetSeeds(set.Peers())
}

// Stop performs a planned shutdown. The instance removes itself from the entries and notifies the
// other instances. Until cached addresses have expired it serves the requests that are certain
// to end before the shutdown does and refuses the others; then it finishes the requests in
// flight. Those that remain when its time is up are aborted, and their callers get an answer. If the process stood still
// until now, its time counts from the begin of that: whoever asked for the shutdown may have done so then.
func (nod *Node) Stop(ctx context.Context) {
	start := nod.clk.Now()
	asked := start
	if since, was := nod.ctl.StalledSince(start); was {
		asked = since
	}
	end := asked + nod.set.ShutdownTimeout() - shutdownMargin
	serveFor := max(entryTTLFactor*clock.Milli(nod.entryTTL.Load()), clock.Milli(nod.oldEntriesUntil.Load())-start) + entryTTLSlack
	nod.log.Info().Int64("kept_ms", int64(serveFor)).Int64("stop_ms", int64(nod.set.ShutdownTimeout())).Int64("late_ms", int64(start-asked)).Int64("under_way", nod.front.InFlight()).Msg("leaving")
	// The control loop may be busy; requests that arrive meanwhile are bound by the end of the
	// shutdown too.
	nod.front.BeginShutdown(end)
	sctx, cancel := nod.withDeadline(ctx, end)
	defer cancel()
	nod.ctl.Leave(sctx)
	nod.waitUntil(ctx, min(start+serveFor, end), func() bool { return false })
	nod.log.Info().Int64("under_way", nod.front.InFlight()).Msg("accepting no new connections, finishing requests in flight")
	nod.callers.Shutdown(sctx)
	nod.waitUntil(ctx, end, func() bool { return nod.coord.Orders() == 0 && nod.dialer.Served() == 0 })
	// The last answers to other instances and the releases of results take a moment to arrive.
	nod.waitUntil(ctx, min(nod.clk.Now()+shutdownFlush, end), func() bool { return false })
	inFlight := nod.front.InFlight()
	nod.callers.Abort()
	nod.log.Info().Int64("given_up", inFlight).Int64("took_ms", int64(nod.clk.Since(start))).Msg("stopped")
	nod.Kill()
}

// withDeadline returns a context that is cancelled at an instant of the instance's clock. This
// clock advances while the machine is suspended; the timers of the runtime do not.
func (nod *Node) withDeadline(ctx context.Context, end clock.Milli) (context.Context, context.CancelFunc) {
	ectx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		nod.waitUntil(ectx, end, func() bool { return false })
	}()
	return ectx, cancel
}

// waitUntil waits until an instant is reached, the context ends or done returns true.
func (nod *Node) waitUntil(ctx context.Context, at clock.Milli, done func() bool) {
	for nod.clk.Now() < at && ctx.Err() == nil && !done() {
		time.Sleep(shutdownPollInterval)
	}
}

// Kill terminates the instance at once, like a crash.
func (nod *Node) Kill() {
	nod.dialer.Close()
	nod.callers.Close()
	for _, srv := range nod.auxServers {
		_ = srv.Close()
	}
	if nod.cancel != nil {
		nod.cancel()
		<-nod.stopped
	}
}
