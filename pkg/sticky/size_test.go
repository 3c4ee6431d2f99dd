package sticky_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/fleet"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/sticky"
)

const (
	pool = "engines"
	// goesOnShare is the least share of the streams taken up at steady instances whose build is found.
	goesOnShare = 0.95
	// steadyAfter is how long after its start an instance counts as steady.
	steadyAfter = 3 * clock.Second
	// copyDelay, handoverInterval and reportTimeout are the times of the instances' messages.
	copyDelay        = 20 * clock.Milli(1)
	handoverInterval = 500 * clock.Milli(1)
	reportTimeout    = 100 * clock.Milli(1)
	// streamTime is how long a stream lasts.
	streamTime = 2 * clock.Second
)

// stream is a stream in progress.
type stream struct {
	key   sticky.Key
	build string
	at    *fleet.Instance
	ends  clock.Milli
}

// cluster is a fleet whose instances begin streams and take up those of others.
type cluster struct {
	*fleet.Fleet
	rng      *rand.Rand
	replicas map[ident.Incarnation]*sticky.Replica
	streams  []*stream
	later    map[clock.Milli][]func()
	begun    int
	// resumed counts the streams taken up at steady instances, found those of them whose build is found,
	// mixed all that would go on at another build; messages counts the messages with bindings.
	resumed, found, mixed, messages int
}

func newCluster(count int, seed uint64) *cluster {
	cls := &cluster{rng: rand.New(rand.NewPCG(seed, 3)), replicas: map[ident.Incarnation]*sticky.Replica{}, later: map[clock.Milli][]func(){}}
	cls.Fleet = fleet.New(fleet.Setup{Count: count, LossRate: 0.01, Seed: seed, OnStart: func(ins *fleet.Instance) { cls.replicas[ins.ID()] = &sticky.Replica{} }})
	return cls
}

func (cls *cluster) after(span clock.Milli, work func()) {
	at := cls.Now() + span
	cls.later[at] = append(cls.later[at], work)
}

// send delivers bindings to an instance that still runs after the latency, and calls failed otherwise.
func (cls *cluster) send(to ident.Incarnation, list []sticky.Binding, then func(), failed func()) {
	cls.messages++
	cls.after(fleet.Step, func() {
		if cls.Find(to) == nil {
			cls.after(reportTimeout, failed)
			return
		}
		cls.replicas[to].Learn(list, cls.Now())
		then()
	})
}

// copyTo sends bindings to the holders as an instance knows them, if it still runs.
func (cls *cluster) copyTo(from *fleet.Instance, list []sticky.Binding) {
	if cls.Find(from.ID()) == nil {
		return
	}
	for _, inc := range sticky.Holders(from.List().Owners(pool)) {
		if inc != from.ID() {
			cls.send(inc, list, func() {}, func() {})
		}
	}
}

// begin begins a stream at an instance.
func (cls *cluster) begin(ins *fleet.Instance, builds []string) {
	cls.begun++
	stm := &stream{key: sticky.KeyOf(fmt.Sprint(cls.begun)), build: builds[cls.rng.IntN(len(builds))], at: ins, ends: cls.Now() + streamTime}
	cls.streams = append(cls.streams, stm)
	list := []sticky.Binding{{Key: stm.key, Build: stm.build}}
	cls.replicas[ins.ID()].Begin(list, cls.Now())
	top := ins.List().Owners(pool)[0]
	if top == ins.ID() {
		cls.copyTo(ins, list)
		return
	}
	cls.send(top, list, func() {
		cls.after(copyDelay, func() {
			if holder := cls.Find(top); holder != nil {
				cls.copyTo(holder, list)
			}
		})
	}, func() { cls.copyTo(ins, list) })
}

// find looks a stream up from an instance.
func (cls *cluster) find(ins *fleet.Instance, key sticky.Key) (build string) {
	now := cls.Now()
	if build, known := cls.replicas[ins.ID()].Find(key, now); known {
		return build
	}
	ranking := ins.List().Owners(pool)
	for _, part := range [][]ident.Incarnation{sticky.Holders(ranking), sticky.Others(ranking)} {
		for _, inc := range part {
			if cls.Find(inc) == nil {
				continue
			}
			if build, known := cls.replicas[inc].Find(key, now); known {
				return build
			}
		}
	}
	return ""
}

// takeUp looks up the streams of instances that no longer run, a moment after their end, at random ones.
func (cls *cluster) takeUp() {
	var left []*stream
	for _, stm := range cls.streams {
		switch {
		case cls.Now() >= stm.ends:
		case cls.Find(stm.at.ID()) != nil:
			left = append(left, stm)
		default:
			cls.after(clock.Milli(cls.rng.IntN(10))*fleet.Step, func() { cls.resume(stm) })
		}
	}
	cls.streams = left
}

func (cls *cluster) resume(stm *stream) {
	ins := cls.Random()
	build := cls.find(ins, stm.key)
	if build != "" && build != stm.build {
		cls.mixed++
	}
	if !cls.IsSteady(ins, steadyAfter) {
		return
	}
	cls.resumed++
	if build != "" {
		cls.found++
	}
}

// run runs the cluster for a span, with a number of new streams in each second.
func (cls *cluster) run(span clock.Milli, perSecond int, builds []string) {
	cls.Run(span, func() {
		now := cls.Now()
		for _, work := range cls.later[now] {
			work()
		}
		delete(cls.later, now)
		cls.takeUp()
		for range perSecond * int(fleet.Step) / 1000 {
			cls.begin(cls.Random(), builds)
		}
		if now%handoverInterval == 0 {
			for _, ins := range cls.Instances() {
				to, list := cls.replicas[ins.ID()].HandOver(ins.ID(), ins.List().Owners(pool), now)
				for _, inc := range to {
					cls.send(inc, list, func() {}, func() {})
				}
			}
		}
	})
}

// Guards against streams that aren't resumed, or go on at another build, when instances end one by one, in
// groups and all at once, at several sizes.
func TestStreamsGoOnWhileInstancesEnd(t *testing.T) {
	builds := []string{"v1", "v1.1", "v2"}
	for _, count := range []int{8, 66, 195} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			gom := gomega.NewWithT(t)
			perSecond := 5 * count
			if perSecond < 200 {
				perSecond = 200
			}
			cls := newCluster(count, uint64(count))
			cls.run(5*clock.Second, perSecond, builds)
			for i := range 12 {
				// One at a time, and in series that overlap with their detection.
				cls.Restart(func(j int) bool { return j == i*7%count })
				cls.run(700*clock.Milli(1), perSecond, builds)
			}
			check := func(what string, share float64) {
				t.Logf("%s: %d of %d resumed streams found, %d mixed, %.2f messages a stream", what, cls.found, cls.resumed, cls.mixed, float64(cls.messages)/float64(cls.begun))
				gom.Expect(cls.mixed).To(gomega.BeZero())
				gom.Expect(float64(cls.found)).To(gomega.BeNumerically(">=", share*float64(cls.resumed)), what)
				cls.found, cls.resumed = 0, 0
			}
			check("one by one", goesOnShare)
			cls.run(5*clock.Second, perSecond, builds)
			for i := range 3 {
				cls.Restart(func(j int) bool { return j%4 == i })
				cls.run(5*clock.Second, perSecond, builds)
			}
			check("a quarter at a time", goesOnShare)
			cls.RestartAll()
			cls.run(5*clock.Second, perSecond, builds)
			check("all", 0)
		})
	}
}
