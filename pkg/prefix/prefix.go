package prefix

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
)

// Constants of the choice.
const (
	// loadBound times the mean load, and loadSlack requests beyond it, is what
	// an engine may have and still be taken for its prompts.
	loadBound = 1.5
	loadSlack = 4.0
	// wordHalf is the age at which an engine's own word counts half.
	wordHalf = 500.0
	// failuresToBench in a row take an engine out for benchFor, doubled with
	// each further one up to maxBench.
	failuresToBench = 2
	benchFor        = clock.Second
	maxBench        = 8 * clock.Second
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request asks a model engine to read and make.
type Prompt struct {
	// Parts are in order; the last is the request's own.
	Parts []Part
	// In and Out are the tokens to read, and to make at the most.
	In  int
	Out int
}

// Key names the shared parts; empty if nothing is shared.
func (prm Prompt) Key() string {
	if len(prm.Parts) < 2 {
		return ""
	}
	key := ""
	for _, prt := range prm.Parts[:len(prm.Parts)-1] {
		key += prt.ID + ":" + strconv.Itoa(prt.Tokens) + ","
	}
	return key
}

// Engine is a model engine.
type Engine struct {
	ID      string
	Addr    string
	Zone    string
	Places  int
	Leaving bool
}

type engine struct {
	Engine
	// hash is that of its name.
	hash     uint64
	mine     int
	others   float64
	saidAt   clock.Milli
	failures int
	benched  clock.Milli
	probing  bool
}

// Book is what one instance knows of the engines of a pool. The zero value is an
// empty pool. It is not safe for concurrent use.
type Book struct {
	list []*engine
	byID map[string]*engine
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

// Pick chooses an engine for a prompt, without those in avoid. salt spreads
// prompts that share nothing. It takes no place: see [Book.Begin].
//
// It is the engine that ranks first for the prompt, by rendezvous hashing, among those
// that are loaded little enough; if none is, the least loaded.
func (bk *Book) Pick(prm Prompt, salt string, avoid []string, now clock.Milli) (Engine, bool) {
	open := bk.open(avoid, now)
	if len(open) == 0 {
		return Engine{}, false
	}
	key := prm.Key()
	if key == "" {
		key = salt
	}
	hash := xxhash.Sum64String(key)
	bound := bk.bound(open, now)
	var first, least *engine
	for _, eng := range open {
		load := eng.load(now)
		if least == nil || load < least.load(now) {
			least = eng
		}
		if load > bound || eng.Places > 0 && load >= float64(eng.Places) {
			continue
		}
		if first == nil || mixed(hash, eng.hash) > mixed(hash, first.hash) {
			first = eng
		}
	}
	if first == nil {
		first = least
	}
	return first.Engine, true
}

// bound gives the load up to which engines are taken for their prompts.
func (bk *Book) bound(open []*engine, now clock.Milli) float64 {
	sum := 0.0
	for _, eng := range open {
		sum += eng.load(now)
	}
	return loadBound*sum/float64(len(open)) + loadSlack
}

// mixed gives the rank of an engine for a prompt from the hashes of both, by the
// finalizer of SplitMix64 (G. Steele and others, "Fast splittable pseudorandom number
// generators", 2014). Hashing the two names together for each engine took 2.5 ms with
// 1,600 engines.
func mixed(prompt, engine uint64) uint64 {
	val := prompt ^ engine
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}

// open lists the engines that may be taken: those that are well, or, if there is
// none, whatever doesn't leave.
func (bk *Book) open(avoid []string, now clock.Milli) []*engine {
	var well, ill []*engine
	for _, eng := range bk.list {
		if eng.Leaving || slices.Contains(avoid, eng.ID) {
			continue
		}
		if now < eng.benched || eng.benched > 0 && eng.probing {
			ill = append(ill, eng)
			continue
		}
		well = append(well, eng)
	}
	if len(well) == 0 {
		return ill
	}
	return well
}

func (eng *engine) load(now clock.Milli) float64 {
	age := float64(max(now-eng.saidAt, 0))
	return float64(eng.mine) + eng.others*wordHalf/(wordHalf+age)
}

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
	return ok && eng.Places > 0 && eng.load(now) >= float64(eng.Places)
}

// Begin notes that a request was sent to an engine.
func (bk *Book) Begin(id string) {
	if eng, ok := bk.byID[id]; ok {
		eng.mine++
		eng.probing = eng.benched > 0
	}
}

// End notes the end of a request that [Book.Begin] was told of.
func (bk *Book) End(id string, well bool, now clock.Milli) {
	eng, ok := bk.byID[id]
	if !ok {
		return
	}
	eng.mine = max(eng.mine-1, 0)
	eng.probing = false
	if well {
		eng.failures, eng.benched = 0, 0
		return
	}
	if eng.failures++; eng.failures >= failuresToBench {
		eng.benched = now + min(benchFor<<min(eng.failures-failuresToBench, 5), maxBench)
	}
}

// Drop notes the end of a request that tells nothing of the engine's health.
func (bk *Book) Drop(id string) {
	if eng, ok := bk.byID[id]; ok {
		eng.mine = max(eng.mine-1, 0)
		eng.probing = false
	}
}

// Said notes an engine's own word: requests running and waiting there, of all
// instances.
func (bk *Book) Said(id string, load int, now clock.Milli) {
	if eng, ok := bk.byID[id]; ok {
		eng.others, eng.saidAt = max(0, float64(load-eng.mine)), now
	}
}

// Leave notes that an engine is leaving.
func (bk *Book) Leave(id string) {
	if eng, ok := bk.byID[id]; ok {
		eng.Leaving = true
	}
}
