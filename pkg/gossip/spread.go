package gossip

import "amaranthvalve/pkg/clock"

// MaxMessageFacts is the maximum number of facts in a message, some 80 B each.
const MaxMessageFacts = 64

// Spread selects the facts that an instance sends to its peers. The zero value has an empty
// table. It is not safe for concurrent use.
//
// New facts are sent to the neighbours at once, and forwarded by them unless all instances are
// neighbours. An instance that misses them because it was partitioned or started later gets them
// at the next probe, since probes and their replies carry digests.
type Spread struct {
	Table
	pending []Fact
}

// Enqueue queues facts that originate at this instance and are already in its table.
func (spr *Spread) Enqueue(fresh ...Fact) { spr.pending = append(spr.pending, fresh...) }

// Receive merges the facts of a message and reports whether any of them changed the table. With
// mesh set the originator sends to all instances itself, and the facts are not forwarded.
func (spr *Spread) Receive(list []Fact, mesh bool, now clock.Milli) bool {
	fresh := spr.Learn(list, now)
	if !mesh {
		spr.pending = append(spr.pending, fresh...)
	}
	return len(fresh) > 0
}

// Delta returns facts for an instance whose table has the given digest; none if the digests
// are equal.
func (spr *Spread) Delta(digest uint64, now clock.Milli) []Fact {
	if digest == spr.Digest() {
		return nil
	}
	return spr.Sample(MaxMessageFacts, now)
}

// Waiting reports whether facts are queued for the neighbours.
func (spr *Spread) Waiting() bool { return len(spr.pending) > 0 }

// Flush returns the queued facts in batches of one message each and empties the queue.
func (spr *Spread) Flush() [][]Fact {
	var parts [][]Fact
	for rest := spr.pending; len(rest) > 0; rest = rest[min(len(rest), MaxMessageFacts):] {
		parts = append(parts, rest[:min(len(rest), MaxMessageFacts)])
	}
	spr.pending = nil
	return parts
}
