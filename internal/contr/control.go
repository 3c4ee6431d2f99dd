package contr

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/feed"
	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/platf"
	"amaranthvalve/internal/stage"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/oplog"
)

const (
	// tickInterval is the interval between two steps of the controllers.
	tickInterval = 50 * time.Millisecond
)

// Setup configures a control loop.
type Setup struct {
	Self         ident.Incarnation
	Zone         string
	CallerAddr   string
	Peers        []string
	MaxLogAge    clock.Milli
	LogRetention clock.Milli
	Clock        clock.Clock
	Platform     *platf.Client
	Runner       *stage.Runner
	Meter        *meter.Meter
	Log          zerolog.Logger
	// Link is nil for a standalone instance.
	Link *peer.Link
}

// Control owns the control state of an instance.
type Control struct {
	set  Setup
	loop *loop.Loop
	view atomic.Pointer[View]
	load atomic.Int64
	// demands has the demand of each workspace at each other instance.
	demands atomic.Pointer[map[ident.Incarnation]map[string]float64]

	members membersCtl
	docs    docsCtl
	endpts  endptsCtl
	claims  claimsCtl
	leases  leasesCtl
	leaving bool
	// startedAt is the instant at which the control loop was created.
	startedAt clock.Milli
	stopping  atomic.Bool
}

// View is an immutable snapshot of the control state, read by the request path.
type View struct {
	docs    map[string]oplog.DocVersion
	members []member.Member
	applied int64
	ready   bool
	why     string
	// until is the last instant at which the view may be used.
	until clock.Milli
}

// Doc returns the document of a service that is in force.
func (vw *View) Doc(service string) (oplog.DocVersion, bool) {
	dvr, ok := vw.docs[service]
	return dvr, ok
}

// Docs returns all documents in force.
func (vw *View) Docs() map[string]oplog.DocVersion { return vw.docs }

// Members returns the instances that are not declared dead.
func (vw *View) Members() []member.Member { return vw.members }

// Applied returns the log offset up to which documents are applied.
func (vw *View) Applied() int64 { return vw.applied }

// Ready reports whether new work may be admitted at the instant now, and the reason if not.
//
// The view carries its own expiry. A process that was frozen resumes with its old view and
// reads the requests that wait in its sockets before the control loop has looked at the clock.
// With only a flag, it would serve them with documents that were replaced in the meantime.
func (vw *View) Ready(now clock.Milli) (ready bool, why string) {
	if vw.ready && now > vw.until {
		return false, "the view of the control state has expired"
	}
	return vw.ready, vw.why
}

// New returns a control loop that is not running.
func New(set Setup) *Control {
	ctl := &Control{set: set, loop: loop.New(set.Clock, func() { set.Meter.CountEvent(meter.EventDropped) })}
	now := set.Clock.Now()
	ctl.startedAt = now
	ctl.members.open(ctl, now)
	ctl.docs = docsCtl{ctl: ctl}
	ctl.endpts = endptsCtl{ctl: ctl, leaving: map[string]clock.Milli{}}
	ctl.claims = claimsCtl{ctl: ctl, waiting: map[string][]*pendingClaim{}, abandoned: map[string]clock.Milli{}, answers: map[string]string{}}
	ctl.leases = leasesCtl{ctl: ctl}
	ctl.view.Store(&View{why: "starting"})
	return ctl
}

// SetLink sets the link to the other instances. It must be called before Run.
func (ctl *Control) SetLink(lnk *peer.Link) { ctl.set.Link, ctl.members.group.Link = lnk, lnk }

// View returns the current view.
func (ctl *Control) View() *View { return ctl.view.Load() }

// Self returns the identity of the instance.
func (ctl *Control) Self() ident.Incarnation { return ctl.set.Self }

// SetLoad sets the number of requests in flight that is reported to the other instances.
func (ctl *Control) SetLoad(n int64) { ctl.load.Store(n) }

// Run owns the state until the context ends, then waits for its workers.
func (ctl *Control) Run(ctx context.Context) {
	ctl.loop.Run(ctx, tickInterval, func() {
		ctl.claims.app = ctl.appender(platf.StreamClaims)
		ctl.docs.app = ctl.appender(platf.StreamDocs)
		ctl.leases.app = ctl.appender(platf.StreamLeases)
		ctl.loop.Go(ctl.docs.tail)
		ctl.loop.Go(ctl.claims.tail)
		ctl.loop.Go(ctl.leases.tail)
		ctl.loop.Go(ctl.endpts.watchList)
		ctl.loop.Go(ctl.endpts.pollLoads)
	}, ctl.step, ctl.publish)
}

// feedSetup returns the configuration for reading from and appending to the log.
func (ctl *Control) feedSetup() feed.Setup {
	return feed.Setup{Clock: ctl.set.Clock, Platform: ctl.set.Platform, Meter: ctl.set.Meter, Log: ctl.set.Log}
}

func (ctl *Control) appender(stream string) *feed.Appender {
	app := feed.NewAppender(ctl.feedSetup(), stream)
	ctl.loop.Go(app.Run)
	return app
}

// step runs one step of each controller, in a fixed order.
func (ctl *Control) step(now clock.Milli) {
	ctl.members.step(now)
	ctl.docs.step(now)
	ctl.endpts.step(now)
	ctl.claims.step(now)
	ctl.leases.step(now)
	ctl.set.Meter.SetGauge(meter.GaugeEventQueue, float64(ctl.loop.QueueLen()))
}

// Do runs an event on the control loop and waits for it. It returns false if the context ended
// first; the event may then run later or never.
func (ctl *Control) Do(ctx context.Context, event func(now clock.Milli)) bool {
	return ctl.loop.Do(ctx, event)
}

// ReportLeaving is called by the request path when an endpoint reports that it is leaving.
func (ctl *Control) ReportLeaving(pool, id string) {
	ctl.loop.Offer(func(now clock.Milli) { ctl.endpts.noteLeaving(pool+"/"+id, now) })
}

// Leave starts a planned shutdown: the instance announces to the others that it is leaving and
// is no longer offered to callers. It continues to serve requests.
func (ctl *Control) Leave(ctx context.Context) {
	ctl.Do(ctx, func(now clock.Milli) {
		ctl.leaving = true
		ctl.members.step(now)
	})
}

// RefuseNewWork makes the instance refuse new work from now on.
func (ctl *Control) RefuseNewWork() { ctl.stopping.Store(true) }

// Stopping reports whether new work is refused because of a planned shutdown.
func (ctl *Control) Stopping() bool { return ctl.stopping.Load() }

// Alive reports whether the control loop processes events.
func (ctl *Control) Alive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return ctl.Do(ctx, func(clock.Milli) {})
}

// Flush waits until all pending records of claims and documents are appended to the log, or the
// context ends.
func (ctl *Control) Flush(ctx context.Context) {
	for !ctl.claims.app.Empty() || !ctl.docs.app.Empty() {
		if !feed.Sleep(ctx, tickInterval) {
			return
		}
	}
}

// publish publishes a new view. Its maps and lists are shared with the previous view unless
// they changed.
func (ctl *Control) publish(now clock.Milli) {
	until, why := ctl.docs.freshUntil(now)
	ready := why == ""
	old := ctl.view.Load()
	vw := &View{docs: old.docs, members: old.members, applied: ctl.docs.reg.Applied(), ready: ready, why: why, until: until}
	if ctl.docs.changed || vw.docs == nil {
		vw.docs = ctl.docs.reg.All()
	}
	if ctl.members.changed || vw.members == nil {
		vw.members = ctl.members.list.All()
	}
	if old.ready != ready {
		ctl.set.Log.Info().Bool("ready", ready).Str("why", why).Msg("readiness changed")
	}
	ctl.docs.changed, ctl.members.changed = false, false
	ctl.view.Store(vw)
	ctl.set.Meter.SetGauge(meter.GaugeApplied, float64(vw.applied))
	ctl.set.Meter.SetGauge(meter.GaugeMembers, float64(len(vw.members)))
	ctl.set.Meter.SetGauge(meter.GaugeReady, gauge(ready))
}

func gauge(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
