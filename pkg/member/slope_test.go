package member

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/golden"
	"amaranthvalve/pkg/clock"
)

// TestSlopes measures the cost of a member, and how long a newly applied offset takes to
// become known to a publisher, at today's size and at 390 instances.
func TestSlopes(t *testing.T) {
	golden.SkipUnlessMeasuring(t)
	for _, n := range []int{9, 100, 390} {
		grp := newGroup(n)
		for i := range n {
			for j := range n {
				grp.lists[name(i)].Merge([]Update{{ID: name(j), Zone: "dc1", Caller: name(j).Addr(), Seq: 1}}, grp.now)
			}
		}
		bytes := golden.HeapGrowth(func() any { return copyOf(grp, n) }) / int64(n)
		grp.run(5 * clock.Second)
		lst := grp.lists[name(0)]
		began := time.Now()
		for range 100 {
			lst.Tick(grp.now)
			_ = lst.All()
		}
		step := time.Since(began) / 100
		raw, _ := cbor.Marshal(lst.Updates(name(1)))
		t.Logf("%d members: %d bytes a member, %v a step with a new view, %d bytes of updates in a message, all known to a publisher after %v (90 s at most)",
			n, bytes, step, len(raw), propagation(grp))
	}
}

// copyOf builds one instance's list of n members again.
func copyOf(grp *group, n int) *List {
	lst := New(name(0), "dc1", "a", grp.now)
	for j := range n {
		lst.Merge([]Update{{ID: name(j), Zone: "dc1", Caller: string(name(j)), Seq: 1}}, grp.now)
	}
	return lst
}

// propagation sets a new applied offset at every instance and returns the fake time until
// one of them knows it of all.
func propagation(grp *group) time.Duration {
	began := grp.now
	for _, lst := range grp.lists {
		lst.SetSelf(7, 0, false, grp.now)
	}
	for grp.now-began < 90*clock.Second {
		grp.runAt(50, 7)
		if len(grp.lists[name(0)].Lagging(7, 0, grp.now)) == 0 {
			break
		}
	}
	return (grp.now - began).Duration()
}

// runAt is run with all instances at an applied offset.
func (grp *group) runAt(span clock.Milli, applied int64) {
	grp.applied = applied
	grp.run(span)
}
