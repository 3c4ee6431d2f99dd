package gather

import "amaranthvalve/pkg/clock"

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
		mkr.answered(float64(max(now-cl.began, 1))/float64(max(bk.spec.Time(cl.count), 1)), now)
	case Full:
		// Somebody else gathers here too, or calls of the one before us are
		// still under way; half a call later a place may be free.
		mkr.closed = now + bk.spec.Time(1)/2
	case Failed:
		// No answer says that a call takes at least so long.
		mkr.setSpeed(max(mkr.slowness(now), float64(now-cl.began)/float64(max(bk.spec.Time(cl.count), 1))), now)
		mkr.guessed = true
		mkr.closed = now + min(benchFor<<min(mkr.failures, 5), maxBench)
		mkr.failures++
	case GivenUp:
	}
}

// Full notes that an endpoint had no room for a piece. Sizes are rough, and another
// instance may hold results there: whatever our count says, more is not tried until
// something was given back or a moment has passed. While there may be results from before
// this instance began, what our count lacks is taken for theirs for a while: after a loss of all,
// calls made for their room came back half refused until it lapsed, and jobs of which a part
// was made held what was left. Later it is only that sizes are rough.
func (bk *Book) Full(id string, now clock.Milli) {
	mkr, ok := bk.byID[id]
	if !ok {
		return
	}
	mkr.full = now + fullFor
	if bk.spec.Room > 0 && now < bk.alone {
		mkr.others = max(mkr.others, bk.spec.Room-mkr.held)
		mkr.othersUntil = max(mkr.othersUntil, now+othersFor)
	}
}

// Begin notes that this instance begins to gather the pool: for as long as results are held
// that nobody gives back, there may be some that are not known here.
func (bk *Book) Begin(now clock.Milli) { bk.alone = now + bk.spec.Keep }

// Told notes how many bytes of results an endpoint has room for by its own word. What is taken
// beyond what is known here was made for an instance that gathered before; it only shrinks,
// and is gone when results lapse. So a later word counts only if it tells of less: it is some
// hundred milliseconds old, and counts results of our own among the others' that were given
// back meanwhile. Told gives what is taken so.
func (bk *Book) Told(id string, free int64, now clock.Milli) int64 {
	mkr, ok := bk.byID[id]
	if !ok || bk.spec.Room == 0 {
		return 0
	}
	others := max(bk.spec.Room-free-mkr.held, 0)
	if now >= mkr.othersUntil {
		mkr.others, mkr.othersUntil = others, now+bk.spec.Keep
	}
	mkr.others = min(mkr.others, others)
	return mkr.others
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
