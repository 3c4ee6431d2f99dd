package ident

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

func ExampleIncarnation() {
	one, two := NewIncarnation("10.0.0.1:7300"), NewIncarnation("10.0.0.1:7300")
	fmt.Println(one.Addr(), one == two, len(one.Boot()))
	// Output: 10.0.0.1:7300 false 16
}

func ExampleProcess() {
	was, now := NewProcess("i-7f3a", 1000), NewProcess("i-7f3a", 2000)
	fmt.Println(now, now.Name(), now.StartedAt(), now.Replaces(was), was.Replaces(now))
	// Output: i-7f3a@2000 i-7f3a 2000 true false
}

// TestProcessNames: a process returns the endpoint's name and start time, whatever the name
// contains.
func TestProcessNames(t *testing.T) {
	gom := gomega.NewWithT(t)
	for _, name := range []string{"i-1", "i@1", "a@b@c", ""} {
		for _, born := range []clock.Milli{0, 1, 1790000000000} {
			prc := NewProcess(name, born)
			gom.Expect(prc.Name()).To(gomega.Equal(name))
			gom.Expect(prc.StartedAt()).To(gomega.Equal(born))
		}
	}
	gom.Expect(NewProcess("a", 2).Replaces(NewProcess("b", 1))).To(gomega.BeFalse())
	gom.Expect(NewProcess("a", 1).Replaces(NewProcess("a", 0))).To(gomega.BeTrue(), "a run with a start time is later than one without")
}
