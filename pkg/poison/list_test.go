package poison

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
)

// observer is the fact table of an instance with the list built from it.
type observer struct {
	tbl gossip.Table
	lst *List
}

func newObserver() *observer {
	obs := &observer{}
	obs.tbl.Bound(gossip.CrashedUnder, Bounds(func() *List { return obs.lst }))
	return obs
}

func (obs *observer) refresh(now clock.Milli) {
	obs.lst = Read(obs.tbl.All(gossip.CrashedUnder, now), now)
}

func (obs *observer) crash(fpr Fingerprint, endpoint string, now clock.Milli) {
	obs.tbl.Set(gossip.CrashedUnder, Key(fpr, ident.Process(endpoint)), "10.0.0.1:7300", now)
	obs.refresh(now)
}

func (obs *observer) clear(fpr Fingerprint, now clock.Milli) {
	Clear(&obs.tbl, obs.lst, fpr, now)
	obs.refresh(now)
}

var (
	poisonous = FingerprintOf("desk.example", "/plan", "corella", []byte("deadly"))
	harmless  = FingerprintOf("desk.example", "/plan", "corella", []byte("other"))
)

func ExampleList_Quarantined() {
	obs := newObserver()
	for i := range 3 {
		obs.crash(poisonous, fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second)
		fmt.Println(len(obs.lst.Crashes(poisonous)), obs.lst.Quarantined(poisonous, clock.Milli(i)*clock.Second) > 0, obs.lst.Quarantined(harmless, 0) > 0)
	}
	// Output:
	// 1 false false
	// 2 false false
	// 3 true false
}

// TestKeysSurviveEncoding guards against fact keys that another instance can't decode.
func TestKeysSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		fpr := FingerprintOf("", "", "", rapid.SliceOf(rapid.Byte()).Draw(rt, "body"))
		endpoint := ident.Process(rapid.String().Draw(rt, "endpoint"))
		body, err := cbor.Marshal(gossip.Fact{Key: Key(fpr, endpoint)})
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		var fct gossip.Fact
		gom.Expect(cbor.Unmarshal(body, &fct)).To(gomega.Succeed())
		gotPrint, gotEndpoint, ok := parseKey(fct.Key)
		gom.Expect(ok).To(gomega.BeTrue())
		gom.Expect(gotPrint).To(gomega.Equal(fpr))
		gom.Expect(gotEndpoint).To(gomega.Equal(endpoint))
	})
}

// TestOneCrashCountsOnce guards against counting one crash twice when several instances observe
// it.
func TestOneCrashCountsOnce(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for range 5 {
		obs.crash(poisonous, "i-1", 0)
	}
	gom.Expect(obs.lst.Crashes(poisonous)).To(gomega.HaveLen(1))
}

// TestCompletedRequestIsCleared guards against refusing a request for crashes that it didn't
// cause.
func TestCompletedRequestIsCleared(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs, far := newObserver(), newObserver()
	for i := range 4 {
		obs.crash(harmless, fmt.Sprintf("i-%d", i), 0)
		if i%2 == 1 {
			obs.clear(harmless, 0)
		}
	}
	gom.Expect(obs.lst.Crashes(harmless)).To(gomega.BeEmpty())
	// An instance that knows only of a crash learns that it was cleared.
	far.crash(harmless, "i-0", 0)
	far.tbl.Learn(obs.tbl.Sample(100, 1), 1)
	far.refresh(1)
	gom.Expect(far.lst.Empty()).To(gomega.BeTrue())
}

// TestQuarantineExpiresAndGrows guards against refusing a request for ever, and against one that
// gets more than three trials within the retention of crashes.
func TestQuarantineExpiresAndGrows(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range crashesAllowed {
		obs.crash(poisonous, fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second)
	}
	now, trials := crashesAllowed*clock.Second, -1
	for now < crashRetention {
		obs.crash(poisonous, fmt.Sprintf("again-%d", trials), now)
		trials++
		span := obs.lst.Quarantined(poisonous, now)
		gom.Expect(obs.lst.Quarantined(poisonous, now+span-1)).To(gomega.Equal(clock.Milli(1)))
		gom.Expect(obs.lst.Quarantined(poisonous, now+span)).To(gomega.BeZero())
		gom.Expect(obs.lst.OnTrial(poisonous)).To(gomega.BeTrue())
		now += span
	}
	gom.Expect(trials).To(gomega.Equal(3))
	gom.Expect(obs.tbl.Expire(now + crashRetention)).To(gomega.BeTrue())
	obs.refresh(now + crashRetention)
	gom.Expect(obs.lst.Empty()).To(gomega.BeTrue())
}

// TestFloodDoesNotEvictCrashes guards against a caller that has the crashes of its poison
// request evicted by sending many other requests.
func TestFloodDoesNotEvictCrashes(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range 3 {
		obs.crash(poisonous, fmt.Sprintf("i-%d", i), clock.Milli(i)*clock.Second)
	}
	for i := range maxCrashes + 100 {
		obs.tbl.Set(gossip.CrashedUnder, Key(FingerprintOf("h", fmt.Sprint(i), "", nil), "i-9"), "x", 3*clock.Second)
	}
	obs.refresh(3 * clock.Second)
	gom.Expect(obs.tbl.Len()).To(gomega.Equal(maxCrashes))
	gom.Expect(obs.lst.Quarantined(poisonous, 3*clock.Second)).To(gomega.BeNumerically(">", 0))
}

// TestOnlyThreeCrashesQuarantine guards against quarantining a request without three crashes
// since its last completion, for any order of crashes and completions.
func TestOnlyThreeCrashesQuarantine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		obs, counted := newObserver(), map[string]bool{}
		now := clock.Milli(0)
		for range rapid.IntRange(0, 12).Draw(rt, "steps") {
			now += clock.Second
			if rapid.IntRange(0, 3).Draw(rt, "what") == 0 {
				obs.clear(poisonous, now)
				for endpoint := range counted {
					counted[endpoint] = false
				}
				continue
			}
			endpoint := fmt.Sprint(rapid.IntRange(0, 6).Draw(rt, "endpoint"))
			if _, crashed := counted[endpoint]; !crashed {
				counted[endpoint] = true
				obs.crash(poisonous, endpoint, now)
			}
		}
		count := 0
		for _, counted := range counted {
			if counted {
				count++
			}
		}
		gom.Expect(obs.lst.Quarantined(poisonous, now) > 0).To(gomega.Equal(count >= 3))
	})
}

// TestResumedBystander guards against refusing a stream that was resumed at once at endpoints which another request crashed
// one after the other, and against a request that goes on crashing endpoints because its crashes come together.
func TestResumedBystander(t *testing.T) {
	gom := gomega.NewWithT(t)
	obs := newObserver()
	for i := range crashesAtOnce {
		gom.Expect(obs.lst.OnTrial(harmless)).To(gomega.BeFalse())
		obs.crash(harmless, fmt.Sprintf("i-%d", i), clock.Milli(50*i))
	}
	gom.Expect(obs.lst.OnTrial(harmless)).To(gomega.BeTrue())
	for i := range 3 {
		obs.crash(poisonous, fmt.Sprintf("j-%d", i), clock.Milli(i/2)*clock.Second)
	}
	gom.Expect(obs.lst.OnTrial(poisonous)).To(gomega.BeTrue())
}
