package gather

import (
	"cmp"
	"math"
	"slices"

	"amaranthvalve/pkg/clock"
)

// Constants of the choice.
const (
	// speedShare is the weight of a new call in an endpoint's speed.
	speedShare = 0.3
	// fillShare is the weight of a new call in how full calls are.
	fillShare = 0.1
	// slowFrom is how many times its planned time an endpoint takes before it
	// is passed over while others will be free sooner.
	slowFrom = 1.6
	// speedHalf is the time after which half of an endpoint's slowness is
	// forgotten, so that one which nobody calls is tried again.
	speedHalf = 3000.0
	// benchFor is how long an endpoint that failed a call gets none; it doubles
	// with each failure in a row, up to maxBench.
	benchFor = 500 * clock.Milli(1)
	maxBench = 4 * clock.Second
	// hangFactor times the expected time of a call, and hangMargin beyond it,
	// is how long an answer is waited for. A silent endpoint looks like a slow
	// one until then.
	hangFactor = 3.0
	hangMargin = 300 * clock.Milli(1)
	// fullFor is how long an endpoint that had no room gets no call, unless
	// something is given back sooner.
	fullFor = 60 * clock.Milli(1)
	// lookAhead times the size of a call is how many of the most urgent pieces
	// are looked at for those of the endpoint's own data centre.
	lookAhead = 2
	// rankStep is how much earlier each step of priority makes a piece.
	rankStep = 300 * clock.Milli(1)
)

// Spec tells how each endpoint of the pool takes pieces.
type Spec struct {
	// Places is how many calls an endpoint works on at once.
	Places int
	// Most is the number of pieces in a call.
	Most int
	// Call is the time of a call and Item what each piece adds, in
	// milliseconds.
	Call float64
	Item float64
	// Room is what an endpoint holds of results, in bytes; zero for no bound.
	Room int64
	// Keep is how long a result is held that nobody gives back.
	Keep clock.Milli
}

// Time gives the planned time of a call of n pieces.
func (spc Spec) Time(n int) clock.Milli {
	return clock.Milli(spc.Call + spc.Item*float64(n))
}

// Maker is an endpoint that makes pieces.
type Maker struct {
	ID      string
	Addr    string
	Zone    string
	Leaving bool
}

// Piece is one piece of one stage of one request.
type Piece struct {
	// ID is given by whoever adds the piece and names it in all that follows.
	ID int64
	// Job is the order that the piece belongs to: pieces of one stage of one
	// request, which is not done before all of them are made.
	Job int64
	// Due is the instant by which the piece must be made for its request to be
	// in time; Until the one after which it is of no use at all.
	Due   clock.Milli
	Until clock.Milli
	// Rank is the request's priority, 0 first.
	Rank int
	// Zone is where the piece should be made, for what it takes or for who takes
	// it; empty if that matters not. Until Choosy the piece waits for an endpoint
	// there.
	Zone   string
	Choosy clock.Milli
	// Bytes is the rough size of the result.
	Bytes int64
}

// Batch is a call to be made.
type Batch struct {
	ID     int64
	Maker  Maker
	Pieces []Piece
	// GiveUp is how long to wait for the answer.
	GiveUp clock.Milli
}

// Result is a piece that was made and takes room until it is given back.
type Result struct {
	Handle string
	Bytes  int64
}

// Verdict tells how a call ended.
type Verdict int

// The verdicts.
const (
	// Made: the endpoint answered, whatever it said of each piece.
	Made Verdict = iota
	// Full: it had no place for the call.
	Full
	// Failed: no answer, or nonsense.
	Failed
	// GivenUp: we ended the call ourselves; nothing is learned.
	GivenUp
)

type maker struct {
	Maker
	calls    int
	held     int64
	speed    float64
	speedAt  clock.Milli
	failures int
	closed   clock.Milli
	// full is until when the endpoint has no room, by its own word.
	full clock.Milli
}

// slowness gives how many times its planned time the endpoint's calls take.
func (mkr *maker) slowness(now clock.Milli) float64 {
	if mkr.speed <= 1 {
		return mkr.speed
	}
	return 1 + (mkr.speed-1)*math.Exp2(-float64(now-mkr.speedAt)/speedHalf)
}

func (mkr *maker) setSpeed(speed float64, now clock.Milli) { mkr.speed, mkr.speedAt = speed, now }

type call struct {
	maker  *maker
	count  int
	bytes  int64
	began  clock.Milli
	expect clock.Milli
}

type held struct {
	maker *maker
	bytes int64
	until clock.Milli
}

// Book is what an instance that gathers a pool knows of it. The zero value is an
// empty pool. It is not safe for concurrent use.
type Book struct {
	spec    Spec
	makers  []*maker
	byID    map[string]*maker
	waiting []Piece
	calls   map[int64]*call
	results map[string]held
	next    int64
	// filled is the mean number of pieces of calls that were begun while there
	// were enough to fill them.
	filled float64
}

// Set gives the pool's specification.
func (bk *Book) Set(spc Spec) { bk.spec = spc }

// Sync makes the book hold just these endpoints; what is known of those that
// stay is kept. One that was heard to be leaving stays so.
func (bk *Book) Sync(list []Maker) {
	byID := make(map[string]*maker, len(list))
	makers := make([]*maker, 0, len(list))
	for _, mkr := range list {
		cur, ok := bk.byID[mkr.ID]
		if !ok {
			cur = &maker{speed: 1}
		}
		leaving := cur.Leaving || mkr.Leaving
		cur.Maker = mkr
		cur.Leaving = leaving
		byID[mkr.ID] = cur
		makers = append(makers, cur)
	}
	bk.makers, bk.byID = makers, byID
}

// Leave notes that an endpoint is leaving.
func (bk *Book) Leave(id string) {
	if mkr, ok := bk.byID[id]; ok {
		mkr.Leaving = true
	}
}

// Add takes a piece that waits from now on.
func (bk *Book) Add(pc Piece) { bk.waiting = append(bk.waiting, pc) }

// Remove takes a piece out that nobody wants any more; false if it doesn't wait.
func (bk *Book) Remove(id int64) bool {
	before := len(bk.waiting)
	bk.waiting = slices.DeleteFunc(bk.waiting, func(pc Piece) bool { return pc.ID == id })
	return before > len(bk.waiting)
}

// Expired takes out the pieces that can't be made in any use of time and gives
// them.
func (bk *Book) Expired(now clock.Milli) []Piece {
	var gone []Piece
	bk.waiting = slices.DeleteFunc(bk.waiting, func(pc Piece) bool {
		if now+bk.spec.Time(1) <= pc.Until {
			return false
		}
		gone = append(gone, pc)
		return true
	})
	return gone
}

// Waiting gives the number of pieces that wait.
func (bk *Book) Waiting() int { return len(bk.waiting) }

// Usable counts the endpoints that get calls at all.
func (bk *Book) Usable() int {
	n := 0
	for _, mkr := range bk.makers {
		if !mkr.Leaving {
			n++
		}
	}
	return n
}

// Wait estimates how long a piece that is added now waits until its call begins:
// the calls under way, and the pieces that can still be in time, in calls as full
// as they can be. Those that are late already let it pass.
func (bk *Book) Wait(now clock.Milli) clock.Milli {
	rate := 0.0
	soonest := clock.Milli(-1)
	for _, mkr := range bk.makers {
		if mkr.Leaving || now < mkr.closed {
			continue
		}
		rate += float64(max(bk.spec.Places, 1)) / mkr.slowness(now)
		if left := bk.left(mkr, now); soonest < 0 || left < soonest {
			soonest = left
		}
	}
	if rate == 0 {
		return maxBench
	}
	fill := bk.fullness()
	full := float64(bk.spec.Time(int(fill)))
	ahead := 0
	for _, pc := range bk.waiting {
		if now+bk.spec.Time(1) <= pc.Due {
			ahead++
		}
	}
	calls := float64(ahead) / fill
	return soonest + clock.Milli(calls*full/rate)
}

// fullness gives how many pieces calls hold while there are more than enough: fewer
// than they could where room is short.
func (bk *Book) fullness() float64 {
	if bk.filled == 0 {
		return float64(max(bk.spec.Most, 1))
	}
	return max(bk.filled, 1)
}

// left gives the time until an endpoint's next place comes free.
func (bk *Book) left(mkr *maker, now clock.Milli) clock.Milli {
	if mkr.calls < max(bk.spec.Places, 1) {
		return 0
	}
	soonest := clock.Milli(0)
	for _, cl := range bk.calls {
		if cl.maker != mkr {
			continue
		}
		if left := max(cl.began+cl.expect-now, 1); soonest == 0 || left < soonest {
			soonest = left
		}
	}
	return soonest
}

// Next gives a call to be made now; false if there is nothing to do.
func (bk *Book) Next(now clock.Milli) (Batch, bool) {
	if len(bk.waiting) == 0 {
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
	if pc.Zone == "" || pc.Zone == mkr.Zone || now >= pc.Choosy {
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
}

// open lists the endpoints with a free place. A slow one is left out while a
// well one would have made the piece sooner.
func (bk *Book) open(now clock.Milli) []*maker {
	var free []*maker
	soonest := clock.Milli(-1)
	for _, mkr := range bk.makers {
		if mkr.Leaving || now < mkr.closed || now < mkr.full {
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
	return slices.DeleteFunc(free, func(mkr *maker) bool {
		return mkr.slowness(now) > slowFrom && clock.Milli(mkr.slowness(now)*float64(bk.spec.Time(1))) > soonest
	})
}

// sort puts the waiting pieces in their order: those that can still be in time
// by the instant at which they are due, then the others.
func (bk *Book) sort(now clock.Milli) {
	one := bk.spec.Time(1)
	slices.SortStableFunc(bk.waiting, func(x, y Piece) int {
		lateX, lateY := now+one > x.Due, now+one > y.Due
		if lateX != lateY {
			if lateX {
				return 1
			}
			return -1
		}
		return cmp.Compare(x.Due+clock.Milli(x.Rank)*rankStep, y.Due+clock.Milli(y.Rank)*rankStep)
	})
}

// choose takes, of the open endpoints, the one whose data centre most of the next
// call wants, among those that any of the most urgent pieces may go to now.
func (bk *Book) choose(open []*maker, now clock.Milli) *maker {
	next := bk.waiting[:min(len(bk.waiting), lookAhead*bk.spec.Most)]
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
	return mkr.held < than.held
}

func (bk *Book) fits(mkr *maker, taken int64, pc Piece) bool {
	return bk.spec.Room == 0 || mkr.held+taken+pc.Bytes <= bk.spec.Room
}

// fill takes pieces for a call: the most urgent job, then those of the next that
// want the endpoint's data centre or none, then the others that fit whole, and last
// parts of jobs if the call is still less than half full. A job that is split is
// done only with the later of its calls, and whoever takes its results fetches them
// from two places.
func (bk *Book) fill(mkr *maker, now clock.Milli) (Batch, bool) {
	look := slices.Clone(bk.waiting[:min(len(bk.waiting), lookAhead*bk.spec.Most)])
	look = slices.DeleteFunc(look, func(pc Piece) bool { return bk.waitsFor(pc, mkr, now) || !bk.fits(mkr, 0, pc) })
	if len(look) == 0 {
		return Batch{}, false
	}
	cl := filling{bk: bk, mkr: mkr, taken: map[int64]bool{}}
	jobs := jobsOf(look)
	cl.take(jobs[0])
	for _, near := range []bool{true, false} {
		for _, job := range jobs[1:] {
			if (job[0].Zone == "" || job[0].Zone == mkr.Zone) == near && cl.fits(job) {
				cl.take(job)
			}
		}
	}
	for _, job := range jobs[1:] {
		if 2*len(cl.pieces) < bk.spec.Most {
			cl.take(job)
		}
	}
	return bk.begin(mkr, cl, now)
}

// jobsOf groups pieces by their jobs, in the order of the first piece of each.
func jobsOf(list []Piece) [][]Piece {
	at := map[int64]int{}
	var jobs [][]Piece
	for _, pc := range list {
		i, ok := at[pc.Job]
		if !ok {
			i = len(jobs)
			at[pc.Job] = i
			jobs = append(jobs, nil)
		}
		jobs[i] = append(jobs[i], pc)
	}
	return jobs
}

// filling is a call that is being filled.
type filling struct {
	bk     *Book
	mkr    *maker
	pieces []Piece
	taken  map[int64]bool
	bytes  int64
}

// fits tells whether a whole job has place and room in the call.
func (cl *filling) fits(job []Piece) bool {
	var bytes int64
	for _, pc := range job {
		bytes += pc.Bytes
	}
	return len(cl.pieces)+len(job) <= cl.bk.spec.Most && cl.bk.fits(cl.mkr, cl.bytes+bytes, Piece{})
}

// take takes as much of a job as fits.
func (cl *filling) take(job []Piece) {
	for _, pc := range job {
		if len(cl.pieces) >= cl.bk.spec.Most || cl.taken[pc.ID] || !cl.bk.fits(cl.mkr, cl.bytes, pc) {
			continue
		}
		cl.taken[pc.ID] = true
		cl.bytes += pc.Bytes
		cl.pieces = append(cl.pieces, pc)
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
	return bat, true
}

// Ended notes the end of a call, with the results that it made.
func (bk *Book) Ended(id int64, ver Verdict, made []Result, now clock.Milli) {
	cl, ok := bk.calls[id]
	if !ok {
		return
	}
	delete(bk.calls, id)
	mkr := cl.maker
	mkr.calls--
	mkr.held -= cl.bytes
	if bk.results == nil {
		bk.results = map[string]held{}
	}
	for _, res := range made {
		bk.results[res.Handle] = held{maker: mkr, bytes: res.Bytes, until: now + bk.spec.Keep}
		mkr.held += res.Bytes
	}
	bk.judge(mkr, cl, ver, now)
}

func (bk *Book) judge(mkr *maker, cl *call, ver Verdict, now clock.Milli) {
	switch ver {
	case Made:
		mkr.failures = 0
		ratio := float64(max(now-cl.began, 1)) / float64(max(bk.spec.Time(cl.count), 1))
		was := mkr.slowness(now)
		mkr.setSpeed(was+speedShare*(max(ratio, 0.5)-was), now)
	case Full:
		// Somebody else gathers here too, or calls of the one before us are
		// still under way; half a call later a place may be free.
		mkr.closed = now + bk.spec.Time(1)/2
	case Failed:
		// No answer says that a call takes at least so long.
		mkr.setSpeed(max(mkr.slowness(now), float64(now-cl.began)/float64(max(bk.spec.Time(cl.count), 1))), now)
		mkr.closed = now + min(benchFor<<min(mkr.failures, 5), maxBench)
		mkr.failures++
	case GivenUp:
	}
}

// Full notes that an endpoint had no room for a piece. Sizes are rough, and another
// instance may hold results there: whatever our count says, more is not tried until
// something was given back or a moment has passed.
func (bk *Book) Full(id string, now clock.Milli) {
	if mkr, ok := bk.byID[id]; ok {
		mkr.full = now + fullFor
	}
}

// Free notes that a result was given back, and tells whose it was; false if it
// is not known here.
func (bk *Book) Free(handle string) (Maker, bool) {
	res, ok := bk.results[handle]
	if !ok {
		return Maker{}, false
	}
	res.maker.held -= res.bytes
	res.maker.full = 0
	delete(bk.results, handle)
	return res.maker.Maker, true
}

// Held gives the bytes of results that an endpoint holds, as far as known.
func (bk *Book) Held(id string) int64 {
	if mkr, ok := bk.byID[id]; ok {
		return mkr.held
	}
	return 0
}
