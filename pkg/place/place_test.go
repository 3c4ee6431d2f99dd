package place

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

func newBook(count int) *Book {
	bk := &Book{}
	var list []Engine
	for i := range count {
		list = append(list, Engine{ID: fmt.Sprintf("e%d", i), Addr: fmt.Sprintf("a%d", i), Places: 64})
	}
	bk.Sync(list)
	return bk
}

func prompt(shared string) Prompt {
	return Prompt{Parts: []Part{{ID: "all", Tokens: 500}, {ID: shared, Tokens: 3800}, {ID: "own", Tokens: 100}}, In: 4400, Out: 200}
}

// pick chooses and takes an engine.
func pick(bk *Book, ticket string, ask Ask, now clock.Milli) Seat {
	seat, ok := bk.Pick(ask, now)
	if ok {
		bk.Begin(seat.Engine.ID, ticket, ask.Prompt, ask.Gap, now)
	}
	return seat
}

// TestInstancesChooseAlike: two instances that know the same engines and nothing else send a
// prompt's shared parts to the same one, and different ones to different engines.
func TestInstancesChooseAlike(t *testing.T) {
	gom := gomega.NewWithT(t)
	used := map[string]bool{}
	for i := range 100 {
		ask := Ask{Prompt: prompt(fmt.Sprint(i))}
		fst, _ := newBook(12).Pick(ask, 0)
		ask.Salt = "another"
		snd, _ := newBook(12).Pick(ask, 0)
		gom.Expect(fst.Engine.ID).To(gomega.Equal(snd.Engine.ID))
		used[fst.Engine.ID] = true
	}
	gom.Expect(used).To(gomega.HaveLen(12))
}

// TestGoneMovesOnlyItsOwn: when an engine leaves, prompts of the others stay where
// they are cached.
func TestGoneMovesOnlyItsOwn(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(6)
	before := map[int]string{}
	for i := range 60 {
		seat, _ := bk.Pick(Ask{Prompt: prompt(fmt.Sprint(i))}, 0)
		before[i] = seat.Engine.ID
	}
	bk.Leave("e3")
	for i, was := range before {
		seat, _ := bk.Pick(Ask{Prompt: prompt(fmt.Sprint(i))}, 0)
		if was != "e3" {
			gom.Expect(seat.Engine.ID).To(gomega.Equal(was))
		} else {
			gom.Expect(seat.Engine.ID).NotTo(gomega.Equal("e3"))
		}
	}
}

// TestNothingSharedSpreads: prompts that share nothing come at once. Each goes to an engine
// of its own, though all cost the same.
func TestNothingSharedSpreads(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(8)
	used := map[string]bool{}
	for i := range 8 {
		used[pick(bk, fmt.Sprint(i), Ask{Prompt: Prompt{In: 2000, Out: 10}, Salt: fmt.Sprint(i)}, 0).Engine.ID] = true
	}
	gom.Expect(used).To(gomega.HaveLen(8))
}

// TestHotPromptSpreads: everybody asks about one thing. Its engine takes its part; the others
// wait there only as long as it takes to have the shared parts elsewhere.
func TestHotPromptSpreads(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(4)
	count := map[string]int{}
	for i := range 80 {
		count[pick(bk, fmt.Sprint(i), Ask{Prompt: prompt("hot")}, 0).Engine.ID]++
	}
	for _, n := range count {
		gom.Expect(n).To(gomega.BeNumerically("<=", 40))
	}
	gom.Expect(len(count)).To(gomega.Equal(4))
}

// TestPromptsWeighWhatIsRead: an engine reads a prompt of 40,000 tokens, another runs five
// requests whose prompts are read. The next short prompt goes beside the five: counted as
// requests, it would wait for seconds behind the one.
func TestPromptsWeighWhatIsRead(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	bk.Begin("e0", "long", Prompt{In: 40000, Out: 100}, 0, 0)
	for i := range 5 {
		ticket := fmt.Sprint(i)
		bk.Begin("e1", ticket, Prompt{In: 500, Out: 300}, 0, 0)
		bk.First(ticket, 30, 0)
	}
	for i := range 20 {
		seat, _ := bk.Pick(Ask{Prompt: Prompt{In: 500, Out: 10}, Salt: fmt.Sprint(i)}, 100)
		gom.Expect(seat.Engine.ID).To(gomega.Equal("e1"))
	}
}

// TestWhatIsHeldIsUsed: an engine has read a document. The next question about it goes there
// while it waits for nothing; when that engine reads a long prompt, it goes elsewhere, and
// is told where the document can be fetched, if engines can.
func TestWhatIsHeldIsUsed(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(4)
	for _, eng := range bk.list {
		eng.Fetches = true
	}
	ask := Ask{Prompt: prompt("doc")}
	first := pick(bk, "1", ask, 0)
	bk.First("1", 120, 120)
	second := pick(bk, "2", ask, 1000)
	gom.Expect(second.Engine.ID).To(gomega.Equal(first.Engine.ID))
	gom.Expect(second.Held).To(gomega.Equal(4300))
	gom.Expect(second.From).To(gomega.BeEmpty())
	bk.First("2", 30, 1030)
	bk.Begin(first.Engine.ID, "long", Prompt{In: 40000, Out: 10}, 0, 1100)
	third := pick(bk, "3", ask, 1101)
	gom.Expect(third.Engine.ID).NotTo(gomega.Equal(first.Engine.ID))
	gom.Expect(third.From).To(gomega.Equal(first.Engine.Addr))
	for _, eng := range bk.list {
		eng.Fetches = false
	}
	fourth, _ := bk.Pick(ask, 1102)
	gom.Expect(fourth.From).To(gomega.BeEmpty())
}

// TestHeldIsForgotten: an engine's memory holds so many tokens. What was read before that many
// others is not taken to be there; what was used since is.
func TestHeldIsForgotten(t *testing.T) {
	gom := gomega.NewWithT(t)
	var hld held
	old, used := prompt("old"), prompt("used")
	hld.use(old.shared(), 4400)
	hld.use(used.shared(), 4400)
	for i := range 10 {
		hld.use(prompt(fmt.Sprint(i)).shared(), 4400)
		hld.use(used.shared(), 100)
	}
	gom.Expect(hld.tokens(used, 50000)).To(gomega.Equal(4300))
	gom.Expect(hld.tokens(old, 50000)).To(gomega.Equal(500), "all of them begin alike")
	gom.Expect(hld.tokens(old, 0)).To(gomega.Equal(4300), "no bound is known")
	for i := range 3 * heldMost {
		hld.use(prompt(fmt.Sprint("more", i)).shared(), 1)
	}
	gom.Expect(len(hld.at)).To(gomega.BeNumerically("<=", heldMost))
}

// TestWhatEnginesSayIsKnown: whoever placed before has died. The engine that has read a document
// says so when it is asked, and the next question about it goes there, as before.
func TestWhatEnginesSayIsKnown(t *testing.T) {
	gom := gomega.NewWithT(t)
	for i := range 20 {
		bk := newBook(6)
		ask := Ask{Prompt: prompt(fmt.Sprint("doc", i))}
		bk.Holds("e3", ask.Prompt.Parts[:2])
		bk.Holds("e5", ask.Prompt.Parts[1:2])
		bk.Holds("e9", ask.Prompt.Parts)
		seat, _ := bk.Pick(ask, 0)
		gom.Expect(seat.Engine.ID).To(gomega.Equal("e3"))
		gom.Expect(seat.Held).To(gomega.Equal(4300))
	}
}

// TestHungEngineIsLeft: an engine takes a prompt and doesn't begin it. The longer it takes, the
// less it is sent: whoever asks, from whichever instance, is not its second victim. Once it
// begins, or the request is given up, it is as good as before.
func TestHungEngineIsLeft(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(3)
	ask := Ask{Prompt: prompt("doc")}
	home := pick(bk, "1", ask, 0).Engine.ID
	gom.Expect(bk.byID[home].wait(2000)).To(gomega.BeNumerically(">", 1000))
	for i := range clock.Milli(5) {
		seat, _ := bk.Pick(Ask{Prompt: prompt("doc"), Avoid: nil}, 2000+100*i)
		gom.Expect(seat.Engine.ID).NotTo(gomega.Equal(home))
	}
	bk.End("1", Untold, 0, 3000)
	gom.Expect(bk.byID[home].wait(3000)).To(gomega.BeZero())
}

// TestLostWordsAreMadeUpFor: the words on the end of some requests are lost. They count for a
// while and then no more.
func TestLostWordsAreMadeUpFor(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	for i := range 64 {
		bk.Begin("e0", fmt.Sprint(i), Prompt{In: 100, Out: 10}, 0, 0)
	}
	gom.Expect(bk.Full("e0", 100)).To(gomega.BeTrue())
	_, ok := bk.Pick(Ask{}, lostAfter+1)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bk.runs).To(gomega.BeEmpty())
	gom.Expect(bk.byID["e0"].runs).To(gomega.BeEmpty())
}

// TestOldWordsCountLess: an engine said seconds ago that it was full. It must not keep
// everybody away for long.
func TestOldWordsCountLess(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	ask := Ask{Prompt: prompt("x")}
	home, _ := bk.Pick(ask, 0)
	bk.Said(home.Engine.ID, 64, 0)
	other, _ := bk.Pick(ask, 0)
	gom.Expect(other.Engine.ID).NotTo(gomega.Equal(home.Engine.ID))
	again, _ := bk.Pick(ask, 60*clock.Second)
	gom.Expect(again.Engine.ID).To(gomega.Equal(home.Engine.ID))
}

// TestLargeAnswersAreSpared: beside a long prompt streams become late. One engine runs a long
// transcription, the other two short answers. The prompt goes to the two: what was spent on
// the one is more.
func TestLargeAnswersAreSpared(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	for i := range 300 {
		bk.pauses.sample(200*i, float64(i))
		bk.Begin("e0", fmt.Sprint("m", i), Prompt{In: 1000, Out: 500}, 0, 0)
		bk.End(fmt.Sprint("m", i), Untold, 0, 0)
	}
	bk.Begin("e0", "large", Prompt{In: 30000, Out: 1500}, 200, 0)
	bk.First("large", 900, 900)
	for _, ticket := range []string{"1", "2"} {
		bk.Begin("e1", ticket, Prompt{In: 800, Out: 400}, 200, 900)
		bk.First(ticket, 30, 930)
	}
	for i := range 20 {
		seat, _ := bk.Pick(Ask{Prompt: Prompt{In: 40000, Out: 100}, Salt: fmt.Sprint(i), Gap: 200}, 1000)
		gom.Expect(seat.Engine.ID).To(gomega.Equal("e1"))
	}
}

// TestResultsAreNear: what a request takes lies in one data centre. Of engines that cost alike
// one there is taken.
func TestResultsAreNear(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := &Book{}
	bk.Sync([]Engine{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2"}})
	for i := range 20 {
		seat, _ := bk.Pick(Ask{Prompt: Prompt{In: 500}, Salt: fmt.Sprint(i), Zone: "z2", Bytes: 2_000_000}, 0)
		gom.Expect(seat.Engine.ID).To(gomega.Equal("b"))
	}
}

// TestMemoryIsABound: an engine's requests need all its memory. Another one is taken, and
// the engine would have to put requests back otherwise.
func TestMemoryIsABound(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := &Book{}
	bk.Sync([]Engine{{ID: "a", Memory: 50000, Places: 64}, {ID: "b", Memory: 50000, Places: 64}})
	ask := Ask{Prompt: Prompt{In: 26000, Out: 100}, Salt: "s"}
	first := pick(bk, "1", ask, 0).Engine.ID
	bk.First("1", 900, 900)
	bk.Begin(first, "2", ask.Prompt, 0, 900)
	bk.First("2", 900, 1800)
	seat, ok := bk.Pick(Ask{Prompt: Prompt{In: 10}, Salt: "s"}, 1900)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(seat.Engine.ID).NotTo(gomega.Equal(first))
}

// TestFailingIsBenched: two failures in a row take an engine out; after a while one
// request tries it. When all fail, they are used all the same.
func TestFailingIsBenched(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	ask := Ask{Prompt: prompt("x")}
	home, _ := bk.Pick(ask, 0)
	fail := func(id string, now clock.Milli) {
		for range 2 {
			bk.Begin(id, "t", ask.Prompt, 0, now)
			bk.End("t", Ill, 0, now)
		}
	}
	fail(home.Engine.ID, 0)
	gom.Expect(bk.Usable(home.Engine.ID, 500)).To(gomega.BeFalse())
	seat, _ := bk.Pick(ask, 500)
	gom.Expect(seat.Engine.ID).NotTo(gomega.Equal(home.Engine.ID))
	seat, _ = bk.Pick(ask, 1001)
	gom.Expect(seat.Engine.ID).To(gomega.Equal(home.Engine.ID))
	bk.Begin(home.Engine.ID, "probe", ask.Prompt, 0, 1001)
	seat, _ = bk.Pick(ask, 1002)
	gom.Expect(seat.Engine.ID).NotTo(gomega.Equal(home.Engine.ID), "one at a time")
	fail(seat.Engine.ID, 1003)
	_, ok := bk.Pick(ask, 1004)
	gom.Expect(ok).To(gomega.BeTrue())
}

// TestStartedAgainKnowsNothing: an engine that was full, failing, slow and leaving has ended
// and started again under its name. The new run is taken like any other and holds no prompt,
// and what comes of requests of before is not counted against it.
func TestStartedAgainKnowsNothing(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := &Book{}
	bk.Sync([]Engine{{ID: "e@1", Places: 2}})
	bk.Begin("e@1", "1", prompt("doc"), 0, 0)
	bk.Begin("e@1", "2", prompt("doc"), 0, 0)
	bk.Begin("e@1", "3", prompt("doc"), 0, 0)
	bk.Said("e@1", 3, 0)
	bk.End("1", Ill, 0, 0)
	bk.End("2", Ill, 0, 0)
	bk.Leave("e@1")
	bk.Sync([]Engine{{ID: "e@2", Places: 2}})
	gom.Expect(bk.Usable("e@2", 1)).To(gomega.BeTrue())
	gom.Expect(bk.Full("e@2", 1)).To(gomega.BeFalse())
	seat, _ := bk.Pick(Ask{Prompt: prompt("doc")}, 1)
	gom.Expect(seat.Wait + clock.Milli(seat.Streams)).To(gomega.BeZero())
	gom.Expect(bk.byID["e@2"].held.at).To(gomega.BeEmpty())
	bk.End("3", Ill, 0, 2)
	bk.Said("e@1", 2, 2)
	gom.Expect(bk.Usable("e@2", 3)).To(gomega.BeTrue())
	gom.Expect(bk.Full("e@2", 3)).To(gomega.BeFalse())
}
