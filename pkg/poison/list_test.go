package poison

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/rumor"
)

// suspects is an instance's table with the list that follows from it.
type suspects struct {
	tbl rumor.Table
	lst *List
}

func newSuspects() *suspects {
	sus := &suspects{}
	sus.tbl.Bound(rumor.EndedUnder, Bounds(func() *List { return sus.lst }))
	return sus
}

func (sus *suspects) read(now clock.Milli) { sus.lst = Read(sus.tbl.All(rumor.EndedUnder, now), now) }

func (sus *suspects) end(mrk Mark, endpoint string, now clock.Milli) {
	sus.tbl.Set(rumor.EndedUnder, Key(mrk, ident.Process(endpoint)), "10.0.0.1:7300", now)
	sus.read(now)
}

func (sus *suspects) clear(mrk Mark, now clock.Milli) {
	Clear(&sus.tbl, sus.lst, mrk, now)
	sus.read(now)
}

var (
	deadly = MarkOf("desk.example", "/plan", "corella", []byte("deadly"))
	other  = MarkOf("desk.example", "/plan", "corella", []byte("other"))
)

func ExampleList_Quarantined() {
	sus := newSuspects()
	for i := range 3 {
		sus.end(deadly, fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second)
		fmt.Println(len(sus.lst.Ends(deadly)), sus.lst.Quarantined(deadly, clock.Milli(i)*clock.Second) > 0, sus.lst.Quarantined(other, 0) > 0)
	}
	// Output:
	// 1 false false
	// 2 false false
	// 3 true false
}

// Guards against facts that another instance can't read.
func TestKeysPassOverTheLink(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		mrk := MarkOf("", "", "", rapid.SliceOf(rapid.Byte()).Draw(rt, "body"))
		endpoint := ident.Process(rapid.String().Draw(rt, "endpoint"))
		body, err := cbor.Marshal(rumor.Fact{Key: Key(mrk, endpoint)})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		var fct rumor.Fact
		gom.Expect(cbor.Unmarshal(body, &fct)).To(gomega.Succeed())
		back, whose, ok := split(fct.Key)
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(back).To(gomega.Equal(mrk))
		gom.Expect(whose).To(gomega.Equal(endpoint))
	})
}

// Guards against counting one end twice: several instances see it.
func TestOneEndCountsOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	sus := newSuspects()
	for range 5 {
		sus.end(deadly, "i-1", 0)
	}
	gom.Expect(sus.lst.Ends(deadly)).To(gomega.HaveLen(1))
}

// Guards against a request that is refused for ends which it had nothing to do with.
func TestARequestThatRanIsCleared(t *testing.T) {
	gom := gomega.NewWithT(t)
	sus, far := newSuspects(), newSuspects()
	for i := range 4 {
		sus.end(other, fmt.Sprintf("i-%d", i), 0)
		if i%2 == 1 {
			sus.clear(other, 0)
		}
	}
	gom.Expect(sus.lst.Ends(other)).To(gomega.BeEmpty())
	// An instance that has heard of the ends alone hears of their clearing too.
	far.end(other, "i-0", 0)
	far.tbl.Learn(sus.tbl.Some(100, 1), 1)
	far.read(1)
	gom.Expect(far.lst.Empty()).To(gomega.BeTrue())
}

// Guards against a request that stays refused for ever, and against one that may end more than
// three endpoints, one each time that its quarantine is over.
func TestQuarantineEndsAndComesBackLonger(t *testing.T) {
	gom := gomega.NewWithT(t)
	sus := newSuspects()
	for i := range endsAllowed {
		sus.end(deadly, fmt.Sprintf("i-%d", i), 0)
	}
	now, again := clock.Milli(0), -1
	for now < remembered {
		sus.end(deadly, fmt.Sprintf("again-%d", again), now)
		again++
		span := sus.lst.Quarantined(deadly, now)
		gom.Expect(sus.lst.Quarantined(deadly, now+span-1)).To(gomega.Equal(clock.Milli(1)))
		gom.Expect(sus.lst.Quarantined(deadly, now+span)).To(gomega.BeZero())
		gom.Expect(sus.lst.OnTrial(deadly)).To(gomega.BeTrue())
		now += span
	}
	gom.Expect(again).To(gomega.Equal(3))
	gom.Expect(sus.tbl.Expire(now + remembered)).To(gomega.BeTrue())
	sus.read(now + remembered)
	gom.Expect(sus.lst.Empty()).To(gomega.BeTrue())
}

// Guards against a caller that has its own ends forgotten by sending many other requests beside.
func TestEndsThatMatterStay(t *testing.T) {
	gom := gomega.NewWithT(t)
	sus := newSuspects()
	for i := range 3 {
		sus.end(deadly, fmt.Sprintf("i-%d", i), 0)
	}
	for i := range mostEnds + 100 {
		sus.tbl.Set(rumor.EndedUnder, Key(MarkOf("h", fmt.Sprint(i), "", nil), "i-9"), "x", 1)
	}
	sus.read(1)
	gom.Expect(sus.tbl.Len()).To(gomega.Equal(mostEnds))
	gom.Expect(sus.lst.Quarantined(deadly, 1)).To(gomega.BeNumerically(">", 0))
}

// Guards against a request that is quarantined although it never was at three endpoints that
// ended, or that ran since, whatever came in which order.
func TestOnlyThreeEndsQuarantine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		sus, stands := newSuspects(), map[string]bool{}
		for range rapid.IntRange(0, 12).Draw(rt, "steps") {
			if rapid.IntRange(0, 3).Draw(rt, "what") == 0 {
				sus.clear(deadly, 0)
				for endpoint := range stands {
					stands[endpoint] = false
				}
				continue
			}
			endpoint := fmt.Sprint(rapid.IntRange(0, 6).Draw(rt, "endpoint"))
			if _, ended := stands[endpoint]; !ended {
				stands[endpoint] = true
				sus.end(deadly, endpoint, 0)
			}
		}
		count := 0
		for _, stands := range stands {
			if stands {
				count++
			}
		}
		gom.Expect(sus.lst.Quarantined(deadly, 0) > 0).To(gomega.Equal(count >= 3))
	})
}
