package ident

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestCallsOfAnEarlierRunEnd: calls are under way at two endpoints, and one of them is listed
// with a later start. Its calls are ended, each once it was sent to the earlier run, and those
// of the other endpoint and of the new run go on.
func TestCallsOfAnEarlierRunEnd(t *testing.T) {
	gom := gomega.NewWithT(t)
	var wat Watch
	ended := map[string]int{}
	watch := func(proc Process) func() { return wat.Watch(proc, func() { ended[string(proc)]++ }) }
	stopOld, stopNew, stopOther := watch("a@1"), watch("a@2"), watch("b@1")
	watch("a@1")()
	wat.Listed("a@1")
	wat.Listed("b@1")
	gom.Expect(ended).To(gomega.BeEmpty())
	wat.Listed("a@2")
	gom.Expect(ended).To(gomega.Equal(map[string]int{"a@1": 1}))
	stopOld()
	wat.Listed("a@2")
	gom.Expect(ended).To(gomega.Equal(map[string]int{"a@1": 1}))
	stopNew()
	stopOther()
	gom.Expect(wat.byName).To(gomega.BeEmpty())
}
