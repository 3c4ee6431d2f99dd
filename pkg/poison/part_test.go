package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

var (
	badPart   = PartOf("engines", "bad0")
	soundPart = PartOf("engines", "5c1e")
)

// crashParts records the crash of an endpoint with parts in flight.
func (obs *observer) crashParts(endpoint string, now clock.Milli, parts ...Fingerprint) {
	for _, fpr := range parts {
		if key := PartKey(fpr, ident.Process(endpoint)); !obs.tbl.Has(gossip.CrashedUnder, key) {
			obs.tbl.Set(gossip.CrashedUnder, key, "10.0.0.1:7300", now)
		}
	}
	obs.refresh(now)
}

// answer records an answer to a prompt with a part that began at a time.
func (obs *observer) answer(fpr Fingerprint, began, now clock.Milli) {
	for key, value := range obs.lst.Exonerate([]Fingerprint{fpr}, func(Fingerprint) (clock.Milli, bool) { return began, true }) {
		obs.tbl.Amend(gossip.CrashedUnder, key, value, now)
	}
	obs.refresh(now)
}

func (obs *observer) convicted(fpr Fingerprint) bool {
	return len(obs.lst.Convicted([]Fingerprint{fpr})) > 0
}

func ExampleList_Convicted() {
	obs := newObserver()
	for i := range 3 {
		at := clock.Milli(i) * clock.Second
		obs.crashParts(fmt.Sprintf("i-%d", i), at, badPart, soundPart)
		obs.answer(soundPart, at+100, at+500)
		fmt.Println(obs.convicted(badPart), obs.convicted(soundPart))
	}
	// Output:
	// false false
	// false false
	// true false
}

// TestPartKeysAreTheirOwn guards against facts on parts that are read as facts on requests, or not at all.
func TestPartKeysAreTheirOwn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		fpr, endpoint := PartOf(rapid.String().Draw(rt, "pool"), rapid.String().Draw(rt, "id")), ident.Process(rapid.String().Draw(rt, "endpoint"))
		got, gotEndpoint, ok := parsePartKey(PartKey(fpr, endpoint))
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(got).To(gomega.Equal(fpr))
		gom.Expect(gotEndpoint).To(gomega.Equal(endpoint))
		_, _, ok = parseKey(PartKey(fpr, endpoint))
		gom.Expect(ok).To(gomega.BeFalse())
		_, _, ok = parsePartKey(Key(fpr, endpoint))
		gom.Expect(ok).To(gomega.BeFalse())
	})
}

// TestModelsApart guards against refusing a part at one pool for what it did at another.
func TestModelsApart(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 5 {
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second, badPart)
	}
	gom.Expect(obs.convicted(badPart)).To(gomega.BeTrue())
	gom.Expect(obs.convicted(PartOf("others", "bad0"))).To(gomega.BeFalse())
}

// TestVerdictDependsOnFactsOnly guards against instances that judge differently by the same facts, learned in
// another order, twice, or with ages that lag.
func TestVerdictDependsOnFactsOnly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		one, two := newObserver(), newObserver()
		var facts []gossip.Fact
		now := clock.Minute
		for range rapid.IntRange(1, 25).Draw(rt, "facts") {
			fpr := PartOf("engines", rapid.StringMatching("[abc]").Draw(rt, "part"))
			key := PartKey(fpr, ident.Process(rapid.StringMatching("i-[0-7]").Draw(rt, "endpoint")))
			if rapid.IntRange(0, 5).Draw(rt, "kind") == 0 {
				key = PartKey(fpr, TrialName("x"))
			}
			value := rapid.SampledFrom([]string{"x", "x", "x", doubtMark + "x", clearedByAnswer}).Draw(rt, "value")
			facts = append(facts, gossip.Fact{Kind: gossip.CrashedUnder, Key: key, Value: value, Version: 1, Age: 1000 * clock.Milli(rapid.IntRange(0, 40).Draw(rt, "age"))})
		}
		unique := map[string]gossip.Fact{}
		for _, fct := range facts {
			if _, ok := unique[fct.Key]; !ok {
				unique[fct.Key] = fct
			}
		}
		facts = nil
		for _, fct := range unique {
			facts = append(facts, fct)
		}
		one.tbl.Learn(facts, now)
		for _, i := range rapid.Permutation(seq(len(facts))).Draw(rt, "order") {
			two.tbl.Learn(facts[i:i+1], now)
			two.tbl.Learn(facts[i:i+1], now+clock.Milli(i))
			two.refresh(now)
		}
		one.refresh(now)
		for _, id := range []string{"a", "b", "c"} {
			fpr := []Fingerprint{PartOf("engines", id)}
			first, second := one.lst.Convicted(fpr), two.lst.Convicted(fpr)
			gom.Expect(first).To(gomega.HaveLen(len(second)))
			for i := range first {
				gom.Expect(first[i].Confirmed()).To(gomega.Equal(second[i].Confirmed()))
				gom.Expect(first[i].Quarantined(now)).To(gomega.Equal(second[i].Quarantined(now)))
			}
		}
	})
}

func seq(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestAnswersClearParts guards against convicting a sound part that is answered between crashes, and against
// clearing a part by an answer that began before the crash.
func TestAnswersClearParts(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 20 {
		at := clock.Milli(i) * clock.Second
		obs.crashParts(fmt.Sprintf("i-%d", i), at, soundPart, badPart)
		obs.answer(soundPart, at+100, at+900)
		if i == 0 {
			obs.answer(badPart, at-100, at+900)
		}
		gom.Expect(obs.convicted(soundPart)).To(gomega.BeFalse())
	}
	gom.Expect(obs.convicted(badPart)).To(gomega.BeTrue())
}

// TestCommonPartIsExplained guards against refusing a part that most prompts share while no answer comes through:
// it was answered shortly before, and another part explains the crashes.
func TestCommonPartIsExplained(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 12 {
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second, soundPart, badPart)
		obs.answer(soundPart, 0, clock.Milli(i)*clock.Second)
	}
	gom.Expect(obs.convicted(badPart)).To(gomega.BeTrue())
	gom.Expect(obs.convicted(soundPart)).To(gomega.BeFalse())
}

// TestBystanderIsExplained guards against refusing a part without answers because it was at some of the endpoints
// that another one crashed.
func TestBystanderIsExplained(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 8 {
		parts := []Fingerprint{badPart}
		if i >= 4 && i < 7 {
			parts = append(parts, soundPart)
		}
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second, parts...)
	}
	gom.Expect(obs.convicted(badPart)).To(gomega.BeTrue())
	gom.Expect(obs.convicted(soundPart)).To(gomega.BeFalse())
}

// TestChangedPart guards against a part that ends endpoints without bound because it had been answered before.
func TestChangedPart(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 5 {
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i+1)*clock.Second, badPart)
		obs.answer(badPart, 0, clock.Milli(i+1)*clock.Second)
	}
	gom.Expect(obs.convicted(badPart)).To(gomega.BeTrue())
}

// TestSimultaneousCrashes guards against convicting all parts in flight where several endpoints end at once, as
// those of a rack do.
func TestSimultaneousCrashes(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 10 {
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Second+clock.Milli(10*i), soundPart)
		obs.answer(soundPart, 0, clock.Second+clock.Milli(10*i))
	}
	gom.Expect(obs.convicted(soundPart)).To(gomega.BeFalse())
	rare := PartOf("engines", "rare")
	for i := range 4 {
		obs.crashParts(fmt.Sprintf("j-%d", i), clock.Second+clock.Milli(10*i), rare)
	}
	gom.Expect(obs.convicted(rare)).To(gomega.BeFalse())
}

// TestTrialTellsCompanionsApart guards against refusing for long a sound part that came with a bad one alone, and
// against trials of the bad one that go on.
func TestTrialTellsCompanionsApart(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 6 {
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second, badPart, soundPart)
	}
	gom.Expect(obs.convicted(badPart)).To(gomega.BeTrue())
	sound := obs.lst.Convicted([]Fingerprint{soundPart})
	gom.Expect(sound).To(gomega.HaveLen(1))
	gom.Expect(sound[0].Confirmed()).To(gomega.BeFalse())
	gom.Expect(sound[0].Quarantined(5 * clock.Second)).To(gomega.BeNumerically("<=", 3*clock.Second))
	obs.answer(soundPart, 9*clock.Second, 9*clock.Second)
	gom.Expect(obs.convicted(soundPart)).To(gomega.BeFalse())
	obs.tbl.Set(gossip.CrashedUnder, PartKey(badPart, TrialName("one")), "x", 9*clock.Second)
	obs.crashParts("i-9", 9*clock.Second, badPart)
	bad := obs.lst.Convicted([]Fingerprint{badPart})
	gom.Expect(bad).To(gomega.HaveLen(1))
	gom.Expect(bad[0].Confirmed()).To(gomega.BeTrue())
	gom.Expect(bad[0].Quarantined(9 * clock.Second)).To(gomega.BeNumerically(">", clock.Minute))
}

// TestSubsetConvictsNoMore guards against an instance that has just started and refuses sound parts since it has
// learned of crashes, but not yet that answers cleared them.
func TestSubsetConvictsNoMore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		obs := newObserver()
		for i := range rapid.IntRange(3, 20).Draw(rt, "crashes") {
			at := clock.Milli(i) * clock.Second
			obs.crashParts(fmt.Sprintf("i-%d", i), at, soundPart)
			obs.answer(soundPart, at+100, at+500)
		}
		gom.Expect(obs.convicted(soundPart)).To(gomega.BeFalse())
		started := newObserver()
		for _, fct := range obs.tbl.All(gossip.CrashedUnder, clock.Minute) {
			if rapid.Bool().Draw(rt, "arrives") {
				started.tbl.Learn([]gossip.Fact{fct}, clock.Minute)
			}
		}
		started.refresh(clock.Minute)
		gom.Expect(started.convicted(soundPart)).To(gomega.BeFalse())
	})
}

// TestClearedStaysCleared guards against a doubt that wins over the clearing that another instance recorded at the
// same time.
func TestClearedStaysCleared(t *testing.T) {
	gom := gomega.NewWithT(t)
	one, two := newObserver(), newObserver()
	one.crashParts("i-1", clock.Minute, soundPart)
	two.tbl.Learn(one.tbl.All(gossip.CrashedUnder, clock.Minute), clock.Minute)
	two.refresh(clock.Minute)
	one.answer(soundPart, clock.Minute-1, clock.Minute+2)
	two.answer(soundPart, clock.Minute+1, clock.Minute+2)
	for range 2 {
		facts := one.tbl.All(gossip.CrashedUnder, clock.Minute+3)
		one.tbl.Learn(two.tbl.All(gossip.CrashedUnder, clock.Minute+3), clock.Minute+3)
		two.tbl.Learn(facts, clock.Minute+3)
	}
	one.refresh(clock.Minute + 3)
	two.refresh(clock.Minute + 3)
	gom.Expect(one.tbl.Digest()).To(gomega.Equal(two.tbl.Digest()))
	gom.Expect(one.lst.Empty()).To(gomega.BeTrue())
}

// TestExplainedPartStaysConvicted guards against a part that is admitted again since a sound one without answers was
// at more crashes.
func TestExplainedPartStaysConvicted(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 10 {
		parts := []Fingerprint{soundPart}
		if i < 6 {
			parts = append(parts, badPart)
		}
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second, parts...)
	}
	gom.Expect(obs.convicted(badPart)).To(gomega.BeTrue())
}

// TestThreePartTrials guards against a part that gets more than three trials within the retention of crashes,
// whether its conviction is open to doubt or not.
func TestThreePartTrials(t *testing.T) {
	for _, companions := range [][]Fingerprint{{badPart}, {badPart, soundPart}} {
		gom := gomega.NewWithT(t)
		obs := newObserver()
		for i := range 5 {
			obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second, companions...)
		}
		now, trials := 5*clock.Second, 0
		for {
			list := obs.lst.Convicted([]Fingerprint{badPart})
			gom.Expect(list).To(gomega.HaveLen(1))
			if now += list[0].Quarantined(now); now >= crashRetention {
				break
			}
			trials++
			for _, fpr := range companions {
				obs.tbl.Set(gossip.CrashedUnder, PartKey(fpr, TrialName(fmt.Sprint(trials))), "x", now)
			}
			obs.crashParts(fmt.Sprintf("trial-%d", trials), now, companions...)
		}
		gom.Expect(trials).To(gomega.Equal(3))
	}
}

// TestConvictedPartClearsRequests guards against refusing a request because it was at endpoints that a part of
// others' prompts crashed.
func TestConvictedPartClearsRequests(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 5 {
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second, badPart)
		obs.crash(harmless, fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second)
	}
	gom.Expect(obs.lst.OnTrial(harmless)).To(gomega.BeFalse())
	for i := range 3 {
		obs.crash(harmless, fmt.Sprintf("j-%d", i), clock.Milli(i)*clock.Second)
	}
	gom.Expect(obs.lst.OnTrial(harmless)).To(gomega.BeTrue())
}

// TestStoredVerdict guards against a verdict that changes when all instances end and their successors read the
// facts in the store.
func TestStoredVerdict(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	now := 40 * clock.Second
	for i := range 40 {
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second, badPart)
	}
	obs.tbl.Set(gossip.CrashedUnder, PartKey(badPart, TrialName("one")), "x", now)
	obs.refresh(now)
	stored := QuarantineFacts(obs.tbl.All(gossip.CrashedUnder, now), obs.lst, 64, 6)
	gom.Expect(len(stored)).To(gomega.BeNumerically("<=", maxStoredPartCrashes+1))
	next := newObserver()
	next.tbl.Learn(stored, now)
	next.refresh(now)
	was, is := obs.lst.Convicted([]Fingerprint{badPart}), next.lst.Convicted([]Fingerprint{badPart})
	gom.Expect(is).To(gomega.HaveLen(1))
	gom.Expect(is[0].Confirmed()).To(gomega.BeTrue())
	gom.Expect(is[0].Quarantined(now)).To(gomega.Equal(was[0].Quarantined(now)))
}

// TestSuspicionOutlivesAll guards against a part that crashes endpoints without bound because all instances end again and
// again before they have seen enough crashes to convict it.
func TestSuspicionOutlivesAll(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	now, crashes := clock.Milli(0), 0
	for !obs.convicted(badPart) && crashes < 20 {
		for range 2 {
			now += clock.Second
			crashes++
			obs.crashParts(fmt.Sprintf("i-%d", crashes), now, badPart, soundPart)
			obs.answer(soundPart, now-100, now)
		}
		stored := QuarantineFacts(obs.tbl.All(gossip.CrashedUnder, now), obs.lst, 64, 6)
		gom.Expect(len(stored)).To(gomega.Equal(crashes), "only the part that was not answered")
		obs = newObserver()
		obs.tbl.Learn(stored, now)
		obs.refresh(now)
	}
	gom.Expect(crashes).To(gomega.BeNumerically("<=", confirmedCrashes))
}

// TestFloodDoesNotEvictParts guards against a caller that has convictions evicted by prompts with many parts.
func TestFloodDoesNotEvictParts(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 5 {
		obs.crashParts(fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second, badPart)
	}
	for i := range maxCrashes + 100 {
		obs.tbl.Set(gossip.CrashedUnder, PartKey(PartOf("engines", fmt.Sprint(i)), "i-9"), "x", 6*clock.Second)
	}
	obs.refresh(6 * clock.Second)
	gom.Expect(obs.convicted(badPart)).To(gomega.BeTrue())
}

func BenchmarkConvicted(bnc *testing.B) {
	parts := make([]Fingerprint, 6)
	for i := range parts {
		parts[i] = PartOf("engines", fmt.Sprint(i))
	}
	for _, crashes := range []int{0, maxCrashes} {
		obs := newObserver()
		for i := range crashes {
			obs.tbl.Set(gossip.CrashedUnder, PartKey(PartOf("engines", fmt.Sprint(rand.IntN(800))), ident.Process(fmt.Sprint(i))), "x", clock.Milli(i))
		}
		obs.refresh(clock.Milli(crashes))
		bnc.Run(fmt.Sprintf("crashes=%d", crashes), func(bnc *testing.B) {
			for bnc.Loop() {
				obs.lst.Convicted(parts)
			}
		})
	}
}

func BenchmarkPartOf(bnc *testing.B) {
	for bnc.Loop() {
		PartOf("engines", "5c1e07a2")
	}
}

func BenchmarkRead(bnc *testing.B) {
	for _, crashes := range []int{100, maxCrashes} {
		obs := newObserver()
		for i := range crashes {
			obs.tbl.Set(gossip.CrashedUnder, PartKey(PartOf("engines", fmt.Sprint(rand.IntN(800))), ident.Process(fmt.Sprint(i))), "x", clock.Milli(i))
		}
		bnc.Run(fmt.Sprintf("facts=%d", crashes), func(bnc *testing.B) {
			for bnc.Loop() {
				obs.refresh(clock.Milli(crashes))
			}
		})
	}
}
