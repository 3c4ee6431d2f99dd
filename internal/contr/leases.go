package contr

import (
	"context"
	"slices"
	"time"

	"amaranthvalve/internal/engin"
	"amaranthvalve/internal/feed"
	"amaranthvalve/internal/meter"
	"amaranthvalve/internal/platf"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/lease"
	"amaranthvalve/pkg/oplog"
	"amaranthvalve/pkg/svcdoc"
)

const (
	// leaseOrders is the only lease: its holder sends orders to endpoints.
	leaseOrders   = "orders"
	orderInterval = time.Second
	// orderTimeout bounds the time of an order in transit. It is below lease.MaxOrderTime, for
	// which the next holder waits.
	orderTimeout = 2 * time.Second
	// acquireStep staggers the attempts to acquire a free lease by rank.
	acquireStep = 500 * clock.Milli(1)
)

// leasesCtl acquires the lease on orders. While this instance holds it, leasesCtl makes
// endpoints load the models that the documents name.
type leasesCtl struct {
	ctl       *Control
	table     lease.Table
	app       *feed.Appender
	grant     lease.Grant
	sentID    string
	sentAt    clock.Milli
	freeSince clock.Milli
	busy      bool
	dueAt     clock.Milli
}

func (lct *leasesCtl) tail(ctx context.Context) {
	feed.Tail(ctx, lct.ctl.feedSetup(), feed.Consumer{
		Do:       lct.ctl.Do,
		Stream:   platf.StreamLeases,
		Next:     lct.table.Next,
		Apply:    func(recs []oplog.Record, _ clock.Milli) { lct.table.Apply(recs); lct.updateGrant() },
		Restart:  lct.table.Restart,
		CaughtUp: func(clock.Milli) {},
	})
}

// updateGrant updates the grant if the last append of this instance determined the current
// expiry of the lease. Any other append of this instance was sent before sentAt, and counting
// from sentAt would make this instance assume the lease for longer than the others do.
func (lct *leasesCtl) updateGrant() {
	ten, ok := lct.table.Find(leaseOrders)
	if ok && ten.Holder() == lct.ctl.set.Self && ten.ID() == lct.sentID {
		lct.grant = lease.NewGrant(ten.Fence(), lct.sentAt)
	}
}

func (lct *leasesCtl) step(now clock.Milli) {
	tgts := lct.targets()
	if len(tgts) == 0 || lct.ctl.leaving {
		return
	}
	lct.acquire(now)
	if lct.grant.Valid(now) && !lct.busy && now >= lct.dueAt {
		lct.busy, lct.dueAt = true, now+clock.FromDuration(orderInterval)
		grt := lct.grant
		lct.ctl.loop.Go(func(ctx context.Context) {
			lct.order(ctx, grt, tgts)
			lct.ctl.Do(ctx, func(clock.Milli) { lct.busy = false })
		})
	}
}

// acquire appends a record to acquire the lease if it is free, or to renew it.
func (lct *leasesCtl) acquire(now clock.Milli) {
	if now-lct.sentAt < lease.RenewInterval {
		return
	}
	ten, ok := lct.table.Find(leaseOrders)
	mine := ok && ten.Holder() == lct.ctl.set.Self && now < ten.Until()
	if !mine && !lct.table.Available(leaseOrders, now) {
		lct.freeSince = 0
		return
	}
	if !mine && !lct.mayTry(now) {
		return
	}
	id := ident.NewID()
	lct.sentID, lct.sentAt = id, now
	ent := lease.Entry{Kind: lease.KindAcquire, Name: leaseOrders, Holder: lct.ctl.set.Self, ID: id}
	lct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + lease.RenewInterval})
}

// mayTry reports whether it is this instance's turn to try for a free lease. The instances try
// one after another, by rank.
func (lct *leasesCtl) mayTry(now clock.Milli) bool {
	if lct.freeSince == 0 {
		lct.freeSince = now
	}
	rank := clock.Milli(lct.ctl.members.list.Rank())
	return now-lct.freeSince >= rank*acquireStep
}

// target is an endpoint and the model that it should have loaded.
type target struct {
	pool, id, addr, model string
}

// targets lists the endpoints whose stages name a model. If two services name different models
// for one pool, the service whose name sorts first decides, so that the endpoints are not
// switched back and forth.
func (lct *leasesCtl) targets() []target {
	models := map[string]string{}
	var names []string
	docs := lct.ctl.view.Load().Docs()
	for name := range docs {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		addModels(models, docs[name].Doc())
	}
	var list []target
	for _, inst := range lct.ctl.endpts.list {
		if model := models[inst.Pool]; model != "" && inst.State == wire.StateLive {
			list = append(list, target{pool: inst.Pool, id: inst.ID, addr: inst.Addr, model: model})
		}
	}
	return list
}

func addModels(models map[string]string, doc *svcdoc.Document) {
	for i := range doc.Stages() {
		stg := doc.Stage(i)
		if _, ok := models[stg.Pool()]; !ok && stg.Model() != "" {
			models[stg.Pool()] = stg.Model()
		}
	}
}

// newClient returns a client of endpoints that counts and logs answers that exceed a bound.
func (ctl *Control) newClient() *engin.Client {
	cli := engin.New()
	cli.OnUnbounded = func(addr string, err error) {
		ctl.set.Meter.CountEvent(meter.EventUnbounded)
		ctl.set.Log.Warn().Err(err).Str("addr", addr).Msg("answer of endpoint exceeds a bound")
	}
	return cli
}

// order reads the state of each endpoint and corrects it. The grant is checked immediately
// before each order, because the process may have been paused in any step before.
func (lct *leasesCtl) order(ctx context.Context, grt lease.Grant, tgts []target) {
	cli := lct.ctl.newClient()
	for _, tgt := range tgts {
		octx, cancel := context.WithTimeout(ctx, orderTimeout)
		rep, ok := cli.Load(octx, tgt.addr)
		if ok && rep.Model != tgt.model && grt.Valid(lct.ctl.set.Clock.Now()) {
			lct.send(octx, cli, tgt, grt)
		}
		cancel()
	}
}

func (lct *leasesCtl) send(ctx context.Context, cli *engin.Client, tgt target, grt lease.Grant) {
	end := cli.Order(ctx, tgt.addr, wire.Order{Fence: grt.Fence(), Model: tgt.model})
	lct.ctl.set.Meter.CountEvent(meter.EventOrderSent)
	if end == ending.Refused {
		lct.ctl.set.Meter.CountEvent(meter.EventOrderRefused)
	}
	lct.ctl.set.Log.Info().Str("endpoint", tgt.id).Str("model", tgt.model).Int64("fence", grt.Fence()).
		Str("ended", end.String()).Msg("order sent")
}
