package sticky

import (
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

const (
	// holderCount is the number of instances, first in a ranking of all, that hold the bindings of a pool's
	// streams.
	holderCount = 3
	// maxOthers bounds the instances that are asked when no holder knows a binding.
	maxOthers = 16
)

// Holders returns the instances of a ranking that hold the bindings of a pool's streams.
func Holders(ranking []ident.Incarnation) []ident.Incarnation {
	return ranking[:min(len(ranking), holderCount)]
}

// Others returns the instances of a ranking to ask when no holder knows a binding: those that began streams
// have their own, and holders may have changed.
func Others(ranking []ident.Incarnation) []ident.Incarnation {
	return ranking[min(len(ranking), holderCount):min(len(ranking), holderCount+maxOthers)]
}

// Replica has what an instance knows of the streams of a pool. The zero value is empty. It is not safe for
// concurrent use.
type Replica struct {
	// known has all bindings, own those of streams that this instance began or resumed.
	known Table
	own   Table
	// holders are those at the last handover.
	holders []ident.Incarnation
}

// Begin records the bindings of streams that this instance began or resumed.
func (rpl *Replica) Begin(list []Binding, now clock.Milli) {
	for _, bnd := range list {
		rpl.own.Add(bnd, now)
		rpl.known.Add(bnd, now)
	}
}

// Learn records bindings that another instance has sent.
func (rpl *Replica) Learn(list []Binding, now clock.Milli) {
	for _, bnd := range list {
		rpl.known.Add(bnd, now)
	}
}

// Find returns the build to which a key is bound, empty if it is bound to none; known is false if there is no
// binding.
func (rpl *Replica) Find(key Key, now clock.Milli) (build string, known bool) {
	build, _ = rpl.known.Find(key, now)
	return build, rpl.known.Knows(key, now)
}

// HandOver compares the holders with those at the last call, and returns new ones with the bindings to send
// them: those of the streams that this instance began, and all that it knows if it ranks first among the
// earlier holders that still are.
func (rpl *Replica) HandOver(self ident.Incarnation, ranking []ident.Incarnation, now clock.Milli) (to []ident.Incarnation, list []Binding) {
	before := rpl.holders
	rpl.holders = slices.Clone(Holders(ranking))
	for _, inc := range rpl.holders {
		if inc != self && !slices.Contains(before, inc) {
			to = append(to, inc)
		}
	}
	switch {
	case len(to) == 0:
		return nil, nil
	case isFirstOf(self, before, rpl.holders):
		return to, rpl.known.All(now)
	}
	return to, rpl.own.All(now)
}

// isFirstOf reports whether an instance is the first of the earlier holders that still is one.
func isFirstOf(self ident.Incarnation, before, current []ident.Incarnation) bool {
	for _, inc := range current {
		if slices.Contains(before, inc) {
			return inc == self
		}
	}
	return false
}
