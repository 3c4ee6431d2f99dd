package reach

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func ExampleTable() {
	var tbl Table
	tbl.SetKnown(12)
	tbl.RecordDirect("10.0.0.1:80", Refused, 1000)
	tbl.RecordRelayed("10.0.0.1:80", true, 1003)
	fmt.Println(tbl.Strategy("10.0.0.1:80", 1004) == RelayFirst, tbl.Strategy("10.0.0.2:80", 1004) == DirectFirst, tbl.Blind())
	tbl.RecordDirect("10.0.0.1:80", Connected, 2000)
	fmt.Println(tbl.Strategy("10.0.0.1:80", 2001) == DirectFirst)
	// Output:
	// true true false
	// true
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

// Guards against taking an instance for partitioned from all endpoints since a few of them are down.
func TestFewFailuresAreNoPartition(t *testing.T) {
	gom := gomega.NewWithT(t)
	var tbl Table
	tbl.SetKnown(12)
	for i := range 10 {
		for j := range blindAddrs - 1 {
			tbl.RecordDirect(addr(j), Refused, clock.Milli(10*i))
		}
		gom.Expect(tbl.Blind()).To(gomega.BeFalse())
	}
	tbl.RecordDirect(addr(blindAddrs), Unanswered, 200)
	gom.Expect(tbl.Blind()).To(gomega.BeTrue())
	gom.Expect(tbl.Strategy(addr(11), 201)).To(gomega.Equal(RelayFirst))
	gom.Expect(tbl.RecordDirect(addr(5), Connected, 300)).To(gomega.BeTrue())
	gom.Expect(tbl.Blind()).To(gomega.BeFalse())
	for now, told := range map[clock.Milli]bool{300 + blindHold - 1: true, 300 + blindHold: false} {
		blind, recovering := tbl.Advertised(now)
		gom.Expect([]bool{blind, recovering}).To(gomega.Equal([]bool{told, told}))
	}
}

// Guards against taking an instance for partitioned since many endpoints have ended at once: no other
// instance reaches them either. Its roles change hands then.
func TestManyDownAddressesAreNoPartition(t *testing.T) {
	gom := gomega.NewWithT(t)
	var tbl Table
	tbl.SetKnown(12)
	for now := clock.Milli(1000); now < 6000; now += 300 {
		for i := range 2 * blindAddrs {
			tbl.RecordDirect(addr(i), Refused, now)
		}
		gom.Expect(tbl.Blind()).To(gomega.Equal(now == 1000), "until others were asked")
		for i := range 2 * blindAddrs {
			tbl.RecordRelayed(addr(i), false, now+5)
		}
		gom.Expect(tbl.Blind()).To(gomega.BeFalse())
		blind, _ := tbl.Advertised(now + 10)
		gom.Expect(blind).To(gomega.BeFalse())
	}
	for i := range blindAddrs {
		tbl.RecordDirect(addr(8+i), Unanswered, 6000)
	}
	gom.Expect(tbl.Blind()).To(gomega.BeTrue())
	blind, _ := tbl.Advertised(6000 + blindAfter)
	gom.Expect(blind).To(gomega.BeTrue())
}

// Guards against telling others of a moment in which several endpoints have ended and none was connected.
func TestMomentIsNotAdvertised(t *testing.T) {
	gom := gomega.NewWithT(t)
	var tbl Table
	tbl.SetKnown(12)
	for i := range blindAddrs {
		tbl.RecordDirect(addr(i), Refused, 1000)
	}
	gom.Expect(tbl.RecordDirect(addr(9), Connected, 1002)).To(gomega.BeTrue())
	blind, _ := tbl.Advertised(1003)
	gom.Expect(blind).To(gomega.BeFalse())
}

// Guards against relaying connections to an endpoint that is down: each attempt would cost two.
func TestDownAddressIsNotRelayed(t *testing.T) {
	gom := gomega.NewWithT(t)
	var tbl Table
	tbl.SetKnown(12)
	tbl.RecordDirect(addr(1), Refused, 100)
	tbl.RecordRelayed(addr(1), false, 105)
	gom.Expect(tbl.Strategy(addr(1), 106)).To(gomega.Equal(DirectOnly))
	gom.Expect(tbl.Strategy(addr(1), 105+downFor)).To(gomega.Equal(DirectFirst))
	gom.Expect(tbl.NeedsProbe()).To(gomega.BeFalse())
}

// Guards against a path that stays relayed after the partition has healed, and against probing
// addresses for ever that are not used any more.
func TestBlockedPathsAreProbed(t *testing.T) {
	gom := gomega.NewWithT(t)
	var tbl Table
	tbl.SetKnown(12)
	for i := range 3 {
		tbl.Strategy(addr(i), 0)
		tbl.RecordDirect(addr(i), Refused, 0)
		tbl.RecordRelayed(addr(i), true, 3)
	}
	gom.Expect(tbl.Severed()).To(gomega.Equal(3))
	probed := map[string]bool{}
	for i := range 3 {
		next, ok := tbl.NextProbe(clock.Milli(10 + i))
		gom.Expect(ok).To(gomega.BeTrue())
		probed[next] = true
	}
	gom.Expect(probed).To(gomega.HaveLen(3))
	gom.Expect(tbl.RecordDirect(addr(2), Connected, 600)).To(gomega.BeTrue())
	gom.Expect(tbl.NeedsProbe()).To(gomega.BeFalse())

	tbl.RecordDirect(addr(1), Refused, 700)
	tbl.RecordRelayed(addr(1), true, 701)
	_, ok := tbl.NextProbe(retention + 1)
	gom.Expect(ok).To(gomega.BeFalse())
	gom.Expect(tbl.NeedsProbe()).To(gomega.BeFalse())
}

// Guards against an instance that stays blind, or forgets blocked paths, in any order of events.
func TestDirectConnectionHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tbl Table
		tbl.SetKnown(rapid.IntRange(1, 20).Draw(t, "known"))
		now := clock.Milli(1)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now += clock.Milli(rapid.IntRange(0, 400).Draw(t, "pause"))
			to := addr(rapid.IntRange(1, 20).Draw(t, "addr"))
			tbl.Strategy(to, now)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				tbl.RecordDirect(to, rapid.SampledFrom(Results()[1:]).Draw(t, "result"), now)
			case 1:
				tbl.RecordRelayed(to, rapid.Bool().Draw(t, "connected"), now)
			case 2:
				tbl.RecordDirect(to, Connected, now)
				if tbl.Blind() || tbl.Strategy(to, now) != DirectFirst {
					t.Fatalf("%s was reached directly, and is not connected directly", to)
				}
			case 3:
				tbl.NextProbe(now)
			}
			if tbl.Severed() > 0 && !tbl.NeedsProbe() {
				t.Fatalf("a blocked path is not probed")
			}
		}
	})
}
