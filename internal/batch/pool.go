package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gather"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/limit"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/retry"
)

const (
	// maxTries is how often one piece is tried.
	maxTries = 3
	// lookAgain is the time after which the book is asked again while pieces
	// wait and no call ends meanwhile: an endpoint that was full, failed or out
	// of room opens without telling.
	lookAgain = 20 * clock.Milli(1)
	// settle is how long an order waits for others that were set off by the same call
	// of the stage before: they come from several instances, within the way between data centres.
	settle = 5 * clock.Milli(1)
	// freeAfter is how long results to be given back are gathered for one call,
	// and freeWait bounds the call.
	freeAfter = 4 * clock.Milli(1)
	freeWait  = time.Second
)

// slot says which piece of which order a piece of the book is.
type slot struct {
	ord   *order
	index int
}

// pool is one pool's book with the orders that wait in it.
type pool struct {
	set  Setup
	name string

	mtx   sync.Mutex
	book  gather.Book
	rates limit.Rates
	slots map[int64]slot
	next  int64
	// link is how fast the endpoints fetch, in Mbit/s; zero if it isn't known.
	link float64
	// holdUntil is the instant until which inputs are held to their calls' ends.
	holdUntil clock.Milli
	budget    budget
	// wakeAt is when the book is asked again at the latest.
	wakeAt clock.Milli
	freed  map[string][]string
	// under are the calls under way.
	under ident.Watch
	// ordered is when the last order came; makers, room and keep are as the documents and
	// the list of endpoints have them.
	ordered clock.Milli
	makers  []gather.Maker
	room    int64
	keep    clock.Milli
}

func newPool(name string, set Setup) *pool {
	return &pool{set: set, name: name, slots: map[int64]slot{}, freed: map[string][]string{}, budget: newBudget(set)}
}

func (pol *pool) sync(spc plan.DraftBatch, makers []gather.Maker, rates map[string]float64) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	pol.rates.Sync(rates)
	pol.book.Set(gather.Spec{Places: spc.Places, Most: spc.Most, Call: spc.Call, Item: spc.Item, Room: spc.Room, Keep: spc.Keep})
	pol.link, pol.room, pol.keep, pol.makers = spc.Link, spc.Room, spc.Keep, makers
	pol.book.Sync(makers)
	for _, mkr := range makers {
		pol.under.Listed(ident.Process(mkr.ID))
	}
	pol.run()
}

func (pol *pool) wait() clock.Milli {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.book.Wait(pol.set.Clock.Now())
}

// fill adds an order's pieces to the book and waits for them.
func (pol *pool) fill(ctx context.Context, ask Order) Filled {
	ord := &order{Order: ask, results: make([]Handle, ask.Count), missing: ask.Count, tries: make([]int, ask.Count), done: make(chan struct{})}
	pol.mtx.Lock()
	now := pol.set.Clock.Now()
	if !ask.Again {
		pol.budget.ordered(ask.Count)
	} else if !pol.budget.remake(ask.Count) {
		defer pol.mtx.Unlock()
		pol.set.Log.Info().Str("request", ask.Request).Int("stage", ask.Stage).Str("pool", ask.Pool).Int("pieces", ask.Count).
			Msg("no budget to make inputs again")
		return Filled{Flaw: talk.InputGone, Wait: pol.book.Wait(now)}
	}
	// From here on the spans are instants of our own clock.
	ord.Due, ord.Until, ord.NearUntil = now+ask.Due, now+ask.Until, now+ask.NearUntil
	pol.next++
	ord.job = pol.next
	for i := range ask.Count {
		pol.add(ord, i, false)
	}
	pol.wakeIn(settle, now)
	if pol.begins(now) {
		pol.book.Begin(now)
		go pol.survey(now)
	}
	pol.mtx.Unlock()
	select {
	case <-ord.done:
	case <-ctx.Done():
	}
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	return pol.settle(ord)
}

// settle ends an order. What was made of one that failed is given back.
func (pol *pool) settle(ord *order) Filled {
	ord.end(talk.Late)
	out := Filled{Flaw: ord.flaw, Wait: pol.book.Wait(pol.set.Clock.Now()), Fetched: ord.fetch.over, Ended: ord.ends}
	if ord.flaw == talk.NoFlaw {
		out.Results = ord.results
		return out
	}
	pol.drop(ord)
	return out
}

// drop withdraws an order's waiting pieces and gives back those made.
func (pol *pool) drop(ord *order) {
	for id, slt := range pol.slots {
		if slt.ord == ord && pol.book.Remove(id) {
			delete(pol.slots, id)
		}
	}
	for i, res := range ord.results {
		if res.Name != "" {
			pol.giveBack(res)
			ord.results[i] = Handle{}
		}
	}
}

// add puts a piece of an order in the book; rest tells that others of the order are
// made or under way.
func (pol *pool) add(ord *order, index int, rest bool) {
	pol.next++
	pol.slots[pol.next] = slot{ord: ord, index: index}
	pol.book.Add(gather.Piece{
		ID: pol.next, Job: ord.job, Due: ord.Due, Until: ord.Until, Rank: ord.Rank, Zone: ord.Zone, NearUntil: ord.NearUntil, Bytes: ord.Bytes, Rest: rest,
		Alone: ord.Alone || len(ord.ends) > 0,
	})
}

// run makes the calls that the book asks for.
func (pol *pool) run() {
	now := pol.set.Clock.Now()
	share := pol.holdRated(now)
	for {
		bat, ok := pol.book.Next(now)
		if !ok {
			break
		}
		pol.rates.Take(bat.Maker.ID, share, now)
		pol.book.Hold(bat.Maker.ID, now+pol.rates.Wait(bat.Maker.ID, now))
		go pol.call(bat)
	}
	// Whatever still finds a place is not given up.
	for _, pc := range pol.book.Expired(now) {
		pol.fail(pc.ID, talk.Late)
	}
	if pol.book.Waiting() == 0 {
		return
	}
	span := lookAgain
	if space := pol.book.Space(now); space > 0 {
		span = min(span, space)
	}
	pol.wakeIn(span, now)
}

// wakeIn has the book asked again after a span, unless it will be sooner anyway.
func (pol *pool) wakeIn(span, now clock.Milli) {
	if now < pol.wakeAt && pol.wakeAt <= now+span {
		return
	}
	pol.wakeAt = now + span
	pol.set.After(span, func() {
		pol.mtx.Lock()
		defer pol.mtx.Unlock()
		pol.run()
	})
}

// fail ends the order of a piece that can't be made.
func (pol *pool) fail(id int64, flaw talk.Flaw) {
	slt, ok := pol.slots[id]
	if !ok {
		return
	}
	delete(pol.slots, id)
	slt.ord.end(flaw)
}

// call makes one call and takes what came of it.
func (pol *pool) call(bat gather.Batch) {
	items := pol.items(bat)
	ctx, cancel := context.WithTimeout(context.Background(), bat.GiveUp.Duration())
	defer cancel()
	defer pol.under.Watch(ident.Process(bat.Maker.ID), cancel)()
	ep := talk.Endpoint{ID: ident.Process(bat.Maker.ID), Pool: pol.name, Addr: bat.Maker.Addr, Zone: bat.Maker.Zone}
	fetch := time.AfterFunc(pol.fetchTime(bat), func() { pol.fetched(bat) })
	defer fetch.Stop()
	began := pol.set.Clock.Now()
	made, rep, err := pol.set.Dialect.Run(ctx, pol.set.Client, ep, items)
	took := pol.set.Clock.Since(began)
	if rep.Misdirected {
		pol.set.Gone(ep.ID, "another endpoint answers at its address")
	}
	ended := pol.endedIn(ctx, bat, err)
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	if ended {
		pol.endedUnder(bat)
	}
	pol.log(bat, made, took, err)
	pol.take(bat, made, err)
	pol.run()
}

func (pol *pool) items(bat gather.Batch) []talk.Item {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	now := pol.set.Clock.Now()
	items := make([]talk.Item, len(bat.Pieces))
	for i, pc := range bat.Pieces {
		slt := pol.slots[pc.ID]
		items[i] = talk.Item{
			Request: slt.ord.Request, Stage: slt.ord.Stage, Piece: slt.index, Left: max(pc.Until-now, 1),
			Key: slt.ord.Key, Inputs: slt.ord.Inputs,
		}
	}
	return items
}

// take notes what became of each piece of a call.
func (pol *pool) take(bat gather.Batch, made []talk.Made, err error) {
	var kept []gather.Result
	for i, pc := range bat.Pieces {
		out := talk.Made{Flaw: talk.Broken}
		switch {
		case err == nil:
			out = made[i]
		case errors.Is(err, talk.ErrFull):
			out.Flaw = talk.NoRoom
		}
		if out.Handle != "" {
			kept = append(kept, gather.Result{Handle: out.Handle, Bytes: pc.Bytes})
		}
	}
	pol.book.Ended(bat.ID, verdict(err), kept, pol.set.Clock.Now())
	for i, pc := range bat.Pieces {
		switch {
		case err == nil:
			pol.takePiece(pc.ID, made[i], bat.Maker)
		case errors.Is(err, talk.ErrFull):
			pol.again(pc.ID, talk.NoRoom)
		default:
			pol.again(pc.ID, talk.Broken)
		}
	}
}

func verdict(err error) gather.Verdict {
	switch {
	case err == nil:
		return gather.Made
	case errors.Is(err, talk.ErrFull):
		return gather.Full
	}
	return gather.Failed
}

func (pol *pool) takePiece(id int64, made talk.Made, mkr gather.Maker) {
	slt, ok := pol.slots[id]
	if !ok {
		return
	}
	res := Handle{Name: made.Handle, Addr: mkr.Addr, Zone: mkr.Zone}
	switch {
	case made.Flaw == talk.NoRoom:
		pol.book.Full(mkr.ID, pol.set.Clock.Now())
		pol.again(id, made.Flaw)
	case made.Flaw == talk.Broken:
		pol.again(id, made.Flaw)
	case made.Flaw == talk.InputGone && slt.ord.fetch.over:
		pol.holdUntil = pol.set.Clock.Now() + heldFor
		pol.fail(id, made.Flaw)
	case made.Flaw != talk.NoFlaw:
		pol.fail(id, made.Flaw)
	case slt.ord.ended:
		// Its asker has left; nobody else knows of the result.
		delete(pol.slots, id)
		pol.giveBack(res)
	default:
		delete(pol.slots, id)
		slt.ord.results[slt.index] = res
		if slt.ord.missing--; slt.ord.missing == 0 {
			slt.ord.end(talk.NoFlaw)
		}
	}
}

// again puts a piece back that was not made, within the budget and its bounds.
func (pol *pool) again(id int64, flaw talk.Flaw) {
	slt, ok := pol.slots[id]
	if !ok {
		return
	}
	delete(pol.slots, id)
	if slt.ord.ended {
		return
	}
	slt.ord.fetch.set(slt.index, slt.ord.Count, false)
	slt.ord.tries[slt.index]++
	switch {
	case slt.ord.fetch.over:
		slt.ord.end(talk.InputGone)
		return
	case slt.ord.tries[slt.index] >= maxTries || !pol.budget.repeat():
		slt.ord.end(flaw)
		return
	}
	pol.set.Meter.Retried(retry.Refused)
	pol.add(slt.ord, slt.index, slt.ord.Count > 1)
}

// log writes a line for a call that was not answered whole.
func (pol *pool) log(bat gather.Batch, made []talk.Made, took clock.Milli, err error) {
	flawed, room := 0, 0
	for _, mad := range made {
		if mad.Flaw != talk.NoFlaw {
			flawed++
		}
		if mad.Flaw == talk.NoRoom {
			room++
		}
	}
	evt := pol.set.Log.Debug()
	switch {
	case err != nil:
		evt = pol.set.Log.Warn().Err(err)
	case flawed > 0:
		evt = pol.set.Log.Info()
	}
	evt.Str("pool", pol.name).Str("endpoint", bat.Maker.ID).Int("pieces", len(bat.Pieces)).Int("flawed", flawed).Int("no_room", room).
		Int64("held_bytes", pol.book.Held(bat.Maker.ID)).Int("waiting", pol.book.Waiting()).
		Int64("took_ms", int64(took)).Int64("give_up_ms", int64(bat.GiveUp)).Msg("pieces called for")
}

// free gives results back.
func (pol *pool) free(list []Handle) {
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	for _, res := range list {
		pol.giveBack(res)
	}
}

// giveBack gathers results for one call to their maker. A call that fails is not
// repeated: the maker drops the result by itself after a while.
func (pol *pool) giveBack(res Handle) {
	if len(pol.freed[res.Addr]) == 0 {
		pol.set.After(max(freeAfter, pol.freeEach(res.Addr)), func() { pol.flush(res.Addr) })
	}
	pol.freed[res.Addr] = append(pol.freed[res.Addr], res.Name)
}

func (pol *pool) flush(addr string) {
	pol.mtx.Lock()
	list := pol.freed[addr]
	delete(pol.freed, addr)
	pol.takeFree(addr)
	pol.mtx.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), freeWait)
	defer cancel()
	if err := pol.set.Dialect.Free(ctx, pol.set.Client, addr, list); err != nil {
		pol.set.Log.Warn().Err(err).Str("pool", pol.name).Str("addr", addr).Int("results", len(list)).Msg("results were not given back")
		return
	}
	pol.mtx.Lock()
	defer pol.mtx.Unlock()
	// Only now is there room: a call that was made a moment sooner would find
	// none.
	for _, name := range list {
		pol.book.Free(name)
	}
	pol.run()
}
