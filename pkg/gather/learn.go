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
