package state

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
)

// TestAnswersAreBounded guards against a memory of answers that grows with the parts of callers' prompts, forgets answers too
// soon, or goes back to an earlier one.
func TestAnswersAreBounded(t *testing.T) {
	gom := gomega.NewWithT(t)
	var alg answerLog
	one := []poison.Fingerprint{poison.PartOf("engines", "one")}
	alg.add(one, 5, 10)
	alg.add(one, 3, 10)
	at, ok := alg.latest(one[0])
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(at).To(gomega.Equal(clock.Milli(5)))
	alg.add([]poison.Fingerprint{poison.PartOf("engines", "two")}, 9, poison.AnswerMemory+5)
	_, ok = alg.latest(one[0])
	gom.Expect(ok).To(gomega.BeTrue())
	for i := range 3 * maxAnswers {
		alg.add([]poison.Fingerprint{poison.PartOf("engines", fmt.Sprint(i))}, 9, poison.AnswerMemory+6)
		gom.Expect(len(alg.recent) + len(alg.older)).To(gomega.BeNumerically("<=", maxAnswers))
	}
	_, ok = alg.latest(one[0])
	gom.Expect(ok).To(gomega.BeFalse())
}

// takesFacts returns a store that takes the facts that are to outlive all instances.
func takesFacts() proto.Store {
	return proto.Store{PutShared: func(context.Context, []byte) error { return nil }}
}

// TestJudgementsAreSpaced guards against a processor that is busy with judging all crashes anew for each message while many
// endpoints crash, and against a crash that is never judged.
func TestJudgementsAreSpaced(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, takesFacts())
	fpr, other := poison.PartOf("engines", "one"), ident.NewIncarnation("10.0.0.2:1")
	receive := func(from, to int) {
		var facts []gossip.Fact
		for i := range to - from {
			key := poison.PartKey(fpr, ident.Process(fmt.Sprint(from+i)))
			facts = append(facts, gossip.Fact{Kind: gossip.CrashedUnder, Key: key, Value: "x", Version: 1})
		}
		ctl.Handle(t.Context(), peer.Message{Kind: peer.PushFacts, From: other, To: ctl.Self(), Facts: facts})
	}
	receive(0, fewFacts+1)
	judged := map[*poison.List]bool{}
	began := time.Now()
	for i := range 200 {
		receive(fewFacts+1+i, fewFacts+2+i)
		judged[ctl.View().Suspects()] = true
	}
	gom.Expect(len(judged)).To(gomega.BeNumerically("<=", 3+int(time.Since(began)/judgeInterval.Duration())))
	gom.Eventually(func() int {
		count := 0
		for _, prt := range ctl.View().Suspects().Convicted([]poison.Fingerprint{fpr}) {
			count += len(prt.Crashes())
		}
		return count
	}, soon).Should(gomega.Equal(fewFacts + 201))
}

// TestFewCrashesAreJudgedAtOnce guards against sound requests that are refused for longer than others' answers take.
func TestFewCrashesAreJudgedAtOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, takesFacts())
	fpr, other := poison.FingerprintOf("h", "/poison", "", nil), ident.NewIncarnation("10.0.0.2:1")
	for i := range 20 {
		key := poison.Key(fpr, ident.Process(fmt.Sprint(i)))
		ctl.Handle(t.Context(), peer.Message{Kind: peer.PushFacts, From: other, To: ctl.Self(), Facts: []gossip.Fact{{Kind: gossip.CrashedUnder, Key: key, Value: "x", Version: 1}}})
		gom.Eventually(func() int { return len(ctl.View().Suspects().Crashes(fpr)) }, (judgeInterval / 2).Duration(), time.Millisecond).Should(gomega.Equal(i + 1))
	}
}

// TestOwnCrashesAreJudgedAtOnce guards against an instance that sends a request to another endpoint before it has judged the
// crash that it recorded itself.
func TestOwnCrashesAreJudgedAtOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	ctl := started(t, takesFacts())
	fpr := poison.FingerprintOf("h", "/poison", "", nil)
	for i := range fewFacts + 20 {
		ctl.RecordCrash(fpr, ident.Process(fmt.Sprint(i)))
		gom.Expect(ctl.View().Suspects().Crashes(fpr)).To(gomega.HaveLen(i + 1))
	}
}
