package route

import (
	"math/rand/v2"
	"slices"
)

// maxEntries is how many addresses an answer names: the one to use and others
// to go to when it does not answer.
const maxEntries = 3

// Entry is an instance that callers may be sent to.
type Entry struct {
	Addr string
	Zone string
	// Boot is the number of the process there.
	Boot string
	// Load is the requests under way at the instance, as it last said.
	Load int
}

// Entries answers "which address" for a caller in a zone. The caller keeps the
// answer, so that whoever asks in one moment must not all be told the same one,
// however good it looks: of two drawn at random the less loaded comes first.
// Instances in the caller's own data centre go before others; the last entry is
// in another data centre if there is one, for a data centre may fail as a whole.
func Entries(cands []Entry, zone string, rng *rand.Rand) []Entry {
	near, far := split(cands, zone)
	if len(near) == 0 {
		near, far = far, nil
	}
	first := draw(&near, rng)
	picked := slices.Concat(first, draw(&near, rng))
	picked = picked[:min(len(picked), maxEntries-1)]
	if other := draw(&far, rng); len(other) > 0 {
		return append(picked, other...)
	}
	return append(picked, draw(&near, rng)...)
}

func split(cands []Entry, zone string) (near, far []Entry) {
	for _, ent := range cands {
		if zone == "" || ent.Zone == zone {
			near = append(near, ent)
		} else {
			far = append(far, ent)
		}
	}
	return near, far
}

// draw takes the less loaded of two random candidates out of the list.
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
