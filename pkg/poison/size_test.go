package poison_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/poison"
)

const (
	// arrivalInterval is the time between arrivals of the poison request, crashDelay the time from
	// an attempt to the crash of its endpoint.
	arrivalInterval = 100 * clock.Milli(1)
	crashDelay      = 300 * clock.Milli(1)
	// writeInterval is the time between writes to the store.
	writeInterval = clock.Second
	// maxLateAttempts is how often the request may be sent once all instances should know of three
	// crashes.
	maxLateAttempts = 3
)

// observer is an instance with the list built from its facts.
type observer struct {
	*fleet.Instance
	lst    *poison.List
	digest uint64
}

// attempt is one attempt of the request, at an endpoint of its own.
type attempt struct {
	at clock.Milli
	// by is the sender, which observes the crash if it still runs.
	by *observer
	// steady is set if the sender was neither partitioned nor restarted.
	steady  bool
	crashed bool
}

// cluster is a fleet, with its store, that receives one poison request repeatedly.
type cluster struct {
	*fleet.Fleet
	within      clock.Milli
	fingerprint poison.Fingerprint
	observers   map[*fleet.Instance]*observer
	sent        []*attempt
	thirdCrash  clock.Milli
	stored      []gossip.Fact
	storedAt    clock.Milli
}

func newCluster(count int, within clock.Milli) *cluster {
	cls := &cluster{within: within, fingerprint: poison.FingerprintOf("desk.example", "/plan", "corella", []byte("deadly")), observers: map[*fleet.Instance]*observer{}}
	cls.Fleet = fleet.New(fleet.Setup{Count: count, LossRate: 0.05, Seed: uint64(count), OnStart: cls.begin})
	return cls
}

// begin loads the stored facts into an instance that starts.
func (cls *cluster) begin(ins *fleet.Instance) {
	obs := &observer{Instance: ins}
	cls.observers[ins] = obs
	ins.Spread().Bound(gossip.CrashedUnder, poison.Bounds(func() *poison.List { return obs.lst }))
	if cls.Fleet == nil {
		return
	}
	facts := append([]gossip.Fact(nil), cls.stored...)
	for i := range facts {
		facts[i].Age += cls.Now() - cls.storedAt
	}
	ins.Spread().Receive(facts, true, cls.Now())
}

// list returns the list of an instance and rebuilds it if its facts have changed.
func (cls *cluster) list(obs *observer) *poison.List {
	if digest := obs.Spread().Digest(); digest != obs.digest {
		obs.lst, obs.digest = poison.Read(obs.Spread().All(gossip.CrashedUnder, cls.Now()), cls.Now()), digest
	}
	return obs.lst
}

// step sends the request, crashes endpoints that are due, and writes to the store.
func (cls *cluster) step() {
	if cls.Now()%arrivalInterval == 0 {
		if obs := cls.observers[cls.Random()]; !cls.list(obs).OnTrial(cls.fingerprint) {
			cls.sent = append(cls.sent, &attempt{at: cls.Now(), by: obs, steady: cls.IsSteady(obs.Instance, cls.within)})
		}
	}
	for i, att := range cls.sent {
		if !att.crashed && cls.Now() >= att.at+crashDelay {
			cls.crash(i, att)
		}
	}
	if cls.Now() < cls.storedAt+writeInterval {
		return
	}
	for _, ins := range cls.Instances() {
		if cls.IsSteady(ins, 0) {
			facts := ins.Spread().All(gossip.CrashedUnder, cls.Now())
			cls.stored, cls.storedAt = poison.QuarantineFacts(facts, cls.list(cls.observers[ins]), 64, 6), cls.Now()
			return
		}
	}
}

// crash crashes an endpoint; the sender records it if it still runs.
func (cls *cluster) crash(i int, att *attempt) {
	att.crashed = true
	if i == 2 {
		cls.thirdCrash = cls.Now()
	}
	if cls.Find(att.by.ID()) == nil {
		return
	}
	key := poison.Key(cls.fingerprint, ident.Process(fmt.Sprintf("i-%d", i)))
	if fct, ok := att.by.Spread().Set(gossip.CrashedUnder, key, att.by.ID().Addr(), cls.Now()); ok {
		att.by.Spread().Enqueue(fct)
	}
}

// lateAttempts counts the attempts by steady instances after all should know of three crashes.
func (cls *cluster) lateAttempts() int {
	count := 0
	for _, att := range cls.sent {
		if cls.thirdCrash > 0 && att.at > cls.thirdCrash+cls.within && att.steady {
			count++
		}
	}
	return count
}

// TestQuarantinedAtSize guards against a poison request that keeps reaching endpoints, at each
// system size: during a partition, restarts of some instances, and a restart of all.
func TestQuarantinedAtSize(t *testing.T) {
	for _, size := range []struct {
		instances int
		within    clock.Milli
	}{{8, 3 * clock.Second}, {66, 3 * clock.Second}, {195, 5 * clock.Second}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			t.Parallel()
			gom := gomega.NewWithT(t)
			cls := newCluster(size.instances, size.within)
			cls.Run(2*clock.Second, nil)
			for i, ins := range cls.Instances() {
				cls.SetPartitioned(ins, i%5 == 4)
			}
			cls.Run(4*clock.Second, cls.step)
			for _, ins := range cls.Instances() {
				cls.SetPartitioned(ins, false)
			}
			cls.Run(8*clock.Second, cls.step)
			for round := range 3 {
				cls.Restart(func(i int) bool { return i%10 == round })
				cls.Run(6*clock.Second, cls.step)
			}
			cls.RestartAll()
			cls.Run(12*clock.Second, cls.step)
			t.Logf("%d attempts, %d of them counted", len(cls.sent), cls.lateAttempts())
			gom.Expect(len(cls.sent)).To(gomega.BeNumerically(">=", 3))
			gom.Expect(cls.lateAttempts()).To(gomega.BeNumerically("<=", maxLateAttempts))
		})
	}
}
