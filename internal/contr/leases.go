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
	// leaseOrders is the one lease there is: who orders endpoints about.
	leaseOrders = "orders"
	orderEvery  = time.Second
	// orderWait bounds an order's way. It stays below lease.MaxOrderTime, within
	// which a successor waits.
	orderWait = 2 * time.Second
	// acquireStep spreads the instances' tries for a free lease by rank.
	acquireStep = 500 * clock.Milli(1)
)

// leasesCtl holds the lease on orders, when it falls to this instance, and
// sees to it that endpoints have the models that the documents name.
type leasesCtl struct {
	ctl    *Control
	book   lease.Table
	app    *feed.Appender
	grant  lease.Grant
	sentID string
	sentAt clock.Milli
	freeAt clock.Milli
	busy   bool
	dueAt  clock.Milli
}

func (lct *leasesCtl) tail(ctx context.Context) {
	feed.Tail(ctx, lct.ctl.feed(), feed.Consumer{
		Do:       lct.ctl.Do,
		Stream:   platf.StreamLeases,
		Next:     lct.book.Next,
		Apply:    func(recs []oplog.Record, _ clock.Milli) { lct.book.Apply(recs); lct.noteGrant() },
		Restart:  lct.book.Restart,
		CaughtUp: func(clock.Milli) {},
	})
}

// noteGrant brings our own view of the lease up to date when our last append is
// the one that gave it its present end. Any other append of ours was sent
// earlier than we count from, and would make us believe in a lease for longer
// than the others do.
func (lct *leasesCtl) noteGrant() {
	ten, ok := lct.book.Find(leaseOrders)
	if ok && ten.Holder() == lct.ctl.set.Self && ten.ID() == lct.sentID {
		lct.grant = lease.NewGrant(ten.Fence(), lct.sentAt)
	}
}

func (lct *leasesCtl) step(now clock.Milli) {
	wanted := lct.wanted()
	if len(wanted) == 0 || lct.ctl.leaving {
		return
	}
	lct.acquire(now)
	if lct.grant.Valid(now) && !lct.busy && now >= lct.dueAt {
		lct.busy, lct.dueAt = true, now+clock.FromDuration(orderEvery)
		grt := lct.grant
		lct.ctl.loop.Go(func(ctx context.Context) {
			lct.order(ctx, grt, wanted)
			lct.ctl.Do(ctx, func(clock.Milli) { lct.busy = false })
		})
	}
}

// acquire appends for the lease when it is free, or renews it.
func (lct *leasesCtl) acquire(now clock.Milli) {
	if now-lct.sentAt < lease.RenewInterval {
		return
	}
	ten, ok := lct.book.Find(leaseOrders)
	mine := ok && ten.Holder() == lct.ctl.set.Self && now < ten.Until()
	if !mine && !lct.book.Available(leaseOrders, now) {
		lct.freeAt = 0
		return
	}
	if !mine && !lct.turn(now) {
		return
	}
	id := ident.NewID()
	lct.sentID, lct.sentAt = id, now
	ent := lease.Entry{Kind: lease.KindAcquire, Name: leaseOrders, Holder: lct.ctl.set.Self, ID: id}
	lct.app.Add(feed.Record{Body: ent.Encode(), Expires: now + lease.RenewInterval})
}

// turn lets the instances try for a free lease one after another.
func (lct *leasesCtl) turn(now clock.Milli) bool {
	if lct.freeAt == 0 {
		lct.freeAt = now
	}
	rank := clock.Milli(lct.ctl.members.list.Rank())
	return now-lct.freeAt >= rank*acquireStep
}

// want is an endpoint with the model that it should have.
type want struct {
	pool, id, addr, model string
}

// wanted lists the endpoints whose stages name a model. When two services name
// different models for one pool, the service whose name sorts first decides, so
// that no pool is ordered back and forth.
func (lct *leasesCtl) wanted() []want {
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
	var list []want
	for _, inst := range lct.ctl.endpts.list {
		if model := models[inst.Pool]; model != "" && inst.State == wire.StateLive {
			list = append(list, want{pool: inst.Pool, id: inst.ID, addr: inst.Addr, model: model})
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

// order reads each endpoint's state back and corrects it. The grant is looked
// at last thing before each order: a pause may have come in any step before.
func (lct *leasesCtl) order(ctx context.Context, grt lease.Grant, wanted []want) {
	cli := engin.New()
	for _, wnt := range wanted {
		octx, cancel := context.WithTimeout(ctx, orderWait)
		rep, ok := cli.Load(octx, wnt.addr)
		if ok && rep.Model != wnt.model && grt.Valid(lct.ctl.set.Clock.Now()) {
			lct.send(octx, cli, wnt, grt)
		}
		cancel()
	}
}

func (lct *leasesCtl) send(ctx context.Context, cli *engin.Client, wnt want, grt lease.Grant) {
	end := cli.Order(ctx, wnt.addr, wire.Order{Fence: grt.Fence(), Model: wnt.model})
	lct.ctl.set.Meter.CountEvent(meter.EventOrderSent)
	if end == ending.Refused {
		lct.ctl.set.Meter.CountEvent(meter.EventOrderRefused)
	}
	lct.ctl.set.Log.Info().Str("endpoint", wnt.id).Str("model", wnt.model).Int64("fence", grt.Fence()).
		Str("ended", end.String()).Msg("order sent")
}
