package state

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
)

const (
	modelStep = 10 * clock.Milli(1)
	// modelLatency is how long messages between instances take, modelReaders the number of instances
	// that read the store.
	modelLatency = 20 * clock.Milli(1)
	modelReaders = 2
	modelProbe   = 400 * clock.Milli(1)
	modelPoll    = 700 * clock.Milli(1)
	// inForceBound is the users' bound on a document to be in force everywhere, revokeBound on a revoked key.
	inForceBound = 2 * clock.Second
	revokeBound  = 5 * clock.Second
)

// modelStore is a store that comes back from copies.
type modelStore struct {
	log, saved []int64
	era        int64
	away       bool
}

func (sto *modelStore) document() proto.Document {
	if len(sto.log) == 0 {
		return proto.Document{Position: proto.Position{Era: sto.era, Offset: -1}}
	}
	return numbered(sto.era, int64(len(sto.log)-1), sto.log[len(sto.log)-1])
}

// modelNode is an instance: its documents, what it told the others last, and its next read and probe.
type modelNode struct {
	dct       *docsCtl
	highest   int64
	started   clock.Milli
	nextRead  clock.Milli
	nextProbe clock.Milli
	// cutUntil is when the instance is no longer partitioned off from the store and the others.
	cutUntil clock.Milli
}

// model is a deployment in fake time.
type model struct {
	rng   *rand.Rand
	sto   modelStore
	nodes []*modelNode
	now   clock.Milli
	// ackedAt has the time at which each version was acknowledged last.
	ackedAt map[int64]clock.Milli
	version int64
}

func (mdl *model) start() *modelNode {
	return &modelNode{dct: newDocs(), started: mdl.now, nextRead: mdl.now, nextProbe: mdl.now + clock.Milli(mdl.rng.IntN(int(modelProbe)))}
}

func (mdl *model) publish() {
	mdl.version += 1 + mdl.rng.Int64N(4)
	mdl.sto.log = append(mdl.sto.log, mdl.version)
	mdl.ackedAt[mdl.version] = mdl.now
}

// step lets instances read and probe that are due.
func (mdl *model) step() {
	mdl.now += modelStep
	readers := mdl.readers()
	for i, nod := range mdl.nodes {
		if mdl.now < nod.cutUntil {
			continue
		}
		changed := nod.dct.doc.Position != mdl.sto.document().Position
		// Readers hold a read until the documents change; an instance that has just started reads once.
		reads := slices.Contains(readers, nod)
		if (reads || nod.dct.plan == nil) && !mdl.sto.away && (changed || mdl.now >= nod.nextRead) {
			nod.nextRead = mdl.now + modelPoll
			nod.dct.applyRead(mdl.sto.document(), mdl.now, mdl.now)
		}
		if !reads && nod.dct.plan != nil && len(readers) > 0 {
			nod.hear(readers[i%len(readers)], mdl.now)
		}
		if mdl.now >= nod.nextProbe {
			nod.nextProbe = mdl.now + modelProbe
			oth := mdl.nodes[mdl.rng.IntN(len(mdl.nodes))]
			nod.hear(oth, mdl.now)
			oth.hear(nod, mdl.now)
		}
	}
}

// readers returns the first instances that aren't partitioned off.
func (mdl *model) readers() []*modelNode {
	var list []*modelNode
	for _, nod := range mdl.nodes {
		if mdl.now >= nod.cutUntil && len(list) < modelReaders {
			list = append(list, nod)
		}
	}
	return list
}

// hear takes over what another instance knows.
func (nod *modelNode) hear(oth *modelNode, now clock.Milli) {
	if oth == nod || oth.dct.plan == nil || now < oth.cutUntil || now < nod.cutUntil {
		return
	}
	asOf := oth.dct.asOf - modelLatency
	nod.dct.applyPeer(oth.dct.doc, asOf, now, "peer")
}

// check returns which guarantee is broken, empty for none.
func (mdl *model) check(quietSince clock.Milli) string {
	for i, nod := range mdl.nodes {
		version, age := nod.dct.version(), mdl.now-nod.dct.asOf
		if version < nod.highest {
			return fmt.Sprintf("instance %d went back from %d to %d", i, nod.highest, version)
		}
		nod.highest = version
		for later, at := range mdl.ackedAt {
			if later > version && age <= revokeBound && mdl.now-at > revokeBound {
				return fmt.Sprintf("instance %d accepts the keys of %d, %d ms after %d was acknowledged", i, version, mdl.now-at, later)
			}
		}
		steady := min(mdl.now-quietSince, mdl.now-nod.started, mdl.now-nod.cutUntil) > 3*clock.Second
		if at, ok := mdl.ackedAt[mdl.version]; steady && ok && mdl.now-at > inForceBound && (version < mdl.version || age > staleAfter) {
			return fmt.Sprintf("instance %d has version %d, %d ms old, %d ms after %d was acknowledged", i, version, age, mdl.now-at, mdl.version)
		}
	}
	return ""
}

// Guards against documents that go back, keys that outlive their removal and documents that don't come into
// force after the store's return from a copy, at all sizes, with restarts of one, some and all instances, and
// some that are partitioned off meanwhile.
func TestEraModel(t *testing.T) {
	for _, size := range []int{8, 66, 195} {
		for seed := range uint64(12) {
			mdl := &model{rng: rand.New(rand.NewPCG(seed, uint64(size))), now: 10 * clock.Day, ackedAt: map[int64]clock.Milli{}}
			for range size {
				mdl.nodes = append(mdl.nodes, mdl.start())
			}
			mdl.publish()
			gomega.NewWithT(t).Expect(mdl.play()).To(gomega.BeEmpty(), "%d instances, seed %d", size, seed)
		}
	}
}

// play plays some returns from a copy.
func (mdl *model) play() string {
	quiet := mdl.now
	run := func(span clock.Milli) string {
		for until := mdl.now + span; mdl.now < until; {
			mdl.step()
			if broken := mdl.check(quiet); broken != "" {
				return broken
			}
		}
		return ""
	}
	restart := func(share float64) {
		for i := range mdl.nodes {
			if mdl.rng.Float64() < share {
				mdl.nodes[i] = mdl.start()
			}
		}
	}
	for range 4 {
		if broken := run(6 * clock.Second); broken != "" {
			return broken
		}
		mdl.sto.saved = append([]int64(nil), mdl.sto.log...)
		// Some are partitioned off through the change, until about the return.
		for _, nod := range mdl.nodes {
			if mdl.rng.IntN(4) == 0 {
				nod.cutUntil = mdl.now + clock.Milli(2000+mdl.rng.IntN(6000))
			}
		}
		for range 1 + mdl.rng.IntN(3) {
			mdl.publish()
			if broken := run(clock.Milli(100 + mdl.rng.IntN(1500))); broken != "" {
				return broken
			}
		}
		mdl.sto.away = true
		away := clock.Milli(mdl.rng.IntN(1500))
		quiet = mdl.now + away
		if broken := run(away); broken != "" {
			return broken
		}
		lost := mdl.sto.log[len(mdl.sto.saved):]
		mdl.sto.log, mdl.sto.away = append([]int64(nil), mdl.sto.saved...), false
		mdl.sto.era++
		// The bounds of what was lost count again from its next acknowledgement, but for those of keys.
		restart([]float64{0, 1 / float64(len(mdl.nodes)), 0.5, 1}[mdl.rng.IntN(4)])
		if broken := run(clock.Milli(mdl.rng.IntN(1900))); broken != "" {
			return broken
		}
		mdl.sto.log = append(mdl.sto.log, lost[len(lost)-1])
		mdl.ackedAt[mdl.version] = mdl.now
		quiet = mdl.now
	}
	return run(8 * clock.Second)
}
