package member

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// TestUnresponsiveOwnersAreProbed: of two hundred instances the first five owners of a pool
// lose power together. An instance with an order for the pool tries one after the other and
// gets no answer. Regular probes reach them so rarely that they stay first in the ranking
// for many seconds, and each request in that time waits for them again. With requested
// probes they are out of the ranking one period later, and a member that acknowledges
// stays.
func TestUnresponsiveOwnersAreProbed(t *testing.T) {
	gom := gomega.NewWithT(t)
	lst := New("me#1", "z", "", 0)
	for i := range 200 {
		lst.Merge([]Update{{ID: ident.Incarnation(fmt.Sprintf("10.0.0.%d:1#1", i)), Seq: 1, Beat: 1}}, 0)
	}
	first := lst.Owners("pool")[:5]
	gom.Expect(first).NotTo(gomega.ContainElement(ident.Incarnation("me#1")))
	lst.nextProbeAt = clock.Minute // no regular probe is due
	for _, who := range first {
		act, ok := lst.RequestProbe(who, 1000)
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(act).To(gomega.Equal(Action{Kind: SendProbe, Target: who}))
		_, again := lst.RequestProbe(who, 1001)
		gom.Expect(again).To(gomega.BeFalse(), "only one probe is sent")
	}
	lst.Ack(first[4], 1200)
	lst.Tick(1000 + AckWait)
	lst.Tick(1000 + Period)
	gom.Expect(lst.Owners("pool")[0]).To(gomega.Equal(first[4]))
	for _, who := range first[:4] {
		mbr, _ := lst.Find(who)
		gom.Expect(mbr.Status()).To(gomega.Equal(Suspect))
	}
}

// TestOwnersSurviveRestart: all instances are killed and restarted. For a second only their
// addresses are known, from the instance entries of the earlier processes. All instances
// that know the addresses agree on the owners, whichever incarnations they have learned;
// none considers itself the only member, and each address is in the ranking once.
func TestOwnersSurviveRestart(t *testing.T) {
	gom := gomega.NewWithT(t)
	learn := func(lst *List, boot string, hosts ...int) {
		for _, host := range hosts {
			lst.Merge([]Update{{ID: ident.Incarnation(fmt.Sprintf("10.0.0.%d:1#%s", host, boot)), Seq: 1, Capacity: float64(1 + host%3)}}, 0)
		}
	}
	addrs := func(lst *List) []string {
		var list []string
		for _, who := range lst.Owners("pool") {
			list = append(list, who.Addr())
		}
		return list
	}
	one, two := New("10.0.0.1:1#new", "z", "", 0), New("10.0.0.2:1#new", "z", "", 0)
	one.SetCapacity(2)
	two.SetCapacity(3)
	learn(one, "old", 1, 2, 3, 4, 5)
	learn(two, "old", 1, 2, 3)
	learn(two, "new", 1, 3, 4, 5)
	gom.Expect(addrs(one)).To(gomega.HaveLen(5))
	gom.Expect(addrs(one)).To(gomega.Equal(addrs(two)))
	gom.Expect(one.Owners("pool")).To(gomega.ContainElement(one.Self()))

	// The ends of the earlier processes arrive sooner than the new incarnations.
	for _, host := range []string{"2", "3", "4", "5"} {
		one.Merge([]Update{{ID: ident.Incarnation("10.0.0." + host + ":1#old"), Ended: true}}, 1000)
	}
	one.Tick(1500)
	gom.Expect(addrs(one)).To(gomega.Equal(addrs(two)))
	learn(one, "new", 2, 3)
	one.Tick(1000 + ReplacedFor)
	gom.Expect(addrs(one)).To(gomega.ConsistOf("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"))
}

// Guards against instances that are named for long to callers after most instances were lost at once: each is probed in
// turn, and one that doesn't answer says something of the others. It is to be out of the answers within six seconds.
func TestManyLostInstancesAreSuspectedSoon(t *testing.T) {
	const tick, bound = 100, 6 * clock.Second
	rapid.Check(t, func(rpd *rapid.T) {
		gom := gomega.NewWithT(rpd)
		count := rapid.IntRange(2, MeshSize-1).Draw(rpd, "others")
		lost := rapid.IntRange(count-1, count).Draw(rpd, "lost")
		lostAt := 20*clock.Second + clock.Milli(rapid.IntRange(0, 1000).Draw(rpd, "at"))
		lst := New("me#1", "z", "", 0)
		var all []ident.Incarnation
		for i := range count {
			who := ident.Incarnation(fmt.Sprintf("10.0.0.%d:1#1", i))
			all = append(all, who)
			lst.Merge([]Update{{ID: who, Seq: 1, Beat: 1}}, 0)
		}
		probes := 0
		for now := clock.Milli(0); now <= lostAt+bound; now += tick {
			for _, act := range lst.Tick(now) {
				if now > lostAt && act.Kind == SendProbe {
					probes++
				}
				if act.Kind == SendProbe && (now < lostAt || !slices.Contains(all[:lost], act.Target)) {
					lst.Ack(act.Target, now)
				}
			}
		}
		for i, who := range all {
			mbr, _ := lst.Find(who)
			gom.Expect(mbr.Status() == Alive).To(gomega.Equal(i >= lost), "%s of %d", who, count)
		}
		gom.Expect(probes).To(gomega.BeNumerically("<=", int(bound/Period)+1+ExtraProbes*(lost+2)))
	})
}
