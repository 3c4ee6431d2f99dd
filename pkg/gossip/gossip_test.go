package gossip

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func newTable(most int) *Table {
	tbl := &Table{}
	tbl.Bound(CrashedUnder, Bounds{Retention: clock.Minute, MaxFacts: most})
	return tbl
}

func Example() {
	var one, two Table
	for _, tbl := range []*Table{&one, &two} {
		tbl.Bound(CrashedUnder, Bounds{Retention: clock.Minute, MaxFacts: 10})
	}
	one.Set(CrashedUnder, "request", "set by one", 0)
	fmt.Println(one.Digest() == two.Digest())
	two.Learn(one.Sample(10, 20), 20)
	value, at, _ := two.Get(CrashedUnder, "request")
	fmt.Println(one.Digest() == two.Digest(), value, at)
	// Output:
	// false
	// true set by one 0
}

// TestTablesConverge guards against tables that receive the same facts in different orders and
// don't converge.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		facts := rapid.SliceOf(rapid.Custom(func(rt *rapid.T) Fact {
			return Fact{
				Kind: CrashedUnder, Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"),
				Value:   rapid.SampledFrom([]string{"", "x", "y"}).Draw(rt, "value"),
				Version: rapid.Uint64Range(1, 3).Draw(rt, "version"), Age: clock.Milli(rapid.IntRange(0, 100).Draw(rt, "age")),
			}
		})).Draw(rt, "facts")
		one, two := newTable(10), newTable(10)
		one.Learn(facts, 1000)
		for _, fct := range rapid.Permutation(facts).Draw(rt, "order") {
			two.Learn([]Fact{fct}, 1000)
			two.Learn([]Fact{fct}, 1000)
		}
		gom.Expect(one.Digest()).To(gomega.Equal(two.Digest()))
		strip := func(list []Fact) []Fact {
			for i := range list {
				list[i].Age = 0
			}
			return list
		}
		gom.Expect(strip(one.All(CrashedUnder, 1000))).To(gomega.Equal(strip(two.All(CrashedUnder, 1000))))
	})
}

// TestFactsExpire guards against facts that circulate for ever: an expired fact that a peer
// still has must not be accepted again.
func TestFactsExpire(t *testing.T) {
	gom := gomega.NewWithT(t)
	one, two := newTable(10), newTable(10)
	one.Set(CrashedUnder, "a", "x", 0)
	late := one.Sample(10, clock.Minute-1)
	gom.Expect(two.Learn(late, clock.Minute-1)).To(gomega.HaveLen(1))
	gom.Expect(one.Expire(clock.Minute)).To(gomega.BeTrue())
	gom.Expect(one.Digest()).To(gomega.BeZero())
	gom.Expect(one.Learn(two.Sample(10, clock.Minute), clock.Minute)).To(gomega.BeEmpty())
	gom.Expect(one.Expire(clock.Minute)).To(gomega.BeFalse())
}

// TestEvictionFollowsWeight guards against the eviction of facts of high weight by many new
// ones.
func TestEvictionFollowsWeight(t *testing.T) {
	gom := gomega.NewWithT(t)
	tbl := &Table{}
	tbl.Bound(CrashedUnder, Bounds{Retention: clock.Minute, MaxFacts: 4, Weight: func(key string) int {
		if slices.Contains([]string{"heavy", "other"}, key) {
			return 1
		}
		return 0
	}})
	tbl.Set(CrashedUnder, "heavy", "x", 0)
	tbl.Set(CrashedUnder, "other", "x", 1)
	for i := range 100 {
		tbl.Set(CrashedUnder, fmt.Sprint(i), "x", clock.Milli(2+i))
	}
	gom.Expect(tbl.Len()).To(gomega.Equal(4))
	gom.Expect(tbl.Evicted()).To(gomega.Equal(98))
	for _, key := range []string{"heavy", "other", "98", "99"} {
		_, _, ok := tbl.Get(CrashedUnder, key)
		gom.Expect(ok).To(gomega.BeTrue(), key)
	}
}

// TestEvictionFollowsNewWeights guards against the eviction of facts whose weight has risen since they were ranked.
func TestEvictionFollowsNewWeights(t *testing.T) {
	gom := gomega.NewWithT(t)
	heavy := ""
	var tbl Table
	tbl.Bound(CrashedUnder, Bounds{Retention: clock.Minute, MaxFacts: 4, Weight: func(key string) int { return strings.Count(heavy, key) }})
	for i, key := range []string{"a", "b", "c", "d", "e"} {
		tbl.Set(CrashedUnder, key, "x", clock.Milli(i))
	}
	heavy = "b"
	for i, key := range []string{"f", "g", "h"} {
		tbl.Set(CrashedUnder, key, "x", clock.Milli(5+i))
	}
	for _, key := range []string{"b", "f", "g", "h"} {
		gom.Expect(tbl.Has(CrashedUnder, key)).To(gomega.BeTrue(), key)
	}
}

// TestNoFactsAreKeptWithoutRoom guards against bounds that leave no room for any fact.
func TestNoFactsAreKeptWithoutRoom(t *testing.T) {
	gom := gomega.NewWithT(t)
	var tbl Table
	tbl.Bound(CrashedUnder, Bounds{Retention: clock.Minute})
	_, ok := tbl.Set(CrashedUnder, "a", "x", 0)
	gom.Expect(ok).To(gomega.BeFalse())
	gom.Expect(tbl.Len()).To(gomega.BeZero())
}

// TestAmendKeepsAge guards against facts that live on because their value changes, and against amending what is unknown.
func TestAmendKeepsAge(t *testing.T) {
	gom := gomega.NewWithT(t)
	var tbl Table
	tbl.Bound(CrashedUnder, Bounds{Retention: clock.Minute, MaxFacts: 2})
	_, ok := tbl.Amend(CrashedUnder, "a", "x", 0)
	gom.Expect(ok || tbl.Has(CrashedUnder, "a")).To(gomega.BeFalse())
	tbl.Set(CrashedUnder, "a", "x", 0)
	fct, ok := tbl.Amend(CrashedUnder, "a", "y", 50*clock.Second)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(fct.Age).To(gomega.Equal(50 * clock.Second))
	gom.Expect(fct.Version).To(gomega.BeEquivalentTo(2))
	_, ok = tbl.Amend(CrashedUnder, "a", "y", 50*clock.Second)
	gom.Expect(ok).To(gomega.BeFalse())
	gom.Expect(tbl.Expire(clock.Minute)).To(gomega.BeTrue())
	gom.Expect(tbl.Has(CrashedUnder, "a")).To(gomega.BeFalse())
}

// TestFullTablesAreCheap guards against a processor that is busy with the facts of full tables: ranking all of them for each
// new fact, for each comparison of an exchange, and for facts that were evicted and come back with each exchange.
func TestFullTablesAreCheap(t *testing.T) {
	const size = 1024
	gom := gomega.NewWithT(t)
	calls := 0
	var tbl Table
	tbl.Bound(CrashedUnder, Bounds{Retention: clock.Minute, MaxFacts: size, Weight: func(string) int { calls++; return 0 }})
	fact := func(i int, now clock.Milli) []Fact {
		return []Fact{{Kind: CrashedUnder, Key: fmt.Sprint(i), Value: "x", Version: 1, Age: now - clock.Milli(i)}}
	}
	now := clock.Milli(3 * size)
	for i := range size {
		tbl.Learn(fact(size+i, now), now)
	}
	tbl.Sample(64, now)
	gom.Expect(calls).To(gomega.BeNumerically("<=", size), "an exchange")
	calls = 0
	for i := range size {
		tbl.Learn(fact(2*size+i, now), now)
	}
	gom.Expect(calls).To(gomega.BeNumerically("<=", 100*size), "new facts")
	gom.Expect(tbl.Len()).To(gomega.Equal(size))
	calls = 0
	for i := range 2 * size {
		gom.Expect(tbl.Learn(fact(i, now), now)).To(gomega.BeEmpty(), "%d was evicted", i)
	}
	gom.Expect(calls).To(gomega.BeNumerically("<=", 4*size), "evicted facts")
}

// TestFullTablesConverge guards against instances that go on sending one another what each of them evicted.
func TestFullTablesConverge(t *testing.T) {
	rapid.Check(t, func(rpt *rapid.T) {
		bounds := Bounds{Retention: clock.Minute, MaxFacts: 130, Weight: func(key string) int { return len(key) % 3 }}
		tables := make([]Table, 3)
		for i := range tables {
			tables[i].Bound(CrashedUnder, bounds)
		}
		for i := range 400 {
			fct := Fact{Kind: CrashedUnder, Key: fmt.Sprint(rapid.IntRange(0, 10000).Draw(rpt, "key")), Value: "x", Version: 1, Age: clock.Milli(rapid.IntRange(0, 1000).Draw(rpt, "age"))}
			tables[i%len(tables)].Learn([]Fact{fct}, 2000)
		}
		for now := clock.Milli(2000); ; now += 500 {
			fresh := 0
			for i := range tables {
				for j := range tables {
					fresh += len(tables[j].Learn(tables[i].Sample(1000, now), now))
				}
			}
			if fresh == 0 {
				break
			}
			if now > 20*clock.Second {
				rpt.Fatalf("%d facts are still fresh after %v exchanges", fresh, now/500)
			}
		}
		for i := range tables {
			if n := tables[i].Len(); n != bounds.MaxFacts {
				rpt.Fatalf("%d facts", n)
			}
		}
	})
}
