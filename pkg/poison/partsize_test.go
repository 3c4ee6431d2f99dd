package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
)

const (
	// fifthCrash is the crash after which instances learn of a part within the bound, maxLatePrompts how many
	// prompts with it steady instances may send from then on.
	fifthCrash     = 5
	maxLatePrompts = 3
	// crashAfterBegin is the time from the beginning of an answer to the crash, probeTime that from the crash
	// to its record.
	crashAfterBegin = 60 * clock.Milli(1)
	probeTime       = 10 * clock.Milli(1)
	// enginesPerInstance is the number of engines for each instance.
	enginesPerInstance = 1.5
	// grantTenure is how long an instance coordinates before it grants trials.
	grantTenure = 2 * clock.Second
	pool        = "engines"
	// coordinatorCheck is how often instances see whether they are the coordinator.
	coordinatorCheck = 200 * clock.Milli(1)
)

// partCase is a load with parts that crash engines.
type partCase struct {
	instances int
	within    clock.Milli
	// sound and bad are prompts per second, badParts the number of bad parts. Each bad part comes with a part of its own
	// that few sound prompts have, if companions is set.
	sound, bad float64
	badParts   int
	companions bool
	// unrelated is the number of crashes per second for another reason.
	unrelated float64
}

type prompt struct {
	obs    *partObserver
	steady bool
	sent   clock.Milli
	begins clock.Milli
	ends   clock.Milli
	parts  []poison.Fingerprint
	bad    int
}

type engine struct {
	id      ident.Process
	upAt    clock.Milli
	prompts []*prompt
}

// partObserver is an instance with what it knows of parts.
type partObserver struct {
	*fleet.Instance
	lst    *poison.List
	digest uint64
	recent map[poison.Fingerprint]clock.Milli
	// coordinatesSince is when the instance became the coordinator, zero if it is not.
	coordinatesSince clock.Milli
}

// partCluster is a fleet that sends prompts to engines.
type partCluster struct {
	*fleet.Fleet
	partCase
	rng       *rand.Rand
	observers map[*fleet.Instance]*partObserver
	engines   []*engine
	boots     int
	stored    []gossip.Fact
	storedAt  clock.Milli
	// crashes are the times of the crashes of each bad part, sends those of its prompts.
	crashes [][]clock.Milli
	sends   [][]*prompt
	// soundSent and soundRefused count the sound prompts by second of their time.
	soundSent, soundRefused map[clock.Milli]int
	refusedParts            map[poison.Fingerprint]bool
	// learned is the time from the fifth crash of a part until the last steady instance refused it.
	learned []clock.Milli
}

func newPartCluster(cas partCase) *partCluster {
	cls := &partCluster{
		partCase: cas, rng: rand.New(rand.NewPCG(7, uint64(cas.instances))), observers: map[*fleet.Instance]*partObserver{},
		crashes: make([][]clock.Milli, cas.badParts), sends: make([][]*prompt, cas.badParts), learned: make([]clock.Milli, cas.badParts),
		soundSent: map[clock.Milli]int{}, soundRefused: map[clock.Milli]int{}, refusedParts: map[poison.Fingerprint]bool{},
	}
	cls.Fleet = fleet.New(fleet.Setup{Count: cas.instances, LossRate: 0.05, Seed: uint64(cas.instances), OnStart: cls.begin})
	for range int(enginesPerInstance * float64(cas.instances)) {
		cls.engines = append(cls.engines, cls.replace(&engine{}, 0))
	}
	return cls
}

func (cls *partCluster) begin(ins *fleet.Instance) {
	obs := &partObserver{Instance: ins, recent: map[poison.Fingerprint]clock.Milli{}}
	cls.observers[ins] = obs
	ins.Spread().Bound(gossip.CrashedUnder, poison.Bounds(func() *poison.List { return obs.lst }))
	if cls.Fleet == nil {
		return
	}
	facts := slices.Clone(cls.stored)
	for i := range facts {
		facts[i].Age += cls.Now() - cls.storedAt
	}
	ins.Spread().Receive(facts, true, cls.Now())
}

func (cls *partCluster) replace(eng *engine, at clock.Milli) *engine {
	cls.boots++
	*eng = engine{id: ident.Process(fmt.Sprintf("i-%d", cls.boots)), upAt: at}
	return eng
}

// list returns the list of an instance, with its own answers that bear on suspected parts.
func (cls *partCluster) list(obs *partObserver) *poison.List {
	read := func() {
		obs.lst, obs.digest = poison.Read(obs.Spread().All(gossip.CrashedUnder, cls.Now()), cls.Now()), obs.Spread().Digest()
	}
	if obs.lst != nil && obs.Spread().Digest() == obs.digest {
		return obs.lst
	}
	read()
	cls.share(obs, obs.lst.Suspects(), read)
	return obs.lst
}

// share records the answers of an instance that bear on suspected parts.
func (cls *partCluster) share(obs *partObserver, parts []poison.Fingerprint, read func()) {
	shared := obs.lst.Exonerate(parts, func(fpr poison.Fingerprint) (clock.Milli, bool) { at, ok := obs.recent[fpr]; return at, ok })
	for key, value := range shared {
		if fct, ok := obs.Spread().Amend(gossip.CrashedUnder, key, value, cls.Now()); ok {
			obs.Spread().Enqueue(fct)
		}
	}
	if len(shared) > 0 {
		read()
	}
}

func part(name string, n int) poison.Fingerprint { return poison.PartOf(pool, fmt.Sprint(name, n)) }

// step advances all prompts and sends new ones.
func (cls *partCluster) step() {
	for _, ins := range cls.Instances() {
		if cls.Now()%coordinatorCheck != 0 {
			break
		}
		obs := cls.observers[ins]
		switch owners := ins.List().Owners(pool); {
		case len(owners) == 0 || owners[0] != ins.ID():
			obs.coordinatesSince = 0
		case obs.coordinatesSince == 0:
			obs.coordinatesSince = cls.Now()
		}
	}
	for _, eng := range cls.engines {
		cls.advance(eng)
	}
	if cls.draw(cls.unrelated) {
		cls.crash(cls.engines[cls.rng.IntN(len(cls.engines))])
	}
	for rate := cls.sound; rate > 0; rate -= 100 {
		if cls.draw(min(rate, 100)) {
			cls.send(cls.soundPrompt(), -1)
		}
	}
	for rate := cls.bad; rate > 0; rate -= 100 {
		if cls.draw(min(rate, 100)) {
			bad := cls.rng.IntN(cls.badParts)
			cls.send(cls.badPrompt(bad), bad)
		}
	}
	cls.store()
}

// draw reports whether an event of a rate per second happens in this step.
func (cls *partCluster) draw(perSecond float64) bool {
	return cls.rng.Float64() < perSecond*fleet.Step.Seconds()
}

func (cls *partCluster) soundPrompt() []poison.Fingerprint {
	list := []poison.Fingerprint{part("system", cls.rng.IntN(3)), part("workspace", cls.rng.IntN(20)), part("document", int(300*cls.rng.Float64()*cls.rng.Float64()))}
	if cls.companions && cls.rng.IntN(20) == 0 {
		list = append(list, part("companion", cls.rng.IntN(cls.badParts)))
	}
	return list
}

func (cls *partCluster) badPrompt(bad int) []poison.Fingerprint {
	list := append(cls.soundPrompt(), part("bad", bad))
	if cls.companions {
		list = append(list, part("companion", bad))
	}
	return list
}

// send sends a prompt from a random instance unless that refuses it.
func (cls *partCluster) send(parts []poison.Fingerprint, bad int) {
	obs := cls.observers[cls.Random()]
	now := cls.Now()
	if bad < 0 {
		cls.soundSent[now/clock.Second]++
	}
	if convicted := cls.list(obs).Convicted(parts); len(convicted) > 0 && !cls.tryOut(obs, convicted) {
		if bad < 0 {
			cls.soundRefused[now/clock.Second]++
			for _, prt := range convicted {
				cls.refusedParts[prt.Fingerprint()] = true
			}
		}
		return
	}
	up := slices.DeleteFunc(slices.Clone(cls.engines), func(eng *engine) bool { return eng.upAt > now })
	if len(up) == 0 {
		return
	}
	pmt := &prompt{obs: obs, steady: cls.IsSteady(obs.Instance, cls.within), sent: now, begins: now + 200 + clock.Milli(cls.rng.IntN(400)), parts: parts, bad: bad}
	pmt.ends = pmt.begins + 500 + clock.Milli(cls.rng.IntN(2500))
	if bad >= 0 {
		cls.sends[bad] = append(cls.sends[bad], pmt)
	}
	eng := up[cls.rng.IntN(len(up))]
	eng.prompts = append(eng.prompts, pmt)
}

// tryOut asks the coordinator that an instance knows for a trial.
func (cls *partCluster) tryOut(obs *partObserver, convicted []*poison.Part) bool {
	due := func(prt *poison.Part) bool { return prt.Quarantined(cls.Now()) == 0 }
	owners := obs.List().Owners(pool)
	if len(owners) == 0 || !slices.ContainsFunc(convicted, due) {
		return false
	}
	ins := cls.Find(owners[0])
	if ins == nil || ins != obs.Instance && (!cls.Send(obs.Instance, ins) || !cls.Send(ins, obs.Instance)) {
		return false
	}
	owner := cls.observers[ins]
	if owner.coordinatesSince == 0 || cls.Now()-owner.coordinatesSince < grantTenure {
		return false
	}
	var fprs []poison.Fingerprint
	for _, prt := range convicted {
		fprs = append(fprs, prt.Fingerprint())
	}
	theirs := cls.list(owner).Convicted(fprs)
	if len(theirs) < len(fprs) || slices.ContainsFunc(theirs, func(prt *poison.Part) bool { return !due(prt) }) {
		return false
	}
	cls.boots++
	for _, fpr := range fprs {
		cls.record(owner, poison.PartKey(fpr, poison.TrialName(fmt.Sprint(cls.boots))))
	}
	return true
}

func (cls *partCluster) record(obs *partObserver, key string) {
	if obs.Spread().Has(gossip.CrashedUnder, key) {
		return
	}
	if fct, ok := obs.Spread().Set(gossip.CrashedUnder, key, obs.ID().Addr(), cls.Now()); ok {
		obs.Spread().Enqueue(fct)
	}
}

// advance ends the prompts at an engine that are due, or the engine.
func (cls *partCluster) advance(eng *engine) {
	now := cls.Now()
	for _, pmt := range eng.prompts {
		if pmt.bad >= 0 && now >= pmt.begins+crashAfterBegin {
			cls.crashes[pmt.bad] = append(cls.crashes[pmt.bad], now)
			cls.crash(eng)
			return
		}
	}
	eng.prompts = slices.DeleteFunc(eng.prompts, func(pmt *prompt) bool {
		if now < pmt.ends {
			return false
		}
		for _, fpr := range pmt.parts {
			pmt.obs.recent[fpr] = max(pmt.obs.recent[fpr], pmt.begins)
		}
		if cls.Find(pmt.obs.ID()) != nil {
			cls.share(pmt.obs, pmt.parts, func() {})
		}
		return true
	})
}

// crash ends an engine; the senders of its prompts record it if they still run.
func (cls *partCluster) crash(eng *engine) {
	now := cls.Now()
	if eng.upAt > now {
		return
	}
	for _, pmt := range eng.prompts {
		if cls.Find(pmt.obs.ID()) == nil {
			continue
		}
		for _, fpr := range pmt.parts {
			if now-pmt.begins >= poison.SettledAnswer {
				pmt.obs.recent[fpr] = max(pmt.obs.recent[fpr], pmt.begins)
				continue
			}
			cls.record(pmt.obs, poison.PartKey(fpr, eng.id))
		}
	}
	cls.replace(eng, now+probeTime+clock.Second+clock.Milli(cls.rng.IntN(9000)))
}

// store writes the facts to the store at intervals.
func (cls *partCluster) store() {
	if cls.Now() < cls.storedAt+writeInterval {
		return
	}
	for _, ins := range cls.Instances() {
		if cls.IsSteady(ins, 0) {
			cls.stored, cls.storedAt = poison.QuarantineFacts(ins.Spread().All(gossip.CrashedUnder, cls.Now()), cls.list(cls.observers[ins]), 64, 6), cls.Now()
			return
		}
	}
}

// late returns the number of prompts with a bad part that steady instances sent after they had to know it.
func (cls *partCluster) late(bad int) int {
	if len(cls.crashes[bad]) < fifthCrash {
		return 0
	}
	known, count := cls.crashes[bad][fifthCrash-1]+cls.within, 0
	for _, pmt := range cls.sends[bad] {
		if pmt.steady && pmt.sent > known {
			count++
		}
	}
	return count
}

// refusedShare returns the share of the sound prompts that were refused from a time on.
func (cls *partCluster) refusedShare(from clock.Milli) float64 {
	sent, refused := 0, 0
	for second, count := range cls.soundSent {
		if second*clock.Second >= from {
			sent, refused = sent+count, refused+cls.soundRefused[second]
		}
	}
	return float64(refused) / float64(max(sent, 1))
}

// TestPartsAtSize guards against parts of prompts that keep crashing engines, and against sound prompts that are
// refused for them, at each system size: during partitions, restarts of some instances and of the coordinator, and
// a restart of all.
func TestPartsAtSize(t *testing.T) {
	for _, cas := range []partCase{
		{instances: 8, within: 3 * clock.Second, sound: 60, bad: 5, badParts: 1},
		{instances: 8, within: 3 * clock.Second, sound: 60, bad: 50, badParts: 3, unrelated: 1},
		{instances: 8, within: 3 * clock.Second, sound: 60, bad: 10, badParts: 2, companions: true},
		{instances: 66, within: 3 * clock.Second, sound: 200, bad: 20, badParts: 2, unrelated: 3},
		{instances: 195, within: 5 * clock.Second, sound: 200, bad: 100, badParts: 3, unrelated: 4},
		{instances: 195, within: 5 * clock.Second, sound: 200, bad: 5, badParts: 1, companions: true},
	} {
		t.Run(fmt.Sprintf("%d/%v/%d", cas.instances, cas.bad, cas.badParts), func(t *testing.T) {
			t.Parallel()
			gom := gomega.NewWithT(t)
			cls := newPartCluster(cas)
			bad := cas.bad
			cls.bad = 0
			cls.Run(12*clock.Second, cls.step)
			began := cls.Now()
			cls.bad = bad
			cls.Run(4*clock.Second, cls.step)
			for i, ins := range cls.Instances() {
				cls.SetPartitioned(ins, i%5 == 4)
			}
			cls.Run(4*clock.Second, cls.step)
			for _, ins := range cls.Instances() {
				cls.SetPartitioned(ins, false)
			}
			cls.Run(6*clock.Second, cls.step)
			for round := range 2 {
				coordinator := cls.Instances()[0].List().Owners(pool)[0]
				cls.Restart(func(i int) bool { return i%10 == round || cls.Instances()[i].ID() == coordinator })
				cls.Run(4*clock.Second, cls.step)
			}
			cls.RestartAll()
			cls.Run(8*clock.Second, cls.step)
			crashes := 0
			for i := range cas.badParts {
				t.Logf("part %d: %d prompts reached engines and crashed %d, %d of them late", i, len(cls.sends[i]), len(cls.crashes[i]), cls.late(i))
				crashes += len(cls.crashes[i])
				gom.Expect(cls.late(i)).To(gomega.BeNumerically("<=", maxLatePrompts))
			}
			gom.Expect(crashes).To(gomega.BeNumerically(">=", 3))
			t.Logf("sound prompts refused: %.4f from the first bad one on, %.4f from 10 s later on; %d parts", cls.refusedShare(began), cls.refusedShare(began+10*clock.Second), len(cls.refusedParts))
			gom.Expect(cls.refusedShare(began + 2*cas.within)).To(gomega.BeNumerically("<", 0.5))
		})
	}
}
