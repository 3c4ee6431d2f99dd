package node

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/sever"
	"amaranthvalve/platform/fake"
)

// Bounds of the users' rule on partitioned instances: from settleTime after the begin of a partition,
// first attempts there are served at least servedRatio times as often as at the other instances, unless
// at most failedSlack and a failedShare of all of them fail there.
const (
	settleTime  = 3 * time.Second
	servedRatio = 2.0 / 3
	failedSlack = 10
	failedShare = 1.0 / 50
)

// newPartitionTestbed is newTestbed with a partition for each instance.
func newPartitionTestbed(nodes int) (*testbed, []*sever.Partition) {
	tbd := newTestbed(0)
	return tbd, tbd.startPartitioned(nodes)
}

// startPartitioned starts instances, each with a partition.
func (tbd *testbed) startPartitioned(nodes int) []*sever.Partition {
	prts := make([]*sever.Partition, nodes)
	for i := range prts {
		prts[i] = &sever.Partition{}
		tbd.startWithLink(func(nod *Node) { nod.SetDial(dial.Func(prts[i].Through(sever.Func(nod.dialDirect)))) })
	}
	tbd.waitJoined()
	return prts
}

// partitionRequests are requests of all kinds: to plain endpoints and model engines, with and without stages.
var partitionRequests = []request{
	plainRequest, {path: "/booking/x", body: "a booking"}, {path: "/stream/x", body: "resumable"}, engineRequest, stageRequest,
}

// served counts the first attempts at partitioned and other instances, and those that were served.
type served struct {
	cut, cutServed, others, othersServed int
	// cutTimes and otherTimes are the times of those that were served.
	cutTimes, otherTimes []time.Duration
}

func (srd served) String() string {
	return fmt.Sprintf("partitioned instances served %d of %d, in %v at the median, 95 in 100 in %v; the others %d of %d, in %v, %v",
		srd.cutServed, srd.cut, quantile(srd.cutTimes, 0.5), quantile(srd.cutTimes, 0.95),
		srd.othersServed, srd.others, quantile(srd.otherTimes, 0.5), quantile(srd.otherTimes, 0.95))
}

// partitionSeconds returns how long partitions come and go, AMV_PARTITION_SECONDS if that is set.
func partitionSeconds() time.Duration {
	if secs, err := strconv.Atoi(os.Getenv("AMV_PARTITION_SECONDS")); err == nil && secs > 0 {
		return time.Duration(secs) * time.Second
	}
	return 4 * time.Second
}

// quantile returns a quantile of a list, zero if it is empty.
func quantile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(list))[int(share*float64(len(list)-1))].Round(time.Millisecond / 10)
}

// breaksRule reports whether partitioned instances served too few.
func (srd served) breaksRule() bool {
	failed := float64(srd.cut - srd.cutServed)
	ratio := float64(srd.cutServed) * float64(srd.others) / float64(max(srd.cut*srd.othersServed, 1))
	return ratio < servedRatio && failed > failedSlack+failedShare*float64(srd.cut+srd.others)
}

// minRoundInterval is the time between two rounds of requests.
const minRoundInterval = 100 * time.Millisecond

// sendAll sends each kind of request to each instance some times, without retries. The first cut
// instances are partitioned.
func (tbd *testbed) sendAll(cut, rounds int) served {
	return tbd.sendAllEvery(minRoundInterval, cut, rounds)
}

// sendAllEvery is sendAll with a round of requests at each interval.
func (tbd *testbed) sendAllEvery(interval time.Duration, cut, rounds int) served {
	var srd served
	var mtx sync.Mutex
	var grp sync.WaitGroup
	for round := range rounds {
		for node := range tbd.nodes {
			for kind, rqt := range partitionRequests {
				rqt.id = fmt.Sprintf("%d-%d-%d-%d", time.Now().UnixNano(), round, node, kind)
				// Without a body of its own it would count as a retry of the first one, late from the start.
				rqt.body += rqt.id
				grp.Go(func() {
					sent := time.Now()
					rsp := tbd.send(node, rqt)
					ok := rsp.status == http.StatusOK
					if !ok {
						ginkgo.GinkgoLogr.Info(fmt.Sprint(rqt.id, " ", rqt.path, " ", rsp.status, " ", rsp.body, " ", rsp.err))
					}
					mtx.Lock()
					defer mtx.Unlock()
					srd.count(node < cut, ok, time.Since(sent))
				})
			}
		}
		time.Sleep(interval)
	}
	grp.Wait()
	return srd
}

// alone labels specs whose requests keep a processor busy. They measure what instances serve, not what the
// processor has left beside other tests.
var alone = ginkgo.Label("alone")

// sendUncut sends rounds of requests until all of one are served, and returns an interval at which the
// machine can serve more of them, twice the time of nearly all.
func (tbd *testbed) sendUncut() time.Duration {
	var srd served
	eventually(func() bool {
		srd = tbd.sendAll(0, 1)
		return srd.othersServed == srd.others
	}, pollTimeout).Should(gomega.BeTrue())
	interval := max(minRoundInterval, 2*quantile(srd.otherTimes, 0.95))
	ginkgo.GinkgoLogr.Info(fmt.Sprint("a round of requests every ", interval))
	return interval
}

// add adds the counts of another round.
func (srd *served) add(oth served) {
	srd.cut, srd.cutServed, srd.others, srd.othersServed = srd.cut+oth.cut, srd.cutServed+oth.cutServed, srd.others+oth.others, srd.othersServed+oth.othersServed
	srd.cutTimes, srd.otherTimes = append(srd.cutTimes, oth.cutTimes...), append(srd.otherTimes, oth.otherTimes...)
}

func (srd *served) count(cut, ok bool, took time.Duration) {
	sent, done, times := &srd.others, &srd.othersServed, &srd.otherTimes
	if cut {
		sent, done, times = &srd.cut, &srd.cutServed, &srd.cutTimes
	}
	*sent++
	if ok {
		*done++
		*times = append(*times, took)
	}
}

var _ = ginkgo.Describe("an instance partitioned from all endpoints", func() {
	// Guards against callers of partitioned instances being refused while other instances reach the
	// endpoints, and against stages that fail for all because their coordinator is partitioned.
	ginkgo.It("serves first attempts as often as the others", alone, func() {
		tbd, prts := newPartitionTestbed(8)
		interval := tbd.sendUncut()
		for _, prt := range prts[:4] {
			prt.Set(sever.Refuses, sever.Open)
		}
		time.Sleep(settleTime)
		srd := tbd.sendAllEvery(interval, 4, 10)
		ginkgo.GinkgoLogr.Info(srd.String())
		expect(srd.breaksRule()).To(gomega.BeFalse(), "%s", srd)
		expect(srd.othersServed).To(equal(srd.others), "%s", srd)
	})

	// Guards against the same in the other shapes of a partition, at any number of instances.
	ginkgo.DescribeTable("serves first attempts, whatever the partition does with connections", alone, func(cut int, fresh, existing sever.Shape) {
		tbd, prts := newPartitionTestbed(8)
		interval := tbd.sendUncut()
		for _, prt := range prts[:cut] {
			prt.Set(fresh, existing)
		}
		time.Sleep(settleTime)
		srd := tbd.sendAllEvery(interval, cut, 10)
		ginkgo.GinkgoLogr.Info(srd.String())
		expect(srd.breaksRule()).To(gomega.BeFalse(), "%s", srd)
		expect(srd.othersServed).To(equal(srd.others), "%s", srd)
	},
		ginkgo.Entry("new ones of one instance get no answer while open ones go on", 1, sever.Drops, sever.Open),
		ginkgo.Entry("all of three instances hang", 3, sever.Drops, sever.Drops),
		ginkgo.Entry("those of six instances are reset and new ones refused", 6, sever.Refuses, sever.Refuses),
		ginkgo.Entry("all of seven instances hang", 7, sever.Drops, sever.Drops),
	)

	// Guards against partitioned instances that take each other for proof that endpoints are down, since none
	// may connect to brittle endpoints only to see whether it reaches them.
	ginkgo.It("serves first attempts while all endpoints are brittle", func() {
		tbd, prts := newPartitionTestbed(4)
		for _, ep := range slices.Concat(tbd.engines, tbd.plain, tbd.stages) {
			ep.SetBrittle(3, func() {})
		}
		eventually(func() bool {
			tbd.sendAll(0, 1)
			return !slices.ContainsFunc(tbd.nodes, func(nod *Node) bool { return len(nod.ctl.View().BrittlePools()) < 3 })
		}, pollTimeout).Should(gomega.BeTrue())
		for _, prt := range prts[:3] {
			prt.Set(sever.Refuses, sever.Refuses)
		}
		for until := time.Now().Add(settleTime); time.Now().Before(until); {
			tbd.sendAll(3, 1)
		}
		srd := tbd.sendAll(3, 10)
		ginkgo.GinkgoLogr.Info(srd.String())
		expect(srd.breaksRule()).To(gomega.BeFalse(), "%s", srd)
	})

	// Guards against relayed responses that are held back, and against endpoints that go on working for
	// callers that have disconnected.
	ginkgo.It("relays events as they come, and the disconnect of the caller", func() {
		tbd, prts := newPartitionTestbed(2)
		prts[0].Set(sever.Refuses, sever.Open)
		for _, ep := range tbd.engines {
			ep.Duration = 400 * time.Millisecond
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		req, err := fake.Request(http.MethodPost, tbd.nodes[0].set.CallerAddr(), "/stream-once/x", host, "a-stream", deadline, key, "plan", nil)
		expect(err).NotTo(anything())
		sent := time.Now()
		res, err := client.Do(req.WithContext(ctx))
		expect(err).NotTo(anything())
		defer func() { _ = res.Body.Close() }()
		_, err = res.Body.Read(make([]byte, 64))
		expect(err).NotTo(anything())
		expect(time.Since(sent)).To(gomega.BeNumerically("<", 300*time.Millisecond))
		cancel()
		eventually(func() int { return tbd.engines[0].Disconnects() + tbd.engines[1].Disconnects() }, 500*time.Millisecond).Should(equal(1))
	})

	// Guards against a response that looks complete although the relay crashed in its middle.
	ginkgo.It("passes on no response as complete that its relay has cut off", func() {
		tbd, prts := newPartitionTestbed(2)
		prts[0].Set(sever.Refuses, sever.Open)
		for _, ep := range tbd.engines {
			ep.Duration = 500 * time.Millisecond
		}
		done := make(chan response, 1)
		go func() { done <- tbd.send(0, request{path: "/stream-once/x", body: "plan"}) }()
		eventually(func() int { return len(runs(tbd.engines)) }, pollTimeout).Should(equal(1))
		time.Sleep(600 * time.Millisecond)
		tbd.nodes[1].Kill()
		var rsp response
		eventually(done, 4*time.Second).Should(gomega.Receive(&rsp))
		expect(rsp.err).To(anything())
	})

	// Guards against a relay's planned shutdown that interrupts the requests of other instances.
	ginkgo.It("has its requests finished by a relay that shuts down", func() {
		tbd, prts := newPartitionTestbed(2)
		prts[0].Set(sever.Refuses, sever.Open)
		for _, ep := range tbd.engines {
			ep.Duration = 500 * time.Millisecond
		}
		done := make(chan response, 1)
		go func() { done <- tbd.send(0, request{path: "/stream-once/x", body: "plan"}) }()
		eventually(func() int { return len(runs(tbd.engines)) }, pollTimeout).Should(equal(1))
		tbd.nodes[1].Stop(context.Background())
		var rsp response
		eventually(done, 4*time.Second).Should(gomega.Receive(&rsp))
		expect(rsp.err).NotTo(anything())
		expect(rsp.status).To(equal(http.StatusOK))
	})

	// Guards against requests that wait although no instance reaches any endpoint, and against relays
	// that keep trying one another.
	ginkgo.It("refuses requests at once if all others are partitioned too", func() {
		tbd, prts := newPartitionTestbed(3)
		for _, prt := range prts {
			prt.Set(sever.Refuses, sever.Refuses)
		}
		tbd.sendAll(3, 2)
		for node := range tbd.nodes {
			sent := time.Now()
			rsp := tbd.send(node, request{path: "/booking/x", body: "a booking"})
			expect(rsp.status).To(equal(http.StatusServiceUnavailable))
			expect(rsp.header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			expect(time.Since(sent)).To(gomega.BeNumerically("<", 300*time.Millisecond))
		}
		for _, prt := range prts {
			prt.Set(sever.Open, sever.Open)
		}
		eventually(func() int { return tbd.sendAll(3, 1).cutServed }, pollTimeout).Should(equal(3 * len(partitionRequests)))
	})

	// Guards against instances that serve nothing for seconds although the first of them all reaches endpoints
	// again.
	ginkgo.It("is served through the first instance that reaches endpoints again", func() {
		tbd, prts := newPartitionTestbed(3)
		for _, prt := range prts {
			prt.Set(sever.Refuses, sever.Refuses)
		}
		for until := time.Now().Add(settleTime); time.Now().Before(until); {
			tbd.sendAll(3, 1)
		}
		prts[0].Set(sever.Open, sever.Open)
		served := func() bool {
			for _, rqt := range partitionRequests[:4] {
				if tbd.send(1, rqt).status != http.StatusOK || tbd.send(2, rqt).status != http.StatusOK {
					return false
				}
			}
			return true
		}
		eventually(served, settleTime/2).Should(gomega.BeTrue())
	})

	// Guards against connections that stay relayed after the partition has healed, and against one that
	// comes and goes every second.
	ginkgo.It("returns to direct connections when the partition heals", func() {
		tbd, prts := newPartitionTestbed(3)
		var srd served
		for range 3 {
			prts[0].Set(sever.Drops, sever.Drops)
			srd.add(tbd.sendAll(1, 8))
			prts[0].Set(sever.Open, sever.Open)
			srd.add(tbd.sendAll(1, 8))
		}
		expect(srd.breaksRule()).To(gomega.BeFalse(), "%s", srd)
		ginkgo.GinkgoLogr.Info(srd.String())
		eventually(func() int64 {
			tbd.sendAll(1, 1)
			return tbd.nodes[1].dialer.Served() + tbd.nodes[2].dialer.Served()
		}, pollTimeout).Should(gomega.BeZero())
	})

	// Guards against taking a partition for crashed endpoints: the requests under way would be
	// quarantined at all instances.
	ginkgo.It("records no crash of an endpoint when its connections are reset", func() {
		tbd, prts := newPartitionTestbed(3)
		for _, ep := range append(slices.Clone(tbd.engines), tbd.plain...) {
			ep.Duration = 100 * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(context.Background(), partitionSeconds())
		defer cancel()
		var grp sync.WaitGroup
		statuses := map[int]int{}
		grp.Go(func() { statuses = tbd.generateLoad(ctx, request{path: "/stream/x", body: "the same"}, 100) })
		grp.Go(func() { tbd.generateLoad(ctx, request{path: "/log/x", method: http.MethodGet}, 100) })
		for i := 0; ctx.Err() == nil; i++ {
			time.Sleep(150 * time.Millisecond)
			for j, prt := range prts {
				if j <= i%3 {
					prt.Set(sever.Refuses, sever.Refuses)
				}
			}
			time.Sleep(150 * time.Millisecond)
			for _, prt := range prts {
				prt.Set(sever.Open, sever.Open)
			}
		}
		grp.Wait()
		ginkgo.GinkgoLogr.Info(fmt.Sprint(statuses))
		expect(statuses[http.StatusOK]).To(gomega.BeNumerically(">", 50))
		for _, nod := range tbd.nodes {
			expect(nod.ctl.View().Suspects().Empty()).To(gomega.BeTrue())
		}
	})
})
