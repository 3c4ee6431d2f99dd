package gather

import (
	"cmp"
	"slices"

	"amaranthvalve/pkg/clock"
)

// Next gives a call to be made now; false if there is nothing to do.
func (bk *Book) Next(now clock.Milli) (Batch, bool) {
	if len(bk.waiting) == 0 || bk.Space(now) > 0 {
		return Batch{}, false
	}
	bk.forget(now)
	open := bk.open(now)
	if len(open) == 0 {
		return Batch{}, false
	}
	bk.sort(now)
	for len(open) > 0 {
		mkr := bk.choose(open, now)
		if mkr == nil {
			return Batch{}, false
		}
		if bat, ok := bk.fill(mkr, now); ok {
			return bat, true
		}
		open = slices.DeleteFunc(open, func(oth *maker) bool { return oth == mkr })
	}
	return Batch{}, false
}

// waitsFor tells whether a piece is still waiting for an endpoint of another data
// centre than this one.
func (bk *Book) waitsFor(pc Piece, mkr *maker, now clock.Milli) bool {
	if pc.Zone == "" || pc.Zone == mkr.Zone || now >= pc.NearUntil {
		return false
	}
	for _, oth := range bk.makers {
		if oth.Zone == pc.Zone && !oth.Leaving && now >= oth.closed && oth.slowness(now) <= slowFrom {
			return true
		}
	}
	return false
}

// forget drops results that their makers hold no longer.
func (bk *Book) forget(now clock.Milli) {
	for handle, res := range bk.results {
		if now > res.until {
			res.maker.held -= res.bytes
			delete(bk.results, handle)
		}
	}
	for _, mkr := range bk.makers {
		if now >= mkr.othersUntil {
			mkr.others = 0
		}
	}
}

// open lists the endpoints with a free place. A slow one is left out while the well ones
// would have made the piece sooner, with all that waits before it. Compared with the next
// free place alone, whichever of a large pool's, slow endpoints stood idle beside a long
// queue.
func (bk *Book) open(now clock.Milli) []*maker {
	var free []*maker
	soonest := clock.Milli(-1)
	for _, mkr := range bk.makers {
		if mkr.Leaving || now < mkr.closed || now < mkr.full || now < mkr.later {
			continue
		}
		done := bk.left(mkr, now) + clock.Milli(mkr.slowness(now)*float64(bk.spec.Time(1)))
		if soonest < 0 || done < soonest {
			soonest = done
		}
		if mkr.calls < max(bk.spec.Places, 1) {
			free = append(free, mkr)
		}
	}
	queued := bk.queued(now)
	return slices.DeleteFunc(free, func(mkr *maker) bool {
		return mkr.slowness(now) > slowFrom && clock.Milli(mkr.slowness(now)*float64(bk.spec.Time(1))) > soonest+queued
	})
}

// queued gives the time in which the pool begins what waits beyond one call.
func (bk *Book) queued(now clock.Milli) clock.Milli {
	beyond := len(bk.waiting) - bk.spec.Most
	rate, _ := bk.rate(now)
	if beyond <= 0 || rate == 0 {
		return 0
	}
	return clock.Milli(float64(beyond) * bk.each(rate))
}

// sort puts the waiting pieces in their order: the rests of jobs, then those that can
// still be in time, then the others; among each the earliest due first.
//
// Rests go first even if they are late. The results of a job that was begun can't be
// used, nor given back, before the last of its pieces is made. Behind all others the
// rests of late jobs waited until their time was up, while what had been made of them
// took the room that the others waited for: the pool stood still with its endpoints idle.
func (bk *Book) sort(now clock.Milli) {
	slices.SortStableFunc(bk.waiting, func(x, y Piece) int {
		if turnX, turnY := bk.turn(x, now), bk.turn(y, now); turnX != turnY {
			return cmp.Compare(turnX, turnY)
		}
		return cmp.Compare(x.Due+clock.Milli(x.Rank)*rankStep, y.Due+clock.Milli(y.Rank)*rankStep)
	})
}

// turn is which of the pieces go before which, whenever they are due.
type turn int

const (
	restTurn turn = iota
	timelyTurn
	lateTurn
)

func (bk *Book) turn(pc Piece, now clock.Milli) turn {
	switch {
	case pc.Rest:
		return restTurn
	case now+bk.spec.Time(1) <= pc.Due:
		return timelyTurn
	}
	return lateTurn
}

// choose takes, of the open endpoints, the one whose data centre most of the next
// call wants, among those that any of the most urgent pieces may go to now.
func (bk *Book) choose(open []*maker, now clock.Milli) *maker {
	next := bk.ahead()
	var best *maker
	bestFor := -1
	for _, mkr := range open {
		wanted, able := 0, false
		for _, pc := range next {
			if bk.waitsFor(pc, mkr, now) || !bk.fits(mkr, 0, pc) {
				continue
			}
			able = true
			if pc.Zone == mkr.Zone {
				wanted++
			}
		}
		if !able {
			continue
		}
		if wanted > bestFor || wanted == bestFor && better(mkr, best, now) {
			best, bestFor = mkr, wanted
		}
	}
	return best
}

// better tells which of two endpoints that are wanted alike is taken.
func better(mkr, than *maker, now clock.Milli) bool {
	if mkr.slowness(now) != than.slowness(now) {
		return mkr.slowness(now) < than.slowness(now)
	}
	return mkr.held+mkr.others < than.held+than.others
}

func (bk *Book) fits(mkr *maker, taken int64, pc Piece) bool {
	return bk.spec.Room == 0 || mkr.held+mkr.others+taken+pc.Bytes <= bk.spec.Room
}

// ahead gives the most urgent of the sorted pieces that wait, up to the end of a job.
func (bk *Book) ahead() []Piece {
	n := min(len(bk.waiting), lookAhead*bk.spec.Most)
	for n > 0 && n < len(bk.waiting) && bk.waiting[n].Job == bk.waiting[n-1].Job {
		n++
	}
	return bk.waiting[:n]
}

// markRests marks what waits of jobs that a call has begun.
func (bk *Book) markRests(pieces []Piece) {
	begun := make(map[int64]bool, len(pieces))
	for _, pc := range pieces {
		begun[pc.Job] = true
	}
	for i := range bk.waiting {
		bk.waiting[i].Rest = bk.waiting[i].Rest || begun[bk.waiting[i].Job]
	}
}

// begin notes a call as begun.
func (bk *Book) begin(mkr *maker, cl filling, now clock.Milli) (Batch, bool) {
	bat := Batch{Maker: mkr.Maker, Pieces: cl.pieces}
	taken, bytes := cl.taken, cl.bytes
	if len(bat.Pieces) == 0 {
		return Batch{}, false
	}
	if len(bk.waiting) >= bk.spec.Most {
		bk.filled = bk.fullness() + fillShare*(float64(len(bat.Pieces))-bk.fullness())
	}
	bk.waiting = slices.DeleteFunc(bk.waiting, func(pc Piece) bool { return taken[pc.ID] })
	bk.markRests(cl.pieces)
	bk.pace.note(len(bat.Pieces), len(bk.waiting) >= bk.spec.Most, now)
	bk.next++
	bat.ID = bk.next
	expect := clock.Milli(mkr.slowness(now) * float64(bk.spec.Time(len(bat.Pieces))))
	bat.GiveUp = clock.Milli(hangFactor*float64(max(expect, bk.spec.Time(bk.spec.Most)))) + hangMargin
	if bk.calls == nil {
		bk.calls = map[int64]*call{}
	}
	bk.calls[bat.ID] = &call{maker: mkr, count: len(bat.Pieces), bytes: bytes, began: now, expect: expect}
	mkr.calls++
	mkr.held += bytes
	bk.spacing.note(bk.spec.Time(len(bat.Pieces)), now)
	return bat, true
}
