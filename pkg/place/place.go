package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
)

const (
	// wordHalf is the age at which an engine's own word on its load counts half.
	wordHalf = 500.0
	// failuresToBench in a row take an engine out for benchFor, doubled with
	// each further one up to maxBench.
	failuresToBench = 2
	benchFor        = clock.Second
	maxBench        = 8 * clock.Second
	// lastsGuess is how long a stream lasts for each token that it may make, in milliseconds,
	// before that was measured; lastsShare is the weight of a new measurement.
	lastsGuess = 2.0
	lastsShare = 0.05
	// sizeShare is the weight of a new request in the mean size.
	sizeShare = 0.01
	// lostAfter is how long a request is counted that was heard nothing of: the word on
	// its end was lost, or whoever sent it ended.
	lostAfter = 30 * clock.Second
)

// Engine is a model engine.
type Engine struct {
	// ID names one run of the engine, from its start to its end.
	ID      string
	Addr    string
	Zone    string
	Leaving bool
	// Places is how many requests it runs at once, Memory the tokens that these and
	// cached prompts share; zero for no bound.
	Places int
	Memory int
	// Fetches tells that it can fetch parts of prompts from other engines.
	Fetches bool
}

// run is a request at an engine.
type run struct {
	ticket string
	eng    *engine
	prompt Prompt
	// read are the tokens that have to be read, takes the time that it is expected to
	// take the engine.
	read  int
	takes float64
	// begun tells that its first event came.
	begun bool
	// alone tells that no other prompt was read at the engine since it was sent there.
	alone bool
	// beside is the longest prompt that was read at the engine since it began.
	beside int
	sent   clock.Milli
	began  clock.Milli
}

// engine is what is known of one engine.
type engine struct {
	Engine
	// hash is that of its name.
	hash uint64
	// runs are the requests there, in the order in which they were sent.
	runs []*run
	// others are requests that the engine has by its own word beyond these.
	others float64
	saidAt clock.Milli
	// headSince is since when it reads the first of its runs that hasn't begun.
	headSince clock.Milli
	held      held
	// disturbed tells how often prompts come that make the streams there late.
	disturbed frequency
	slow      slowness
	failures  int
	benched   clock.Milli
	probing   bool
}

// Book is what an instance knows of the engines of a pool. The zero value is an
// empty pool. It is not safe for concurrent use.
type Book struct {
	list []*engine
	byID map[string]*engine
	runs map[string]*run
	// firsts is the time to a first event by the tokens to read, for requests that were
	// alone; pauses the longest pause of a stream by the longest prompt that came beside it.
	firsts curve
	pauses curve
	// lasts is how long streams last, in milliseconds for each token that they may make.
	lasts float64
	// size is the mean size of requests.
	size float64
}

// Sync makes the book hold just these engines; what is known of those that stay
// is kept. One that was heard to be leaving stays so.
func (bk *Book) Sync(list []Engine) {
	byID := make(map[string]*engine, len(list))
	all := make([]*engine, 0, len(list))
	for _, eng := range list {
		cur, ok := bk.byID[eng.ID]
		if !ok {
			cur = &engine{hash: xxhash.Sum64String(eng.ID)}
		}
		leaving := cur.Leaving || eng.Leaving
		cur.Engine = eng
		cur.Leaving = leaving
		byID[eng.ID] = cur
		all = append(all, cur)
	}
	bk.list, bk.byID = all, byID
}

// Len gives the number of engines.
func (bk *Book) Len() int { return len(bk.list) }

// Find gives an engine by its name.
func (bk *Book) Find(id string) (Engine, bool) {
	eng, ok := bk.byID[id]
	if !ok {
		return Engine{}, false
	}
	return eng.Engine, true
}

// Usable tells whether an engine may still be sent work.
func (bk *Book) Usable(id string, now clock.Milli) bool {
	eng, ok := bk.byID[id]
	return ok && !eng.Leaving && now >= eng.benched
}

// Full tells whether all places of an engine are taken, as far as is known.
func (bk *Book) Full(id string, now clock.Milli) bool {
	eng, ok := bk.byID[id]
	return ok && eng.Places > 0 && eng.streams(now) >= float64(eng.Places)
}

// Begin notes that a request was sent to an engine; ticket names it in what follows. gap is
// the longest pause of streams that is on time there.
func (bk *Book) Begin(id, ticket string, prm Prompt, gap, now clock.Milli) {
	eng, ok := bk.byID[id]
	if !ok {
		return
	}
	read := max(prm.In-eng.held.tokens(prm, eng.Memory), 1)
	rn := &run{ticket: ticket, eng: eng, prompt: prm, read: read, takes: bk.takes(eng, read, now), sent: now, alone: true}
	for _, oth := range eng.runs {
		if !oth.begun {
			oth.alone, rn.alone = false, false
		}
	}
	if rn.alone {
		eng.headSince = now
	}
	if bk.disturbs(eng, prm, gap, now) {
		eng.disturbed.note(now)
	}
	if bk.size == 0 {
		bk.size = prm.size()
	}
	bk.size += sizeShare * (prm.size() - bk.size)
	eng.runs = append(eng.runs, rn)
	eng.probing = eng.benched > 0
	eng.held.use(prm.shared(), read+prm.Out)
	if bk.runs == nil {
		bk.runs = map[string]*run{}
	}
	bk.runs[ticket] = rn
}

// First notes that a request's first event came, and how long after it was sent.
func (bk *Book) First(ticket string, took, now clock.Milli) {
	rn, ok := bk.runs[ticket]
	if !ok || rn.begun {
		return
	}
	rn.begun, rn.began = true, now
	rn.eng.headSince = now
	for _, oth := range rn.eng.runs {
		if oth.begun && oth != rn {
			oth.beside = max(oth.beside, rn.prompt.In)
		}
	}
	if !rn.alone {
		return
	}
	if usual := bk.firsts.at(rn.read, 0); usual > 0 {
		rn.eng.slow.sample(float64(took)/usual, now)
	}
	bk.firsts.sample(rn.read, float64(took))
}

// Ending tells how a request at an engine ended.
type Ending int

// The endings.
const (
	// Well: the engine answered.
	Well Ending = iota
	// Ill: the engine failed it.
	Ill
	// Untold: it tells nothing of the engine's health.
	Untold
)

// End notes the end of a request, and the longest pause between events of its answer.
func (bk *Book) End(ticket string, end Ending, pause, now clock.Milli) {
	rn, ok := bk.runs[ticket]
	if !ok {
		return
	}
	eng := rn.eng
	bk.drop(rn, now)
	eng.probing = false
	if end == Well {
		eng.failures, eng.benched = 0, 0
		if rn.begun && rn.prompt.Out > 0 {
			bk.lasts = bk.lasting() + lastsShare*(float64(now-rn.began)/float64(rn.prompt.Out)-bk.lasting())
		}
		if rn.beside > 0 && pause > 0 {
			bk.pauses.sample(rn.beside, float64(pause)/eng.slow.now(now))
		}
	}
	if end != Ill {
		return
	}
	if eng.failures++; eng.failures >= failuresToBench {
		eng.benched = now + min(benchFor<<min(eng.failures-failuresToBench, 5), maxBench)
	}
}

// drop takes a request out.
func (bk *Book) drop(rn *run, now clock.Milli) {
	delete(bk.runs, rn.ticket)
	rn.eng.runs = slices.DeleteFunc(rn.eng.runs, func(oth *run) bool { return oth == rn })
	if !rn.begun {
		rn.eng.headSince = now
	}
}

// forget drops requests of which nothing was heard for too long.
func (bk *Book) forget(now clock.Milli) {
	for _, rn := range bk.runs {
		if now-rn.sent > lostAfter {
			bk.drop(rn, now)
		}
	}
}

// Holds notes what an engine said that it holds of prompts.
func (bk *Book) Holds(id string, parts []Part) {
	if eng, ok := bk.byID[id]; ok {
		eng.held.use(parts, 0)
	}
}

// Said notes an engine's own word: requests running and waiting there, of all
// instances.
func (bk *Book) Said(id string, load int, now clock.Milli) {
	if eng, ok := bk.byID[id]; ok {
		eng.others, eng.saidAt = max(0, float64(load-len(eng.runs))), now
	}
}

// Leave notes that an engine is leaving.
func (bk *Book) Leave(id string) {
	if eng, ok := bk.byID[id]; ok {
		eng.Leaving = true
	}
}

// lasting gives how long a stream lasts for each token that it may make.
func (bk *Book) lasting() float64 {
	if bk.lasts == 0 {
		return lastsGuess
	}
	return bk.lasts
}

// weight gives the size of a request against the mean.
func (bk *Book) weight(prm Prompt) float64 {
	if bk.size == 0 {
		return 1
	}
	return min(prm.size()/bk.size, sizeMost)
}

// weightAt gives the sizes of all requests at an engine against the mean. Those that are
// known by the engine's word alone count as of mean size.
func (bk *Book) weightAt(eng *engine, now clock.Milli) float64 {
	sum := eng.streams(now) - float64(len(eng.runs))
	for _, rn := range eng.runs {
		sum += bk.weight(rn.prompt)
	}
	return sum
}

// streams gives the requests at an engine.
func (eng *engine) streams(now clock.Milli) float64 {
	age := float64(max(now-eng.saidAt, 0))
	return float64(len(eng.runs)) + eng.others*wordHalf/(wordHalf+age)
}

// wait gives how long a prompt that comes now waits until it is read. The first one that is
// overdue is taken to need as long again: an engine that takes prompts and begins none would
// otherwise look idle.
func (eng *engine) wait(now clock.Milli) float64 {
	sum, first := 0.0, true
	for _, rn := range eng.runs {
		if rn.begun {
			continue
		}
		if first {
			since := float64(now - eng.headSince)
			sum, first = max(rn.takes-since, since-rn.takes), false
			continue
		}
		sum += rn.takes
	}
	return sum
}

// tokens gives the memory that the requests at an engine may come to need.
func (eng *engine) tokens() int {
	sum := 0
	for _, rn := range eng.runs {
		sum += rn.prompt.In + rn.prompt.Out
	}
	return sum
}
