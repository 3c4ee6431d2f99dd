package prefix

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
		list = append(list, Engine{ID: fmt.Sprintf("e%d", i), Places: 64})
	}
	bk.Sync(list)
	return bk
}

func prompt(shared string) Prompt {
	return Prompt{Parts: []Part{{ID: "all", Tokens: 2500}, {ID: shared, Tokens: 3800}, {ID: "own", Tokens: 100}}}
}

// TestInstancesChooseAlike: two instances that know the same engines send a prompt's
// shared parts to the same one, whatever else they have seen.
func TestInstancesChooseAlike(t *testing.T) {
	gom := gomega.NewWithT(t)
	one, two := newBook(12), newBook(12)
	used := map[string]bool{}
	for i := range 100 {
		prm := prompt(fmt.Sprint(i))
		fst, _ := one.Pick(prm, "a", nil, 0)
		snd, _ := two.Pick(prm, "b", nil, 0)
		gom.Expect(fst.ID).To(gomega.Equal(snd.ID))
		used[fst.ID] = true
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
		eng, _ := bk.Pick(prompt(fmt.Sprint(i)), "", nil, 0)
		before[i] = eng.ID
	}
	bk.Leave("e3")
	for i, was := range before {
		eng, _ := bk.Pick(prompt(fmt.Sprint(i)), "", nil, 0)
		if was != "e3" {
			gom.Expect(eng.ID).To(gomega.Equal(was))
		} else {
			gom.Expect(eng.ID).NotTo(gomega.Equal("e3"))
		}
	}
}

// TestHotPromptSpreads: everybody asks about one thing. Its engine takes its part
// and a little more; the rest goes to others before it queues.
func TestHotPromptSpreads(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(4)
	count := map[string]int{}
	for range 40 {
		eng, _ := bk.Pick(prompt("hot"), "", nil, 0)
		bk.Begin(eng.ID)
		count[eng.ID]++
	}
	for _, n := range count {
		gom.Expect(n).To(gomega.BeNumerically("<=", 20))
	}
	gom.Expect(len(count)).To(gomega.BeNumerically(">=", 3))
}

// TestOldWordsCountLess: an engine said seconds ago that it was full. All instances
// read that word; it must not keep everybody away for long.
func TestOldWordsCountLess(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	home, _ := bk.Pick(prompt("x"), "", nil, 0)
	bk.Said(home.ID, 30, 0)
	other, _ := bk.Pick(prompt("x"), "", nil, 0)
	gom.Expect(other.ID).NotTo(gomega.Equal(home.ID))
	again, _ := bk.Pick(prompt("x"), "", nil, 20*clock.Second)
	gom.Expect(again.ID).To(gomega.Equal(home.ID))
}

// TestFailingIsBenched: two failures in a row take an engine out; after a while one
// request tries it. When all fail, they are used all the same.
func TestFailingIsBenched(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	home, _ := bk.Pick(prompt("x"), "", nil, 0)
	for range 2 {
		bk.Begin(home.ID)
		bk.End(home.ID, false, 0)
	}
	gom.Expect(bk.Usable(home.ID, 500)).To(gomega.BeFalse())
	eng, _ := bk.Pick(prompt("x"), "", nil, 500)
	gom.Expect(eng.ID).NotTo(gomega.Equal(home.ID))
	eng, _ = bk.Pick(prompt("x"), "", nil, 1001)
	gom.Expect(eng.ID).To(gomega.Equal(home.ID))
	bk.Begin(home.ID)
	eng, _ = bk.Pick(prompt("x"), "", nil, 1002)
	gom.Expect(eng.ID).NotTo(gomega.Equal(home.ID), "one at a time")
	other := eng.ID
	for range 2 {
		bk.Begin(other)
		bk.End(other, false, 1003)
	}
	_, ok := bk.Pick(prompt("x"), "", nil, 1004)
	gom.Expect(ok).To(gomega.BeTrue())
}

// TestStartedAgainKnowsNothing: an engine that was full, failing and leaving has ended and
// started again under its name. The new run is taken like any other, and what comes of
// requests of before is not counted against it.
func TestStartedAgainKnowsNothing(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := &Book{}
	bk.Sync([]Engine{{ID: "e@1", Places: 2}})
	bk.Begin("e@1")
	bk.Begin("e@1")
	bk.Said("e@1", 2, 0)
	bk.End("e@1", false, 0)
	bk.End("e@1", false, 0)
	bk.Leave("e@1")
	bk.Sync([]Engine{{ID: "e@2", Places: 2}})
	gom.Expect(bk.Usable("e@2", 1)).To(gomega.BeTrue())
	gom.Expect(bk.Full("e@2", 1)).To(gomega.BeFalse())
	bk.End("e@1", false, 2)
	bk.Said("e@1", 2, 2)
	gom.Expect(bk.Usable("e@2", 3)).To(gomega.BeTrue())
	gom.Expect(bk.Full("e@2", 3)).To(gomega.BeFalse())
}
