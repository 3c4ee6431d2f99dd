package evac

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

const settle = 2 * clock.Second

// drawReads draws the reads of a store whose records change, and which comes back from copies: each change of
// the records moves the end of the log.
func drawReads(t *rapid.T) []Records {
	var reads []Records
	zones := map[string]bool{}
	pos := Position{End: 1}
	for range rapid.IntRange(1, 12).Draw(t, "reads") {
		if rapid.IntRange(0, 4).Draw(t, "copy") == 0 {
			pos = Position{Era: pos.Era + 1, End: rapid.Int64Range(1, pos.End).Draw(t, "end")}
			zones = map[string]bool{}
		}
		pos.End += rapid.Int64Range(1, 3).Draw(t, "writes")
		zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
		zones[zone] = !zones[zone]
		var names []string
		for name, is := range zones {
			if is {
				names = append(names, name)
			}
		}
		reads = append(reads, Named(pos, names...))
	}
	return reads
}

// Guards against a set that depends on the order in which reads arrive, or on how often: late, repeated and
// reordered ones leave the data centres of the latest read in force, once those of earlier eras have settled.
func TestLatestReadIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gom := gomega.NewWithT(t)
		reads := drawReads(t)
		last := reads[len(reads)-1]
		order := rapid.Permutation(append(slices.Clone(reads), rapid.SliceOf(rapid.SampledFrom(reads)).Draw(t, "again")...)).Draw(t, "order")
		var set Set
		now := clock.Second
		for _, rec := range order {
			before := set
			set, _ = set.Apply(rec, settle, now)
			if !before.Position().Before(rec.Position) {
				gom.Expect(set).To(gomega.Equal(before), "a late read")
			}
			now += clock.Milli(rapid.IntRange(0, 3000).Draw(t, "pause"))
			set, _ = set.Expire(now)
		}
		set, _ = set.Expire(now + settle)
		gom.Expect(set.Position()).To(gomega.Equal(last.Position))
		gom.Expect(set.Len()).To(gomega.Equal(len(last.Evacuated)))
		for _, zon := range last.Evacuated {
			gom.Expect(set.Has(zon.Name)).To(gomega.BeTrue())
		}
	})
}

// Guards against a change that is reported twice or not at all, and a release that isn't recorded: changes
// alternate for each data centre and lead to the set.
func TestChangesLeadToSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gom := gomega.NewWithT(t)
		var set Set
		is := map[string]bool{}
		now := clock.Second
		follow := func(next Set, changes []Change) {
			for _, chg := range changes {
				gom.Expect(is[chg.Zone]).To(gomega.Equal(chg.Released), "%v", chg)
				is[chg.Zone] = !chg.Released
				if at, ok := next.Released(chg.Zone); chg.Released {
					gom.Expect(ok).To(gomega.BeTrue())
					gom.Expect(at).To(gomega.Equal(now))
				}
			}
			set = next
			for _, name := range []string{"a", "b", "c"} {
				gom.Expect(set.Has(name)).To(gomega.Equal(is[name]), name)
			}
		}
		for _, rec := range drawReads(t) {
			follow(set.Apply(rec, settle, now))
			now += clock.Milli(rapid.IntRange(1, 3000).Draw(t, "pause"))
			follow(set.Expire(now))
		}
	})
}

// Guards against data centres that get requests again at once when the store comes back from a copy without
// their record, against ones that are held for ever, and against one that isn't released although its record
// was written again and removed.
func TestHeldAcrossEras(t *testing.T) {
	gom := gomega.NewWithT(t)
	set, _ := Set{}.Apply(Named(Position{End: 9}, "a", "b"), settle, 1000)
	set, changes := set.Apply(Named(Position{Era: 1, End: 2}), settle, 5000)
	gom.Expect(changes).To(gomega.BeEmpty())
	gom.Expect([]bool{set.Has("a"), set.Has("b")}).To(gomega.Equal([]bool{true, true}))
	set, changes = set.Apply(Named(Position{Era: 1, End: 3}, "a"), settle, 5500)
	gom.Expect(changes).To(gomega.BeEmpty())
	set, changes = set.Expire(5000 + settle - 1)
	gom.Expect(changes).To(gomega.BeEmpty())
	set, changes = set.Expire(5000 + settle)
	gom.Expect(changes).To(gomega.Equal([]Change{{Zone: "b", Released: true, Since: 1000}}))
	gom.Expect(set.Zones(8000)).To(gomega.Equal([]Zone{{Name: "a", Age: 7000}}), "since the first record")
	set, changes = set.Apply(Named(Position{Era: 1, End: 4}), settle, 8000)
	gom.Expect(changes).To(gomega.Equal([]Change{{Zone: "a", Released: true, Since: 1000}}))
	gom.Expect(set.Len()).To(gomega.BeZero())
}

// Guards against an instance that never learns of a later set from another one, or fetches it for ever: after
// it has taken over the position or the records it lacks nothing, and its data centres are the same.
func TestExchangeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gom := gomega.NewWithT(t)
		reads := drawReads(t)
		var ahead, behind Set
		now := clock.Second
		known := rapid.IntRange(0, len(reads)).Draw(t, "known")
		for i, rec := range reads {
			ahead, _ = ahead.Apply(rec, settle, now)
			if i < known {
				behind, _ = behind.Apply(rec, settle, now)
			}
			now += 100
		}
		now += settle
		ahead, _ = ahead.Expire(now)
		behind, _ = behind.Expire(now)
		gom.Expect(ahead.Lacks(behind.Mark())).To(gomega.BeFalse())
		behind = behind.Advance(ahead.Mark())
		if behind.Lacks(ahead.Mark()) {
			behind, _ = behind.Apply(ahead.Records(now), settle, now)
		}
		gom.Expect(behind.Lacks(ahead.Mark())).To(gomega.BeFalse())
		behind, _ = behind.Expire(now + settle)
		for _, name := range []string{"a", "b", "c"} {
			gom.Expect(behind.Has(name)).To(gomega.Equal(ahead.Has(name)), name)
			at, ok := ahead.Released(name)
			if here, known := behind.Released(name); ok && known {
				gom.Expect(here).To(gomega.BeNumerically(">=", at), "a release is never taken for an earlier one")
			}
		}
	})
}

// Guards against sets that share state with their predecessors, which requests still read.
func TestSetsAreValues(t *testing.T) {
	gom := gomega.NewWithT(t)
	set, _ := Set{}.Apply(Named(Position{End: 1}, "a"), settle, 0)
	next, _ := set.Apply(Named(Position{Era: 1, End: 1}, "b"), settle, 1)
	last, _ := next.Expire(1 + settle)
	gom.Expect([]bool{set.Has("a"), set.Has("b")}).To(gomega.Equal([]bool{true, false}))
	gom.Expect([]bool{next.Has("a"), next.Has("b")}).To(gomega.Equal([]bool{true, true}))
	gom.Expect([]bool{last.Has("a"), last.Has("b")}).To(gomega.Equal([]bool{false, true}))
	_, ok := next.Released("a")
	gom.Expect(ok).To(gomega.BeFalse())
}

// Guards against an instance that missed an evacuation and its release, and takes over the later position without
// the release: its data centres are those of the others, and only the number of releases differs.
func TestMissedReleaseIsFetched(t *testing.T) {
	gom := gomega.NewWithT(t)
	behind, _ := Set{}.Apply(Named(Position{End: 1}), settle, 1000)
	ahead, _ := behind.Apply(Named(Position{End: 2}, "a"), settle, 2000)
	ahead, _ = ahead.Apply(Named(Position{End: 3}), settle, 3000)
	behind = behind.Advance(ahead.Mark())
	gom.Expect(behind.Lacks(ahead.Mark())).To(gomega.BeTrue())
	behind, _ = behind.Apply(ahead.Records(4000), settle, 4000)
	at, _ := behind.Released("a")
	gom.Expect(at).To(gomega.Equal(clock.Milli(3000)))
	gom.Expect(behind.Mark()).To(gomega.Equal(ahead.Mark()))
}
