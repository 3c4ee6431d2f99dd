package state

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// ranked returns instances in rank order.
func ranked(count int) []ident.Incarnation {
	var all []ident.Incarnation
	for i := range count {
		all = append(all, ident.Incarnation(fmt.Sprintf("10.0.%d.%d:1#a", i/200, i%200)))
	}
	return all
}

// countSources counts the sources of all instances if some are skipped.
func countSources(all []ident.Incarnation, skip func(who ident.Incarnation) bool) map[source]int {
	src := sourcesOf(all)
	count := map[source]int{}
	for _, self := range all {
		_, from := src.choose(self, skip)
		count[from]++
	}
	return count
}

// Guards against calls to a store that is down from all instances, each of which costs money and
// returns nothing. Of two hundred instances a dozen go on calling; normally only the readers do.
func TestFewInstancesCallStoreThatIsDown(t *testing.T) {
	gom := gomega.NewWithT(t)
	all := ranked(195)
	calm := countSources(all, func(ident.Incarnation) bool { return false })
	gom.Expect(calm).To(gomega.Equal(map[source]int{fromStore: 4, fromOther: 191}))
	down := countSources(all, func(ident.Incarnation) bool { return true })
	gom.Expect(down).To(gomega.Equal(map[source]int{fromStore: 12, fromStoreRarely: 183}))
}

// Guards against followers without a source when all readers are partitioned from the store: they
// follow the deputies, and none reads the store rarely, so that all receive a change in time.
func TestDeputiesReplaceReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gom := gomega.NewWithT(t)
		all := ranked(rapid.IntRange(2, 390).Draw(t, "instances"))
		src := sourcesOf(all)
		cut := map[ident.Incarnation]bool{}
		for _, who := range src.readers {
			cut[who] = true
		}
		for _, who := range src.deputies {
			cut[who] = rapid.Bool().Draw(t, "cut")
		}
		allCut := true
		for _, who := range src.deputies {
			allCut = allCut && cut[who]
		}
		for _, self := range all {
			who, from := src.choose(self, func(who ident.Incarnation) bool { return cut[who] })
			if from == fromOther {
				gom.Expect(src.deputies).To(gomega.ContainElement(who))
				gom.Expect(cut[who]).To(gomega.BeFalse())
			}
			gom.Expect(from == fromStoreRarely && !allCut).To(gomega.BeFalse(), "a deputy is up to date")
		}
	})
}

// Guards against readers with more than instancesPerReader followers, and against fewer than two
// readers.
func TestFewReadersEach(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, count := range []int{1, 2, 7, 66, 195, 390, 1000} {
		src := sourcesOf(ranked(count))
		gom.Expect(len(src.readers)).To(gomega.BeNumerically(">=", min(count, minReaders)))
		gom.Expect(count / len(src.readers)).To(gomega.BeNumerically("<=", instancesPerReader))
	}
}

// Guards against views of followers that are older than tokens may be accepted for: a reader's view
// is at most twice the hold of its read old, a follower's older by the hold of its request at the
// reader. A fifth of the time is left for the network, a tenth for the request.
func TestViewsAreYoungerThanTokens(t *testing.T) {
	gom := gomega.NewWithT(t)
	for tokens := clock.Second; tokens <= clock.Minute; tokens += 100 {
		ctl := &Control{set: Setup{TokenMaxViewAge: tokens}}
		age := 2*ctl.capped(watchHold, watchHoldShare) + ctl.capped(clock.FromDuration(updateHold), updateHoldShare)
		gom.Expect(age).To(gomega.BeNumerically("<=", tokens*7/10))
	}
	ctl := &Control{}
	gom.Expect(ctl.capped(watchHold, watchHoldShare)).To(gomega.Equal(watchHold))
}
