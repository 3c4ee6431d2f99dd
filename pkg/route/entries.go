package route

import (
	"math/rand/v2"
	"slices"
)

// maxEntries is the number of addresses returned to a caller: one to use and
// alternatives for when it doesn't respond.
const maxEntries = 3

// Entry is an instance that callers can be directed to.
type Entry struct {
	Addr string
	Zone string
	// Boot identifies the process of the instance.
	Boot string
	// Load is the number of requests in flight that the instance last reported.
	Load int
}

// Entries selects the instances for a caller in a zone, the preferred one first. Callers
// cache the result, so those that ask at the same time must not all get the instance
// with the lowest load: the less loaded of two random ones is taken. Instances in the
// caller's data centre come first. The last entry is in another data centre if there is
// one, since a data centre may fail as a whole.
func Entries(cands []Entry, zone string, rng *rand.Rand) []Entry {
	local, remote := split(cands, zone)
	if len(local) == 0 {
		local, remote = remote, nil
	}
	first := draw(&local, rng)
	picked := slices.Concat(first, draw(&local, rng))
	picked = picked[:min(len(picked), maxEntries-1)]
	if other := draw(&remote, rng); len(other) > 0 {
		return append(picked, other...)
	}
	return append(picked, draw(&local, rng)...)
}

// split separates the candidates in a zone from the others; an empty zone includes all.
func split(cands []Entry, zone string) (local, remote []Entry) {
	for _, ent := range cands {
		if zone == "" || ent.Zone == zone {
			local = append(local, ent)
		} else {
			remote = append(remote, ent)
		}
	}
	return local, remote
}

// draw removes the less loaded of two random candidates from the list and returns it.
func draw(list *[]Entry, rng *rand.Rand) []Entry {
	if len(*list) == 0 {
		return nil
	}
	best := rng.IntN(len(*list))
	if oth := rng.IntN(len(*list)); (*list)[oth].Load < (*list)[best].Load {
		best = oth
	}
	ent := (*list)[best]
	*list = slices.Delete(slices.Clone(*list), best, best+1)
	return []Entry{ent}
}
