package rumor

import "amaranthvalve/pkg/clock"

// Most bounds the facts in one message, some 80 B each.
const Most = 64

// Spread decides what an instance tells the others of its table. The zero value has an empty
// one. It is not safe for concurrent use.
//
// What is learned goes to the neighbours at once, and where not everybody is a neighbour on
// from there. Whoever hears nothing of it, since it was cut off or started later, is told at
// the next probe: probes and their answers carry digests.
type Spread struct {
	Table
	fresh []Fact
}

// Learned takes facts that this instance has learned by itself and set in its table.
func (spr *Spread) Learned(fresh ...Fact) { spr.fresh = append(spr.fresh, fresh...) }

// Told takes the facts of a message, and tells whether any was new. mesh tells that whoever
// learned them told all others itself.
func (spr *Spread) Told(list []Fact, mesh bool, now clock.Milli) bool {
	fresh := spr.Learn(list, now)
	if !mesh {
		spr.fresh = append(spr.fresh, fresh...)
	}
	return len(fresh) > 0
}

// Missing gives facts for an instance whose table has a digest, empty if it knows the same.
func (spr *Spread) Missing(digest uint64, now clock.Milli) []Fact {
	if digest == spr.Digest() {
		return nil
	}
	return spr.Some(Most, now)
}

// Waiting tells whether there are facts to be told to the neighbours.
func (spr *Spread) Waiting() bool { return len(spr.fresh) > 0 }

// Flush gives the facts to be told to the neighbours, in parts for one message each.
func (spr *Spread) Flush() [][]Fact {
	var parts [][]Fact
	for rest := spr.fresh; len(rest) > 0; rest = rest[min(len(rest), Most):] {
		parts = append(parts, rest[:min(len(rest), Most)])
	}
	spr.fresh = nil
	return parts
}
