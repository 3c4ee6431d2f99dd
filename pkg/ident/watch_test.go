package ident

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestCallsOfAnEarlierRunEnd: calls are in flight at two endpoints, and one of them is
// listed with a later start. Its calls to the earlier run are canceled, each once; those to
// the other endpoint and to the new run continue.
func TestCallsOfAnEarlierRunEnd(t *testing.T) {
	gom := gomega.NewWithT(t)
	var wat RestartWatch
	ended := map[string]int{}
	watch := func(proc Process) func() { return wat.Add(proc, func() { ended[string(proc)]++ }) }
	stopOld, stopNew, stopOther := watch("a@1"), watch("a@2"), watch("b@1")
	watch("a@1")()
	wat.RunListed("a@1")
	wat.RunListed("b@1")
	gom.Expect(ended).To(gomega.BeEmpty())
	wat.RunListed("a@2")
	gom.Expect(ended).To(gomega.Equal(map[string]int{"a@1": 1}))
	stopOld()
	wat.RunListed("a@2")
	gom.Expect(ended).To(gomega.Equal(map[string]int{"a@1": 1}))
	stopNew()
	stopOther()
	gom.Expect(wat.byName).To(gomega.BeEmpty())
}
