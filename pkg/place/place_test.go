package place

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

func newPlacer(count int) *Placer {
	plc := &Placer{}
	var list []Engine
	for i := range count {
		list = append(list, Engine{ID: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("a%d", i), Slots: 64})
	}
	plc.Sync(list)
	return plc
}

func prompt(shared string) Prompt {
	return Prompt{Parts: []Part{{ID: "all", Tokens: 500}, {ID: shared, Tokens: 3800}, {ID: "own", Tokens: 100}}, InTokens: 4400, MaxOutTokens: 200}
}

// pick chooses an engine and begins the request there.
func pick(plc *Placer, ticket string, ask Ask, now clock.Milli) Placement {
	plm, ok := plc.Pick(ask, now)
	if ok {
		plc.Begin(plm.Engine.ID, ticket, ask.Prompt, ask.MaxGap, now)
	}
	return plm
}

// TestInstancesChooseAlike: two instances that know the same engines and nothing else send a
// prompt's shared parts to the same one, and different prompts to different engines.
func TestInstancesChooseAlike(t *testing.T) {
	gom := gomega.NewWithT(t)
	used := map[string]bool{}
	for i := range 100 {
		ask := Ask{Prompt: prompt(fmt.Sprint(i))}
		fst, _ := newPlacer(12).Pick(ask, 0)
		ask.Salt = "another"
		snd, _ := newPlacer(12).Pick(ask, 0)
		gom.Expect(fst.Engine.ID).To(gomega.Equal(snd.Engine.ID))
		used[fst.Engine.ID] = true
	}
	gom.Expect(used).To(gomega.HaveLen(12))
}

// TestLeavingEngineMovesOnlyItsPrompts: when an engine leaves, prompts of the others stay where
// they are cached.
func TestLeavingEngineMovesOnlyItsPrompts(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(6)
	before := map[int]string{}
	for i := range 60 {
		plm, _ := plc.Pick(Ask{Prompt: prompt(fmt.Sprint(i))}, 0)
		before[i] = plm.Engine.ID
	}
	plc.Leave("e3")
	for i, was := range before {
		plm, _ := plc.Pick(Ask{Prompt: prompt(fmt.Sprint(i))}, 0)
		if was != "e3" {
			gom.Expect(plm.Engine.ID).To(gomega.Equal(was))
		} else {
			gom.Expect(plm.Engine.ID).NotTo(gomega.Equal("e3"))
		}
	}
}

// TestUnsharedPromptsSpread: prompts without shared parts arrive at once. Each goes to a different
// engine, though all have the same cost.
func TestUnsharedPromptsSpread(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(8)
	used := map[string]bool{}
	for i := range 8 {
		used[pick(plc, fmt.Sprint(i), Ask{Prompt: Prompt{InTokens: 2000, MaxOutTokens: 10}, Salt: fmt.Sprint(i)}, 0).Engine.ID] = true
	}
	gom.Expect(used).To(gomega.HaveLen(8))
}

// TestHotPromptSpreads: all requests share one prefix. They queue at the engine that has it cached
// only as long as reading it elsewhere would take.
func TestHotPromptSpreads(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(4)
	count := map[string]int{}
	for i := range 80 {
		count[pick(plc, fmt.Sprint(i), Ask{Prompt: prompt("hot")}, 0).Engine.ID]++
	}
	for _, n := range count {
		gom.Expect(n).To(gomega.BeNumerically("<=", 40))
	}
	gom.Expect(len(count)).To(gomega.Equal(4))
}

// TestCostCountsTokensToRead: one engine reads a prompt of 40,000 tokens, another streams five
// requests. The next short prompt goes to the second engine: by the number of requests it would go
// to the first and wait there for seconds.
func TestCostCountsTokensToRead(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(2)
	plc.Begin("e0", "long", Prompt{InTokens: 40000, MaxOutTokens: 100}, 0, 0)
	for i := range 5 {
		ticket := fmt.Sprint(i)
		plc.Begin("e1", ticket, Prompt{InTokens: 500, MaxOutTokens: 300}, 0, 0)
		plc.FirstEvent(ticket, 30, 0)
	}
	for i := range 20 {
		plm, _ := plc.Pick(Ask{Prompt: Prompt{InTokens: 500, MaxOutTokens: 10}, Salt: fmt.Sprint(i)}, 100)
		gom.Expect(plm.Engine.ID).To(gomega.Equal("e1"))
	}
}

// TestCachedPrefixIsUsed: an engine has read a document. The next question about it goes there
// while no prompt waits; while that engine reads a long prompt, it goes elsewhere with the address
// to fetch the document from, if engines can fetch.
func TestCachedPrefixIsUsed(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(4)
	for _, eng := range plc.list {
		eng.Fetches = true
	}
	ask := Ask{Prompt: prompt("doc")}
	first := pick(plc, "1", ask, 0)
	plc.FirstEvent("1", 120, 120)
	second := pick(plc, "2", ask, 1000)
	gom.Expect(second.Engine.ID).To(gomega.Equal(first.Engine.ID))
	gom.Expect(second.CachedTokens).To(gomega.Equal(4300))
	gom.Expect(second.FetchAddr).To(gomega.BeEmpty())
	plc.FirstEvent("2", 30, 1030)
	plc.Begin(first.Engine.ID, "long", Prompt{InTokens: 40000, MaxOutTokens: 10}, 0, 1100)
	third := pick(plc, "3", ask, 1101)
	gom.Expect(third.Engine.ID).NotTo(gomega.Equal(first.Engine.ID))
	gom.Expect(third.FetchAddr).To(gomega.Equal(first.Engine.Addr))
	for _, eng := range plc.list {
		eng.Fetches = false
	}
	fourth, _ := plc.Pick(ask, 1102)
	gom.Expect(fourth.FetchAddr).To(gomega.BeEmpty())
}

// TestPrefixCacheEviction: a part counts as cached until the engine has processed its share of
// memory in other tokens; a part used since then still counts.
func TestPrefixCacheEviction(t *testing.T) {
	gom := gomega.NewWithT(t)
	var pfx prefixCache
	old, used := prompt("old"), prompt("used")
	pfx.add(old.shared(), 4400)
	pfx.add(used.shared(), 4400)
	for i := range 10 {
		pfx.add(prompt(fmt.Sprint(i)).shared(), 4400)
		pfx.add(used.shared(), 100)
	}
	gom.Expect(pfx.prefixTokens(used, 50000)).To(gomega.Equal(4300))
	gom.Expect(pfx.prefixTokens(old, 50000)).To(gomega.Equal(500), "all prompts share the first part")
	gom.Expect(pfx.prefixTokens(old, 0)).To(gomega.Equal(4300), "the memory is unbounded")
	for i := range 3 * maxCachedParts {
		pfx.add(prompt(fmt.Sprint("more", i)).shared(), 1)
	}
	gom.Expect(len(pfx.at)).To(gomega.BeNumerically("<=", maxCachedParts))
}

// TestReportedPrefixIsUsed: the previous placer crashed. An engine reports the document that it has
// cached, and the next question about it goes there as before.
func TestReportedPrefixIsUsed(t *testing.T) {
	gom := gomega.NewWithT(t)
	for i := range 20 {
		plc := newPlacer(6)
		ask := Ask{Prompt: prompt(fmt.Sprint("doc", i))}
		plc.ReportCached("e3", ask.Prompt.Parts[:2])
		plc.ReportCached("e5", ask.Prompt.Parts[1:2])
		plc.ReportCached("e9", ask.Prompt.Parts)
		plm, _ := plc.Pick(ask, 0)
		gom.Expect(plm.Engine.ID).To(gomega.Equal("e3"))
		gom.Expect(plm.CachedTokens).To(gomega.Equal(4300))
	}
}

// TestHungEngineIsAvoided: an engine accepts a prompt and does not start it. Its cost grows with
// time, so that no other request, from whatever instance, is sent there. Once the request ends, the
// cost is as before.
func TestHungEngineIsAvoided(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(3)
	ask := Ask{Prompt: prompt("doc")}
	first := pick(plc, "1", ask, 0).Engine.ID
	gom.Expect(plc.byID[first].queueTime(2000)).To(gomega.BeNumerically(">", 1000))
	for i := range clock.Milli(5) {
		plm, _ := plc.Pick(Ask{Prompt: prompt("doc"), Avoid: nil}, 2000+100*i)
		gom.Expect(plm.Engine.ID).NotTo(gomega.Equal(first))
	}
	plc.End("1", Neutral, 0, 3000)
	gom.Expect(plc.byID[first].queueTime(3000)).To(gomega.BeZero())
}

// TestLostEndExpires: the messages of the end of some requests are lost. The requests count until
// runTTL and no longer.
func TestLostEndExpires(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(1)
	for i := range 64 {
		plc.Begin("e0", fmt.Sprint(i), Prompt{InTokens: 100, MaxOutTokens: 10}, 0, 0)
	}
	gom.Expect(plc.Full("e0", 100)).To(gomega.BeTrue())
	_, ok := plc.Pick(Ask{}, runTTL+1)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(plc.runs).To(gomega.BeEmpty())
	gom.Expect(plc.byID["e0"].runs).To(gomega.BeEmpty())
}

// TestReportedLoadDecays: an engine reported a full load seconds ago, which must not keep requests
// away for long.
func TestReportedLoadDecays(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(2)
	ask := Ask{Prompt: prompt("x")}
	first, _ := plc.Pick(ask, 0)
	plc.ReportLoad(first.Engine.ID, 64, 0)
	other, _ := plc.Pick(ask, 0)
	gom.Expect(other.Engine.ID).NotTo(gomega.Equal(first.Engine.ID))
	again, _ := plc.Pick(ask, 60*clock.Second)
	gom.Expect(again.Engine.ID).To(gomega.Equal(first.Engine.ID))
}

// TestLongStreamsAreSpared: streams beside a long prompt become late. One engine runs a long
// transcription, the other two short answers. The prompt goes to the two short ones, since more
// work would be lost with the long one.
func TestLongStreamsAreSpared(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(2)
	for i := range 300 {
		plc.pauses.sample(200*i, float64(i))
		plc.Begin("e0", fmt.Sprint("m", i), Prompt{InTokens: 1000, MaxOutTokens: 500}, 0, 0)
		plc.End(fmt.Sprint("m", i), Neutral, 0, 0)
	}
	plc.Begin("e0", "large", Prompt{InTokens: 30000, MaxOutTokens: 1500}, 200, 0)
	plc.FirstEvent("large", 900, 900)
	for _, ticket := range []string{"1", "2"} {
		plc.Begin("e1", ticket, Prompt{InTokens: 800, MaxOutTokens: 400}, 200, 900)
		plc.FirstEvent(ticket, 30, 930)
	}
	for i := range 20 {
		plm, _ := plc.Pick(Ask{Prompt: Prompt{InTokens: 40000, MaxOutTokens: 100}, Salt: fmt.Sprint(i), MaxGap: 200}, 1000)
		gom.Expect(plm.Engine.ID).To(gomega.Equal("e1"))
	}
}

// TestPrefersZoneOfResults: the results that a request takes are in one data centre. Among engines
// of the same cost one there is chosen.
func TestPrefersZoneOfResults(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := &Placer{}
	plc.Sync([]Engine{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2"}})
	for i := range 20 {
		plm, _ := plc.Pick(Ask{Prompt: Prompt{InTokens: 500}, Salt: fmt.Sprint(i), Zone: "z2", Bytes: 2_000_000}, 0)
		gom.Expect(plm.Engine.ID).To(gomega.Equal("b"))
	}
}

// TestMemoryLimit: the requests of an engine need all its memory. Another engine is chosen;
// otherwise the first would have to preempt requests.
func TestMemoryLimit(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := &Placer{}
	plc.Sync([]Engine{{ID: "a", Memory: 50000, Slots: 64}, {ID: "b", Memory: 50000, Slots: 64}})
	ask := Ask{Prompt: Prompt{InTokens: 26000, MaxOutTokens: 100}, Salt: "s"}
	first := pick(plc, "1", ask, 0).Engine.ID
	plc.FirstEvent("1", 900, 900)
	plc.Begin(first, "2", ask.Prompt, 0, 900)
	plc.FirstEvent("2", 900, 1800)
	plm, ok := plc.Pick(Ask{Prompt: Prompt{InTokens: 10}, Salt: "s"}, 1900)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(plm.Engine.ID).NotTo(gomega.Equal(first))
}

// TestFailingEngineIsEjected: two consecutive failures eject an engine; after a while one request
// probes it. If all engines fail, they are used all the same.
func TestFailingEngineIsEjected(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := newPlacer(2)
	ask := Ask{Prompt: prompt("x")}
	first, _ := plc.Pick(ask, 0)
	fail := func(id string, now clock.Milli) {
		for range 2 {
			plc.Begin(id, "t", ask.Prompt, 0, now)
			plc.End("t", Failed, 0, now)
		}
	}
	fail(first.Engine.ID, 0)
	gom.Expect(plc.Usable(first.Engine.ID, 500)).To(gomega.BeFalse())
	plm, _ := plc.Pick(ask, 500)
	gom.Expect(plm.Engine.ID).NotTo(gomega.Equal(first.Engine.ID))
	plm, _ = plc.Pick(ask, 1001)
	gom.Expect(plm.Engine.ID).To(gomega.Equal(first.Engine.ID))
	plc.Begin(first.Engine.ID, "probe", ask.Prompt, 0, 1001)
	plm, _ = plc.Pick(ask, 1002)
	gom.Expect(plm.Engine.ID).NotTo(gomega.Equal(first.Engine.ID), "one probe at a time")
	fail(plm.Engine.ID, 1003)
	_, ok := plc.Pick(ask, 1004)
	gom.Expect(ok).To(gomega.BeTrue())
}

// TestRestartedEngineIsReset: an engine that was full, failing, slow and leaving has restarted
// under its name. The new process is chosen like any other and has no cached prompt, and outcomes
// of requests to the previous process do not count against it.
func TestRestartedEngineIsReset(t *testing.T) {
	gom := gomega.NewWithT(t)
	plc := &Placer{}
	plc.Sync([]Engine{{ID: "e@1", Slots: 2}})
	plc.Begin("e@1", "1", prompt("doc"), 0, 0)
	plc.Begin("e@1", "2", prompt("doc"), 0, 0)
	plc.Begin("e@1", "3", prompt("doc"), 0, 0)
	plc.ReportLoad("e@1", 3, 0)
	plc.End("1", Failed, 0, 0)
	plc.End("2", Failed, 0, 0)
	plc.Leave("e@1")
	plc.Sync([]Engine{{ID: "e@2", Slots: 2}})
	gom.Expect(plc.Usable("e@2", 1)).To(gomega.BeTrue())
	gom.Expect(plc.Full("e@2", 1)).To(gomega.BeFalse())
	plm, _ := plc.Pick(Ask{Prompt: prompt("doc")}, 1)
	gom.Expect(plm.Wait + clock.Milli(plm.Streams)).To(gomega.BeZero())
	gom.Expect(plc.byID["e@2"].cache.at).To(gomega.BeEmpty())
	plc.End("3", Failed, 0, 2)
	plc.ReportLoad("e@1", 2, 2)
	gom.Expect(plc.Usable("e@2", 3)).To(gomega.BeTrue())
	gom.Expect(plc.Full("e@2", 3)).To(gomega.BeFalse())
}

// Guards against engines that fetch what another build of the software has cached.
func TestPrefixIsFetchedWithinBuild(t *testing.T) {
	gom := gomega.NewWithT(t)
	var plc Placer
	plc.Sync([]Engine{
		{ID: "old-1", Addr: "a1", Build: "v1", Fetches: true},
		{ID: "old-2", Addr: "a2", Build: "v1", Fetches: true},
		{ID: "new-1", Addr: "a3", Build: "v2", Fetches: true},
		{ID: "new-2", Addr: "a4", Build: "v2", Fetches: true},
	})
	prm := prompt("s")
	plc.ReportCached("old-1", prm.Parts[:2])
	plm, ok := plc.Pick(Ask{Prompt: prm, Build: "v2"}, 0)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(plm.Engine.Build).To(gomega.Equal("v2"))
	gom.Expect(plm.FetchAddr).To(gomega.BeEmpty())
	plm, _ = plc.Pick(Ask{Prompt: prm}, 0)
	gom.Expect(plm.Engine.ID).To(gomega.Equal("old-1"))
	for i := range 8 {
		plc.Begin("old-1", fmt.Sprint("load-", i), prompt(fmt.Sprint(i)), 0, 0)
	}
	for range 2 {
		plm, _ = plc.Pick(Ask{Prompt: prm, Avoid: []string{"new-1", "new-2"}}, 0)
		gom.Expect(plm.Engine.ID).To(gomega.Equal("old-2"))
		gom.Expect(plm.FetchAddr).To(gomega.Equal("a1"))
		plm, _ = plc.Pick(Ask{Prompt: prm, Avoid: []string{"old-2"}}, 0)
		gom.Expect(plm.Engine.Build).To(gomega.Equal("v2"))
		gom.Expect(plm.FetchAddr).To(gomega.BeEmpty())
		plc.ReportCached("new-2", prm.Parts[:2])
		plc.ReportCached("new-1", prm.Parts[:2])
	}
}
