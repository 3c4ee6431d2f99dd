package state

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/poison"
)

// Instances have no storage of their own, and all may end at once. New instances without facts
// would then admit the requests that crashed endpoints before, and join streams from two builds. So the facts behind
// quarantines and those on builds are written to the store beside the instance entries, which every starting instance reads.

const (
	// storeInterval is the minimum time between two writes.
	storeInterval = clock.Second
	// maxStoredFingerprints bounds the fingerprints that are written, maxStoredCrashes the crashes
	// of each.
	maxStoredFingerprints = 64
	maxStoredCrashes      = 6
)

// storedFacts are the facts as written to the store.
type storedFacts struct {
	// At is when they were written, by the writer's clock.
	At    clock.Milli   `cbor:"1,keyasint"`
	Facts []gossip.Fact `cbor:"2,keyasint"`
}

// storedState is what this instance knows of the facts in the store.
type storedState struct {
	// digest identifies the facts last read or written, wanted those that should be there.
	digest  uint64
	wanted  uint64
	wrote   clock.Milli
	writing bool
}

// loadStored merges the facts read from the store. They are not spread further, since all instances
// read them there.
func (fcl *factsCtl) loadStored(text []byte, now clock.Milli) {
	if fcl.stored.writing {
		return
	}
	var std storedFacts
	if len(text) > 0 {
		if err := cbor.Unmarshal(text, &std); err != nil {
			fcl.ctl.set.Log.Error().Err(err).Msg("facts in the store can't be decoded")
			return
		}
	}
	// The clocks of instances differ by some seconds.
	since := max(now-std.At, 0)
	for i := range std.Facts {
		std.Facts[i].Age += since
	}
	if fcl.spread.Receive(std.Facts, true, now) {
		fcl.refresh(now)
	}
	fcl.stored.digest, fcl.loaded = gossip.Digest(std.Facts), true
}

// factsToStore returns the facts that should be in the store: those on crashes that are behind quarantines, and
// those on builds.
func (fcl *factsCtl) factsToStore(crashes []gossip.Fact, now clock.Milli) []gossip.Fact {
	list := poison.QuarantineFacts(crashes, fcl.suspects, maxStoredFingerprints, maxStoredCrashes)
	return append(list, fcl.spread.All(gossip.ServedBuild, now)...)
}

// writeStored writes the facts for the store if those in the store differ; only the first
// reader does this.
func (fcl *factsCtl) writeStored(now clock.Milli) {
	std := &fcl.stored
	if std.wanted == std.digest || std.writing || now-std.wrote < storeInterval || fcl.ctl.docs.down || !fcl.ctl.announced.Load() || !fcl.ctl.isMaintainer() {
		return
	}
	list, digest := fcl.factsToStore(fcl.spread.All(gossip.CrashedUnder, now), now), std.wanted
	var text []byte
	if len(list) > 0 {
		var err error
		if text, err = cbor.Marshal(storedFacts{At: now, Facts: list}); err != nil {
			return
		}
	}
	std.writing, std.wrote = true, now
	fcl.ctl.loop.Go(func(ctx context.Context) {
		wctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		err := fcl.ctl.set.Store.PutShared(wctx, text)
		fcl.ctl.loop.Do(ctx, func(clock.Milli) {
			std.writing = false
			if err == nil {
				std.digest = digest
			}
			fcl.ctl.set.Log.Info().AnErr("error", err).Int("facts", len(list)).Int("bytes", len(text)).Msg("facts written to the store")
		})
	})
}
