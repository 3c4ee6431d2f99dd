package reach

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

const (
	// maxRelays is the number of instances that one instance uses as relays: each needs a connection
	// that is kept alive.
	maxRelays = 8
	// maxTries is the number of relays tried for a connection.
	maxTries = 6
	// farCost is the cost of a relay in a third data centre relative to one in that of the instance or
	// the endpoint: connections through it cross between data centres twice.
	farCost = 1.5
	// avoidFor is how long a relay is avoided that turned out to be blind, busy or unresponsive.
	avoidFor = 2 * clock.Second
)

// Relay is an instance that may relay connections.
type Relay struct {
	ID   ident.Incarnation
	Zone string
	// Load is the number of requests in flight that it reported, Capacity its size in cores.
	Load     int
	Capacity float64
}

// Relays chooses relays. The zero value has used none. It is not safe for concurrent use.
type Relays struct {
	// open counts this instance's connections through each relay.
	open         map[ident.Incarnation]int
	avoidedUntil map[ident.Incarnation]clock.Milli
}

// Opened and Closed count a connection through a relay.
func (rls *Relays) Opened(who ident.Incarnation) {
	if rls.open == nil {
		rls.open = map[ident.Incarnation]int{}
	}
	rls.open[who]++
}

// Closed counts the end of a connection through a relay.
func (rls *Relays) Closed(who ident.Incarnation) {
	if rls.open[who]--; rls.open[who] <= 0 {
		delete(rls.open, who)
	}
}

// Avoid has a relay avoided for a while.
func (rls *Relays) Avoid(who ident.Incarnation, now clock.Milli) {
	if rls.avoidedUntil == nil {
		rls.avoidedUntil = map[ident.Incarnation]clock.Milli{}
	}
	for oth, until := range rls.avoidedUntil {
		if now >= until {
			delete(rls.avoidedUntil, oth)
		}
	}
	rls.avoidedUntil[who] = now + avoidFor
}

// Choose returns the relays to try for a connection, in order. zones are the data centres of this
// instance, self, and of the endpoint. The first one is the cheaper of two random ones: the loads are
// some time old, and the instances of a partitioned data centre must not all choose the same relay.
func (rls *Relays) Choose(self ident.Incarnation, cands []Relay, zones []string, rng *rand.Rand, now clock.Milli) []Relay {
	cands = slices.DeleteFunc(slices.Clone(cands), func(rel Relay) bool { return now < rls.avoidedUntil[rel.ID] })
	set := usedBy(self, cands, zones)
	if len(set) == 0 {
		return nil
	}
	slices.SortStableFunc(set, func(x, y Relay) int { return cmp.Compare(rls.cost(x, zones), rls.cost(y, zones)) })
	first := min(rng.IntN(len(set)), rng.IntN(len(set)))
	set = slices.Concat(set[first:first+1], set[:first], set[first+1:])
	return set[:min(len(set), maxTries)]
}

// cost is the load of a relay with one more connection, by its capacity.
func (rls *Relays) cost(rel Relay, zones []string) float64 {
	cost := float64(rel.Load+rls.open[rel.ID]+1) / max(rel.Capacity, 0.1)
	if !slices.Contains(zones, rel.Zone) {
		cost *= farCost
	}
	return cost
}

// usedBy returns the candidates that an instance uses, by weighted rendezvous hashing (as in package
// member) so that each is used by about as many instances, one in a third data centre by fewer.
func usedBy(self ident.Incarnation, cands []Relay, zones []string) []Relay {
	if len(cands) <= maxRelays {
		return cands
	}
	scores := make(map[ident.Incarnation]float64, len(cands))
	for _, rel := range cands {
		hash := xxhash.Sum64String(string(self) + "\x00" + string(rel.ID))
		scores[rel.ID] = -1 / math.Log((float64(hash>>11)+0.5)/(1<<53))
		if !slices.Contains(zones, rel.Zone) {
			scores[rel.ID] /= farCost
		}
	}
	slices.SortFunc(cands, func(x, y Relay) int { return cmp.Compare(scores[y.ID], scores[x.ID]) })
	return cands[:maxRelays]
}
