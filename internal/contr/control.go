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
	// tickEvery is the time between two steps of the controllers.
	tickEvery = 50 * time.Millisecond
)

// Setup is what a control thread is made of.
type Setup struct {
	Self         ident.Incarnation
	Zone         string
	CallerAddr   string
	Peers        []string
	Fresh        clock.Milli
	LogRetention clock.Milli
	Clock        clock.Clock
	Platform     *platf.Client
	Runner       *stage.Runner
	Meter        *meter.Meter
	Log          zerolog.Logger
	// Link is nil for an instance that stands alone.
	Link *peer.Link
}

// Control owns the control state of an instance.
type Control struct {
	set  Setup
	loop *loop.Loop
	view atomic.Pointer[View]
	load atomic.Int64
	// demands is what the other instances see of each workspace.
	demands atomic.Pointer[map[ident.Incarnation]map[string]float64]

	members membersCtl
	docs    docsCtl
	endpts  endptsCtl
	claims  claimsCtl
	leases  leasesCtl
	leaving bool
	// startedAt is the instant of the control thread's start.
	startedAt clock.Milli
	stopping  atomic.Bool
}

// View is what traffic sees of the control state. It is never changed.
type View struct {
	docs    map[string]oplog.DocVersion
	members []member.Member
	applied int64
	ready   bool
	why     string
	// until is the instant up to which the view may be gone by.
	until clock.Milli
}

// Doc gives a service's document in force.
func (vw *View) Doc(service string) (oplog.DocVersion, bool) {
	hld, ok := vw.docs[service]
	return hld, ok
}

// Docs gives all documents in force.
func (vw *View) Docs() map[string]oplog.DocVersion { return vw.docs }

// Members gives the instances that are not dead.
func (vw *View) Members() []member.Member { return vw.members }

// Applied gives the offset that the documents are of.
func (vw *View) Applied() int64 { return vw.applied }

// Ready tells whether new work may be taken at the instant now, and why not.
//
// The view carries the end of its own time. A process that was frozen wakes
// with its old view, and requests that waited in its sockets are read before
// the control thread has looked at the clock; going by a flag alone, it would
// answer them by documents that were replaced while it slept.
func (vw *View) Ready(now clock.Milli) (ready bool, why string) {
	if vw.ready && now > vw.until {
		return false, "the view has run out"
	}
	return vw.ready, vw.why
}

// New returns a control thread that has not started.
func New(set Setup) *Control {
	ctl := &Control{set: set, loop: loop.New(set.Clock, func() { set.Meter.CountEvent(meter.EventDropped) })}
	now := set.Clock.Now()
	ctl.startedAt = now
	ctl.members.open(ctl, now)
	ctl.docs = docsCtl{ctl: ctl}
	ctl.endpts = endptsCtl{ctl: ctl, left: map[string]clock.Milli{}}
	ctl.claims = claimsCtl{ctl: ctl, waiting: map[string][]*asking{}, abandoned: map[string]clock.Milli{}, answers: map[string]string{}}
	ctl.leases = leasesCtl{ctl: ctl}
	ctl.view.Store(&View{why: "starting"})
	return ctl
}

// SetLink gives the link to the other instances; before Run only.
func (ctl *Control) SetLink(lnk *peer.Link) { ctl.set.Link, ctl.members.group.Link = lnk, lnk }

// View gives the present view.
func (ctl *Control) View() *View { return ctl.view.Load() }

// Self gives the instance's identity.
func (ctl *Control) Self() ident.Incarnation { return ctl.set.Self }

// SetLoad notes how many requests are under way, for the other instances.
func (ctl *Control) SetLoad(n int64) { ctl.load.Store(n) }

// Run owns the state until the context ends, then waits for its workers.
func (ctl *Control) Run(ctx context.Context) {
	ctl.loop.Run(ctx, tickEvery, func() {
		ctl.claims.app = ctl.appender(platf.StreamClaims)
		ctl.docs.app = ctl.appender(platf.StreamDocs)
		ctl.leases.app = ctl.appender(platf.StreamLeases)
		ctl.loop.Go(ctl.docs.tail)
		ctl.loop.Go(ctl.claims.tail)
		ctl.loop.Go(ctl.leases.tail)
		ctl.loop.Go(ctl.endpts.watchList)
		ctl.loop.Go(ctl.endpts.askLoads)
	}, ctl.step, ctl.publish)
}

// feed gives what reading and appending need.
func (ctl *Control) feed() feed.Setup {
	return feed.Setup{Clock: ctl.set.Clock, Platform: ctl.set.Platform, Meter: ctl.set.Meter, Log: ctl.set.Log}
}

func (ctl *Control) appender(stream string) *feed.Appender {
	app := feed.NewAppender(ctl.feed(), stream)
	ctl.loop.Go(app.Run)
	return app
}

// step lets each controller act, in the fixed order.
func (ctl *Control) step(now clock.Milli) {
	ctl.members.step(now)
	ctl.docs.step(now)
	ctl.endpts.step(now)
	ctl.claims.step(now)
	ctl.leases.step(now)
	ctl.set.Meter.SetGauge(meter.GaugeEventQueue, float64(ctl.loop.QueueLen()))
}

// Do runs an event on the control thread and waits for it. It gives false if the
// context ended first; the event may then run later or never.
func (ctl *Control) Do(ctx context.Context, event func(now clock.Milli)) bool {
	return ctl.loop.Do(ctx, event)
}

// Left is told by traffic that an endpoint said it is leaving.
func (ctl *Control) Left(pool, id string) {
	ctl.loop.Offer(func(now clock.Milli) { ctl.endpts.heardLeaving(pool+"/"+id, now) })
}

// Leave starts a planned stop: the instance tells the others that it is leaving
// and is no longer named to callers. It goes on serving.
func (ctl *Control) Leave(ctx context.Context) {
	ctl.Do(ctx, func(now clock.Milli) {
		ctl.leaving = true
		ctl.members.step(now)
	})
}

// Refuse makes the instance refuse new work from now on.
func (ctl *Control) Refuse() { ctl.stopping.Store(true) }

// Stopping tells whether new work is refused because of a planned stop.
func (ctl *Control) Stopping() bool { return ctl.stopping.Load() }

// Alive tells whether the control thread takes events.
func (ctl *Control) Alive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return ctl.Do(ctx, func(clock.Milli) {})
}

// Flush waits until what was to be appended is in the log, or the context ends.
func (ctl *Control) Flush(ctx context.Context) {
	for !ctl.claims.app.Empty() || !ctl.docs.app.Empty() {
		if !feed.Sleep(ctx, tickEvery) {
			return
		}
	}
}

// publish makes a new view. Its maps and lists are shared with the old one
// unless they changed.
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
