package poison_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
	"amaranthvalve/pkg/rumor"
)

const (
	// every is how often the deadly request comes, endsAfter how long after it was sent its
	// endpoint ends.
	every     = 100 * clock.Milli(1)
	endsAfter = 300 * clock.Milli(1)
	// writeEvery is the time between two writes to the store.
	writeEvery = clock.Second
	// allowedMore is how often the request may be sent once all could know of three ends.
	allowedMore = 3
)

// suspect is an instance with the list that follows from its facts.
type suspect struct {
	*fleet.Instance
	lst    *poison.List
	digest uint64
}

// sending is a request that was sent to an endpoint.
type sending struct {
	at clock.Milli
	// by has ended, or sees the end.
	by *suspect
	// calm tells that nothing was done to its sender.
	calm  bool
	ended bool
}

// carriers is a fleet to which one deadly request comes again and again, with the store beside it.
type carriers struct {
	*fleet.Fleet
	within clock.Milli
	mark   poison.Mark
	of     map[*fleet.Instance]*suspect
	sent   []*sending
	thirds clock.Milli
	kept   []rumor.Fact
	wrote  clock.Milli
}

func newCarriers(count int, within clock.Milli) *carriers {
	crr := &carriers{within: within, mark: poison.MarkOf("desk.example", "/plan", "corella", []byte("deadly")), of: map[*fleet.Instance]*suspect{}}
	crr.Fleet = fleet.New(fleet.Setup{Count: count, Lost: 0.05, Seed: uint64(count), Begin: crr.begin})
	return crr
}

// begin has an instance that starts read what lies in the store.
func (crr *carriers) begin(ins *fleet.Instance) {
	spt := &suspect{Instance: ins}
	crr.of[ins] = spt
	ins.Spread().Bound(rumor.EndedUnder, poison.Bounds(func() *poison.List { return spt.lst }))
	if crr.Fleet == nil {
		return
	}
	kept := append([]rumor.Fact(nil), crr.kept...)
	for i := range kept {
		kept[i].Age += crr.Now() - crr.wrote
	}
	ins.Spread().Told(kept, true, crr.Now())
}

// list gives what an instance makes of its facts.
func (crr *carriers) list(spt *suspect) *poison.List {
	if digest := spt.Spread().Digest(); digest != spt.digest {
		spt.lst, spt.digest = poison.Read(spt.Spread().All(rumor.EndedUnder, crr.Now()), crr.Now()), digest
	}
	return spt.lst
}

// step has the request come, endpoints end, and a reader write to the store.
func (crr *carriers) step() {
	if crr.Now()%every == 0 {
		if spt := crr.of[crr.Any()]; !crr.list(spt).OnTrial(crr.mark) {
			crr.sent = append(crr.sent, &sending{at: crr.Now(), by: spt, calm: crr.IsCalm(spt.Instance, crr.within)})
		}
	}
	for i, snd := range crr.sent {
		if !snd.ended && crr.Now() >= snd.at+endsAfter {
			crr.end(i, snd)
		}
	}
	if crr.Now() < crr.wrote+writeEvery {
		return
	}
	for _, ins := range crr.Instances() {
		if crr.IsCalm(ins, 0) {
			facts := ins.Spread().All(rumor.EndedUnder, crr.Now())
			crr.kept, crr.wrote = poison.Quarantining(facts, crr.list(crr.of[ins]), 64, 6), crr.Now()
			return
		}
	}
}

// end ends an endpoint; its sender sees it if it runs still.
func (crr *carriers) end(i int, snd *sending) {
	snd.ended = true
	if i == 2 {
		crr.thirds = crr.Now()
	}
	if crr.Find(snd.by.Who()) == nil {
		return
	}
	key := poison.Key(crr.mark, ident.Process(fmt.Sprintf("i-%d", i)))
	if fct, ok := snd.by.Spread().Set(rumor.EndedUnder, key, snd.by.Who().Addr(), crr.Now()); ok {
		snd.by.Spread().Learned(fct)
	}
}

// more counts the sendings by calm instances once all could know of three ends.
func (crr *carriers) more() int {
	count := 0
	for _, snd := range crr.sent {
		if crr.thirds > 0 && snd.at > crr.thirds+crr.within && snd.calm {
			count++
		}
	}
	return count
}

// Guards against a deadly request that goes on reaching endpoints in systems of each size: while
// instances are cut off, start anew, or all end at once.
func TestQuarantinedAtSize(t *testing.T) {
	for _, size := range []struct {
		instances int
		within    clock.Milli
	}{{8, 3 * clock.Second}, {66, 3 * clock.Second}, {195, 5 * clock.Second}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			gom := gomega.NewWithT(t)
			crr := newCarriers(size.instances, size.within)
			crr.Run(2*clock.Second, nil)
			for i, ins := range crr.Instances() {
				crr.Cut(ins, i%5 == 4)
			}
			crr.Run(4*clock.Second, crr.step)
			for _, ins := range crr.Instances() {
				crr.Cut(ins, false)
			}
			crr.Run(8*clock.Second, crr.step)
			for round := range 3 {
				crr.Restart(func(i int) bool { return i%10 == round })
				crr.Run(6*clock.Second, crr.step)
			}
			crr.RestartAll()
			crr.Run(12*clock.Second, crr.step)
			t.Logf("%d sendings, %d that count", len(crr.sent), crr.more())
			gom.Expect(len(crr.sent)).To(gomega.BeNumerically(">=", 3))
			gom.Expect(crr.more()).To(gomega.BeNumerically("<=", allowedMore))
		})
	}
}
