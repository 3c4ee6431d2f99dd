package state

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
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
