package admit

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func ExampleRecent_Starved() {
	var rct Recent
	urgent, rare := Groups("chat", "corella", 17), Groups("digest", "galah", 3)
	for i := range clock.Milli(20) {
		rct.Record(urgent, false, true, 100*i)
		rct.Record(rare, false, false, 100*i)
	}
	fmt.Println(rct.Starved(urgent, 2000), rct.Starved(rare, 2000))
	// Output: none route
}

// TestGroupsAreServedHalfAsOften: while the requests of one group would always be refused, by their
// route, workspace or size, the guard admits them at least half as often as all together. It guards
// against starvation by a rank, and against a size that never fits its target under contention.
func TestGroupsAreServedHalfAsOften(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rct Recent
		odd := rapid.SampledFrom([][]Group{Groups("b", "x", 10), Groups("a", "y", 10), Groups("a", "x", 100)}).Draw(t, "odd")
		share := rapid.Float64Range(0.1, 0.9).Draw(t, "share of the odd group")
		other := rapid.Float64Range(0.3, 1).Draw(t, "service of the others")
		step := clock.Milli(rapid.IntRange(5, 500).Draw(t, "interval"))
		all, admitted, odds, oddAdmitted, acc, oddAcc := 0, 0, 0, 0, 0.0, 0.0
		for i := range 2000 {
			now := clock.Milli(i) * step
			grp, ok := Groups("a", "x", 10), false
			if oddAcc += share; oddAcc >= 1 {
				oddAcc--
				grp, odds = odd, odds+1
				ok = rct.Starved(grp, now) != NoClass
				if ok {
					oddAdmitted++
				}
			} else if acc += other; acc >= 1 {
				acc--
				ok = true
			}
			all++
			if ok {
				admitted++
			}
			rct.Record(grp, false, ok, now)
		}
		if odds*int(step) < 20*int(recentHalfLife)/100 {
			t.Skip("too few requests")
		}
		if 2*oddAdmitted*all < admitted*odds*9/10 {
			t.Fatalf("%d of %d of the odd group, %d of %d of all", oddAdmitted, odds, admitted, all)
		}
	})
}

// TestRevokedAdmissionsDoNotCount: a route whose requests are admitted and then refused by their stages is
// starved like one whose requests are refused on arrival.
func TestRevokedAdmissionsDoNotCount(t *testing.T) {
	gom := gomega.NewWithT(t)
	var rct Recent
	for i := range clock.Milli(20) {
		rct.Record(Groups("chat", "", 1), false, true, 10*i)
		rct.Record(Groups("digest", "", 1), false, true, 10*i)
		rct.Revoke(Groups("digest", "", 1), 10*i)
	}
	gom.Expect(rct.Starved(Groups("digest", "", 1), 200)).To(gomega.Equal(Route))
}

// TestReturnsAreNotNewArrivals: a request that is refused, returns and is then admitted counts as one that was
// served.
func TestReturnsAreNotNewArrivals(t *testing.T) {
	gom := gomega.NewWithT(t)
	var rct Recent
	for i := range clock.Milli(20) {
		for range 10 {
			rct.Record(Groups("chat", "", 1), false, true, 10*i)
		}
		rct.Record(Groups("digest", "", 1), false, false, 10*i)
		rct.Record(Groups("digest", "", 1), true, true, 10*i)
	}
	gom.Expect(rct.Starved(Groups("digest", "", 1), 200)).To(gomega.Equal(NoClass))
}

// TestStarvedSizeIsHeldToItsDeadline: a large request whose stages take most of the target latency would be
// refused as long as its pools are contended.
func TestStarvedSizeIsHeldToItsDeadline(t *testing.T) {
	gom := gomega.NewWithT(t)
	bdg := Budget{Estimate: 2200, ToTarget: 2300, ToDeadline: 6000, Contended: true}
	gom.Expect(bdg.Judge()).To(gomega.Equal(ShedLate))
	bdg.Starved = Size
	gom.Expect(bdg.Judge()).To(gomega.Equal(Admit))
	bdg.ToDeadline = 2000
	gom.Expect(bdg.Judge()).To(gomega.Equal(MissesDeadline))
}

// TestGroupsAreBounded: a flood of names leaves the counts bounded.
func TestGroupsAreBounded(t *testing.T) {
	var rct Recent
	for i := range 10 * maxRecent {
		rct.Record(Groups("chat", fmt.Sprint(i), 1), false, true, 0)
	}
	if len(rct.groups) > maxRecent+3 {
		t.Fatalf("%d groups", len(rct.groups))
	}
}

// TestKnownWaitsRiseWithRank: whatever is learnt in whatever order, the known wait of a more urgent rank is
// never longer than that of a less urgent one, and the wait learnt last is returned.
func TestKnownWaitsRiseWithRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wtb WaitTable
		now := clock.Milli(0)
		for range rapid.IntRange(1, 20).Draw(t, "notes") {
			now += clock.Milli(rapid.IntRange(0, 300).Draw(t, "pause"))
			rank, span := rapid.IntRange(Unranked, 4).Draw(t, "rank"), clock.Milli(rapid.IntRange(0, 2000).Draw(t, "span"))
			wtb.Note("p", rank, span, now)
			if got := wtb.At("p", rank, now); got != span {
				t.Fatalf("rank %d: %d, not %d", rank, got, span)
			}
			later := now + clock.Milli(rapid.IntRange(0, 300).Draw(t, "age"))
			for rank := range 5 {
				if wtb.At("p", rank, later) > wtb.At("p", rank+1, later) {
					t.Fatalf("rank %d waits longer than the next", rank)
				}
			}
		}
	})
}

// TestRetryAfterCoversTheWait: a request that is refused within the margin of its target, with a negative excess,
// returns when the queue at its own rank has been served and not at once. Without a rank nothing changes.
func TestRetryAfterCoversTheWait(t *testing.T) {
	gom := gomega.NewWithT(t)
	bdg := Budget{Estimate: 2000, ToTarget: 2300, ToDeadline: 6000, Contended: true, Wait: 900}
	gom.Expect(bdg.Judge()).To(gomega.Equal(ShedLate))
	gom.Expect(bdg.RetryAfter()).To(gomega.Equal(clock.Milli(900)))
	bdg.Wait = 0
	bdg.Estimate = 2400
	gom.Expect(bdg.RetryAfter()).To(gomega.Equal(bdg.Excess()))
}
