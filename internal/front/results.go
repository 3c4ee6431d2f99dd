package front

import (
	"slices"

	"amaranthvalve/internal/batch"
	"amaranthvalve/pkg/clock"
)

const (
	// minZoneBytes is the traffic between data centres that an item must save to be placed in a
	// certain one; below it, the endpoint that is free first matters more.
	minZoneBytes = 128 << 10
	// allStages selects the results of all stages of a request.
	allStages = -1
	// earlyReleaseShare is the share of an endpoint's result storage above which the results of
	// a stage are released as soon as they have been fetched. Smaller ones are held until the
	// batch that takes them has ended: if that batch finds no storage, or its endpoint crashes, it
	// can be repeated.
	earlyReleaseShare = 0.01
)

// stageResults are results that were made for a request and take storage until released.
type stageResults struct {
	pool        string
	stage       int
	handles     []batch.Handle
	coordinator string
	madeAt      clock.Milli
}

// farFuture is a time after all others.
const farFuture = clock.Milli(1 << 62)

// inputsExpire returns the time by which a stage must be done, because the TTL of one of its
// inputs ends then. An item that waits longer would take the time of a call and find its input gone.
func (cl *call) inputsExpire(stg int) clock.Milli {
	first := farFuture
	for _, srs := range cl.results {
		if !slices.Contains(cl.route.Graph().After(stg), srs.stage) {
			continue
		}
		if spc := cl.batchSpec(srs.stage); spc != nil && spc.ResultTTL > 0 {
			first = min(first, srs.madeAt+spc.ResultTTL)
		}
	}
	return first
}

// preferredZone returns the data centre in which a stage's items should be made: the one that saves
// most traffic between data centres. Each item fetches all inputs of its stage, and the results of
// the last stages are fetched by the model engine.
func (cl *call) preferredZone(stg int) string {
	raw := cl.route.Stages()[stg]
	byZone := map[string]int64{}
	if cl.route.Graph().IsLeaf(stg) {
		byZone[cl.engine.Zone] += raw.Bytes
	}
	for _, srs := range cl.results {
		if !slices.Contains(raw.After, srs.stage) {
			continue
		}
		for _, res := range srs.handles {
			byZone[res.Zone] += cl.route.Stages()[srs.stage].Bytes
		}
	}
	zone, _ := heaviest(byZone, minZoneBytes-1)
	return zone
}

// inputZone returns the data centre that holds most bytes of the final call's inputs, and how many
// that is.
func (cl *call) inputZone() (zone string, bytes int64) {
	byZone := map[string]int64{}
	for _, srs := range cl.results {
		if !cl.route.Graph().IsLeaf(srs.stage) {
			continue
		}
		for _, res := range srs.handles {
			byZone[res.Zone] += cl.route.Stages()[srs.stage].Bytes
		}
	}
	return heaviest(byZone, 0)
}

// heaviest returns the data centre with the most bytes, if these are more than least; of two with
// the same number, the first by name.
func heaviest(byZone map[string]int64, least int64) (zone string, bytes int64) {
	bytes = least
	for name, sum := range byZone {
		if sum > bytes || sum == bytes && zone != "" && name < zone {
			zone, bytes = name, sum
		}
	}
	return zone, bytes
}

// handleNames lists the handles of the results of stages, in the order of the stages and items.
func (cl *call) handleNames(stages []int) []string {
	var names []string
	for _, stg := range slices.Sorted(slices.Values(stages)) {
		for _, srs := range cl.results {
			if srs.stage != stg {
				continue
			}
			for _, res := range srs.handles {
				names = append(names, res.Name)
			}
		}
	}
	return names
}

// resultBytes returns the size of the results of stages, in bytes.
func (cl *call) resultBytes(stages []int) int64 {
	var bytes int64
	for _, srs := range cl.results {
		if slices.Contains(stages, srs.stage) {
			bytes += int64(len(srs.handles)) * cl.route.Stages()[srs.stage].Bytes
		}
	}
	return bytes
}

// resultSets lists the results of stages with the coordinators that had them made.
func (cl *call) resultSets(stages []int) []batch.ResultSet {
	var sets []batch.ResultSet
	for _, srs := range cl.results {
		if slices.Contains(stages, srs.stage) {
			sets = append(sets, batch.ResultSet{Coordinator: srs.coordinator, Release: batch.ReleaseRequest{Pool: srs.pool, Results: srs.handles}})
		}
	}
	return sets
}

// dropResults removes the results of stages that others have released.
func (cl *call) dropResults(stages []int) {
	cl.mtx.Lock()
	defer cl.mtx.Unlock()
	cl.results = slices.DeleteFunc(cl.results, func(srs stageResults) bool { return slices.Contains(stages, srs.stage) })
}

// releasedEarly selects those of the stages whose results are large enough to be released as soon
// as they have been fetched.
func (cl *call) releasedEarly(stages []int) []int {
	return slices.DeleteFunc(slices.Clone(stages), func(stg int) bool {
		spc := cl.batchSpec(stg)
		return spc != nil && float64(cl.resultBytes([]int{stg})) < earlyReleaseShare*float64(spc.ResultBytes)
	})
}

// hasResultsOf reports whether the results of a stage are still held.
func (cl *call) hasResultsOf(stg int) bool {
	return slices.ContainsFunc(cl.results, func(srs stageResults) bool { return srs.stage == stg })
}

// hasResults reports whether any of the request's results are still held.
func (cl *call) hasResults() bool {
	cl.mtx.Lock()
	defer cl.mtx.Unlock()
	return len(cl.results) > 0
}

// releaseResults releases the results of a stage, or of [allStages].
func (fr *Front) releaseResults(cl *call, stg int) {
	cl.mtx.Lock()
	defer cl.mtx.Unlock()
	cl.results = slices.DeleteFunc(cl.results, func(srs stageResults) bool {
		if stg != allStages && srs.stage != stg {
			return false
		}
		fr.coord.Release(srs.coordinator, batch.ReleaseRequest{Pool: srs.pool, Results: srs.handles})
		return true
	})
}
