package front

import (
	"slices"

	"amaranthvalve/internal/batch"
	"amaranthvalve/pkg/clock"
)

const (
	// nearFrom is how many bytes a piece must spare between data centres to be
	// made in a certain one; below it, which endpoint is free first matters more.
	nearFrom = 128 << 10
	// allStages stands for all of a request's results.
	allStages = -1
	// heavyShare of a maker's room is what the results of a stage must take to be given
	// back as soon as they were fetched. Lighter ones are held until the call that takes
	// them has ended: should it find no room, or its endpoint die, it can be made again.
	heavyShare = 0.01
)

// made are results that were made for a request and take room until given back.
type made struct {
	pool  string
	stage int
	list  []batch.Handle
	home  string
	// at is when they were made.
	at clock.Milli
}

// never is an instant after all others.
const never = clock.Milli(1 << 62)

// lapses gives the instant by which a stage must be made, because a result that it
// takes is held no longer by its maker. A piece that waits beyond it would have its call's
// time and find nothing.
func (cl *call) lapses(stg int) clock.Milli {
	first := never
	for _, mad := range cl.made {
		if !slices.Contains(cl.route.Graph().After(stg), mad.stage) {
			continue
		}
		if spc := cl.batchOf(mad.stage); spc != nil && spc.Keep > 0 {
			first = min(first, mad.at+spc.Keep)
		}
	}
	return first
}

// near gives the data centre in which a stage's pieces should be made: the one that
// spares most bytes between data centres. Each piece fetches all results that its
// stage takes, and those of the last stages are fetched by the model engine.
func (cl *call) near(stg int) string {
	raw := cl.route.Stages()[stg]
	pull := map[string]int64{}
	if cl.route.Graph().IsLeaf(stg) {
		pull[cl.engine.Zone] += raw.Bytes
	}
	for _, mad := range cl.made {
		if !slices.Contains(raw.After, mad.stage) {
			continue
		}
		for _, res := range mad.list {
			pull[res.Zone] += cl.route.Stages()[mad.stage].Bytes
		}
	}
	zone, _ := heaviest(pull, nearFrom-1)
	return zone
}

// pull gives the data centre in which most of what the final call takes lies, and how much
// that is.
func (cl *call) pull() (zone string, bytes int64) {
	pull := map[string]int64{}
	for _, mad := range cl.made {
		if !cl.route.Graph().IsLeaf(mad.stage) {
			continue
		}
		for _, res := range mad.list {
			pull[res.Zone] += cl.route.Stages()[mad.stage].Bytes
		}
	}
	return heaviest(pull, 0)
}

// heaviest gives the data centre with the most bytes, if these are more than least; of two
// with the same the first by name.
func heaviest(pull map[string]int64, least int64) (zone string, bytes int64) {
	bytes = least
	for name, sum := range pull {
		if sum > bytes || sum == bytes && zone != "" && name < zone {
			zone, bytes = name, sum
		}
	}
	return zone, bytes
}

// handles lists the results of stages, in the order of the stages and pieces.
func (cl *call) handles(stages []int) []string {
	var names []string
	for _, stg := range slices.Sorted(slices.Values(stages)) {
		for _, mad := range cl.made {
			if mad.stage != stg {
				continue
			}
			for _, res := range mad.list {
				names = append(names, res.Name)
			}
		}
	}
	return names
}

// weight gives the bytes of the results of stages.
func (cl *call) weight(stages []int) int64 {
	var bytes int64
	for _, mad := range cl.made {
		if slices.Contains(stages, mad.stage) {
			bytes += int64(len(mad.list)) * cl.route.Stages()[mad.stage].Bytes
		}
	}
	return bytes
}

// lots lists the results of stages with those who had them made.
func (cl *call) lots(stages []int) []batch.Lot {
	var lots []batch.Lot
	for _, mad := range cl.made {
		if slices.Contains(stages, mad.stage) {
			lots = append(lots, batch.Lot{Home: mad.home, Freed: batch.Freed{Pool: mad.pool, Results: mad.list}})
		}
	}
	return lots
}

// forget drops the results of stages that were given back by others.
func (cl *call) forget(stages []int) {
	cl.mtx.Lock()
	defer cl.mtx.Unlock()
	cl.made = slices.DeleteFunc(cl.made, func(mad made) bool { return slices.Contains(stages, mad.stage) })
}

// heavy lists those of the stages whose results take room worth speaking of.
func (cl *call) heavy(stages []int) []int {
	return slices.DeleteFunc(slices.Clone(stages), func(stg int) bool {
		spc := cl.batchOf(stg)
		return spc != nil && float64(cl.weight([]int{stg})) < heavyShare*float64(spc.Room)
	})
}

// holdsOf tells whether the results of a stage are still held.
func (cl *call) holdsOf(stg int) bool {
	return slices.ContainsFunc(cl.made, func(mad made) bool { return mad.stage == stg })
}

// holds tells whether any of a request's results are still held.
func (cl *call) holds() bool {
	cl.mtx.Lock()
	defer cl.mtx.Unlock()
	return len(cl.made) > 0
}

// giveBack gives back a stage's results, or all.
func (fr *Front) giveBack(cl *call, stg int) {
	cl.mtx.Lock()
	defer cl.mtx.Unlock()
	cl.made = slices.DeleteFunc(cl.made, func(mad made) bool {
		if stg != allStages && mad.stage != stg {
			return false
		}
		fr.homes.Free(mad.home, batch.Freed{Pool: mad.pool, Results: mad.list})
		return true
	})
}
