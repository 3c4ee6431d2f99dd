package gather

import (
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
	// othersFor is how long room that a piece was refused for counts as taken by others.
	othersFor = clock.Second
	// lookAhead times the size of a call is how many of the most urgent pieces are
	// looked at for those of the endpoint's own data centre, and for such as fill the
	// call. The most urgent job goes whatever is found, so that none waits for long.
	lookAhead = 6
	// rankStep is how much earlier each step of priority makes a piece.
	rankStep = 300 * clock.Milli(1)
	// topWait is how far apart the calls of a pool may begin, in milliseconds, for a job to
	// be split in order to fill them.
	topWait = 30.0
	// topShare of an endpoint's room is the most that a call's results may take if the call is
	// to be filled with a part of a job: what is made of that job takes room until its rest
	// is made too.
	topShare = 0.5
	// wholeShare of an endpoint's room is the most that the results of a job may take
	// if it is to be made in one call. Larger ones would wait for long until so much
	// room is free at one endpoint, while small ones take each bit of it.
	wholeShare = 0.25
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
	// it; empty if that matters not. Until NearUntil the piece waits for an endpoint
	// there.
	Zone      string
	NearUntil clock.Milli
	// Bytes is the rough size of the result.
	Bytes int64
	// Rest tells that other pieces of its job are made or under way: their results
	// take room until this piece is made too.
	Rest bool
	// Alone tells that its job shares no call with others: an endpoint ended under it, and the
	// next one may too.
	Alone bool
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
	// others is what results take that are not known here, until othersUntil.
	others      int64
	othersUntil clock.Milli
	calls       int
	held        int64
	speed       float64
	speedAt     clock.Milli
	// guessed tells that the speed follows from an answer that didn't come.
	guessed  bool
	failures int
	closed   clock.Milli
	// later is the instant from which it may be called again.
	later clock.Milli
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

// answered takes how many times its planned time a call took that was answered. The first
// answer after one that didn't come counts alone: that may have been lost on its way, from
// an endpoint which is as fast as ever.
func (mkr *maker) answered(ratio float64, now clock.Milli) {
	was := mkr.slowness(now)
	share := speedShare
	if mkr.guessed {
		share = 1
	}
	mkr.guessed = false
	mkr.setSpeed(was+share*(max(ratio, 0.5)-was), now)
}

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
	filled  float64
	pace    pace
	spacing spacing
	// alone is the instant from which all results are known here.
	alone clock.Milli
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

// Hold keeps calls from an endpoint until an instant.
func (bk *Book) Hold(id string, until clock.Milli) {
	if mkr, ok := bk.byID[id]; ok {
		mkr.later = until
	}
}

// Add takes a piece that waits from now on. One that is alone makes its whole job so.
func (bk *Book) Add(pc Piece) {
	bk.waiting = append(bk.waiting, pc)
	for i := range bk.waiting {
		bk.waiting[i].Alone = bk.waiting[i].Alone || pc.Alone && bk.waiting[i].Job == pc.Job
	}
}

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

// Wait estimates how long a piece that is added now waits until its call begins: the
// calls under way, and the pieces that can still be in time, in calls as full as they
// can be or, if that is slower, at the pace that was seen. Those that are late already
// let it pass.
func (bk *Book) Wait(now clock.Milli) clock.Milli {
	rate, soonest := bk.rate(now)
	if rate == 0 {
		return maxBench
	}
	bk.pace.note(0, len(bk.waiting) >= bk.spec.Most, now)
	each := max(bk.each(rate), bk.pace.each())
	ahead := 0
	for _, pc := range bk.waiting {
		if now+bk.spec.Time(1) <= pc.Due {
			ahead++
		}
	}
	return soonest + clock.Milli(float64(ahead)*each)
}

// each gives the time in which so many places begin one more piece, in milliseconds.
func (bk *Book) each(rate float64) float64 {
	fill := bk.fullness()
	return float64(bk.spec.Time(int(fill))) / fill / rate
}

// rate gives the places that work on calls, slow ones counted less, and when the next
// one comes free.
func (bk *Book) rate(now clock.Milli) (rate float64, soonest clock.Milli) {
	soonest = -1
	for _, mkr := range bk.makers {
		if mkr.Leaving || now < mkr.closed || now < mkr.later {
			continue
		}
		rate += float64(max(bk.spec.Places, 1)) / mkr.slowness(now)
		if left := bk.left(mkr, now); soonest < 0 || left < soonest {
			soonest = left
		}
	}
	return rate, soonest
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
