package state

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/pkg/rumor"
)

// Instances keep nothing, and all may end at once. What ended endpoints before would do so
// again then, under instances that have heard of nothing. So the facts by which requests are
// quarantined lie in the store beside the instances' lines, which whoever starts reads.

const (
	// keepAgain is the time between two writes.
	keepAgain = clock.Second
	// keptMarks and keptEnds bound what is written: requests, and ends of each.
	keptMarks = 64
	keptEnds  = 6
)

// keptFacts are the facts as they lie in the store.
type keptFacts struct {
	// At is when they were written, by the writer's clock.
	At    clock.Milli  `cbor:"1,keyasint"`
	Facts []rumor.Fact `cbor:"2,keyasint"`
}

// kept is what this instance knows of the facts in the store.
type kept struct {
	// digest names those that were read or written last, wanted those that should lie there.
	digest  uint64
	wanted  uint64
	wrote   clock.Milli
	writing bool
}

// readKept takes the facts that lie in the store. All instances read them there, so that they
// aren't passed on.
func (fcl *factsCtl) readKept(text []byte, now clock.Milli) {
	if fcl.kept.writing {
		return
	}
	var kpt keptFacts
	if len(text) > 0 {
		if err := cbor.Unmarshal(text, &kpt); err != nil {
			fcl.ctl.set.Log.Error().Err(err).Msg("the facts in the store can't be read")
			return
		}
	}
	// The clocks of instances differ by some seconds.
	since := max(now-kpt.At, 0)
	for i := range kpt.Facts {
		kpt.Facts[i].Age += since
	}
	if fcl.spread.Told(kpt.Facts, true, now) {
		fcl.read(now)
	}
	fcl.kept.digest = rumor.Digest(kpt.Facts)
}

// keeps gives the facts that should lie in the store.
func (fcl *factsCtl) keeps(now clock.Milli) []rumor.Fact {
	return poison.Quarantining(fcl.spread.All(rumor.EndedUnder, now), fcl.suspects, keptMarks, keptEnds)
}

// keep has the first of the readers write the facts on quarantined requests if others lie in
// the store.
func (fcl *factsCtl) keep(now clock.Milli) {
	kpt := &fcl.kept
	if kpt.wanted == kpt.digest || kpt.writing || now-kpt.wrote < keepAgain || fcl.ctl.docs.down || !fcl.ctl.announced.Load() || !fcl.ctl.looksForAll() {
		return
	}
	list, digest := fcl.keeps(now), kpt.wanted
	var text []byte
	if len(list) > 0 {
		var err error
		if text, err = cbor.Marshal(keptFacts{At: now, Facts: list}); err != nil {
			return
		}
	}
	kpt.writing, kpt.wrote = true, now
	fcl.ctl.loop.Go(func(ctx context.Context) {
		wctx, cancel := context.WithTimeout(ctx, readWait)
		defer cancel()
		err := fcl.ctl.set.Store.Keep(wctx, text)
		fcl.ctl.loop.Do(ctx, func(clock.Milli) {
			kpt.writing = false
			if err == nil {
				kpt.digest = digest
			}
			fcl.ctl.set.Log.Info().AnErr("error", err).Int("facts", len(list)).Int("bytes", len(text)).Msg("facts kept in the store")
		})
	})
}
