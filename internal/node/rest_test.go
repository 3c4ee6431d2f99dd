package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/sever"
	"amaranthvalve/platform/fake"
)

const (
	// askedRest is the rest that endpoints ask for, restLoad how long requests are sent to them.
	askedRest = 1500 * time.Millisecond
	restLoad  = 2500 * time.Millisecond
)

// checkRests checks that no endpoint got more than restAllowed requests from an instance during a rest that
// it had asked this instance for, and returns the number of rests.
func checkRests(eps ...*fake.Endpoint) int {
	rests := 0
	for _, ep := range eps {
		all := ep.AllArrivals()
		for _, arr := range all {
			if !arr.Shed || arr.Rest == 0 {
				continue
			}
			rests++
			var late []string
			for _, oth := range all {
				if since := oth.At.Sub(arr.ShedAt); oth.From == arr.From && since > restSlack && since < arr.Rest {
					late = append(late, fmt.Sprint(oth.Path, " after ", since.Round(time.Millisecond)))
				}
			}
			expect(len(late)).To(gomega.BeNumerically("<=", restAllowed), "%s, from %s: %v", ep.ID(), arr.From, late)
		}
	}
	return rests
}

// shedOften makes endpoints shed a request each 200 ms until the context ends.
func shedOften(ctx context.Context, eps ...*fake.Endpoint) {
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		for _, ep := range eps {
			ep.ClearFaults()
			ep.QueueFaults(fake.Shed)
		}
	}
}

// fromSender returns a dialler that connects from an address of its own.
func fromSender(node int) *net.Dialer {
	dlr := dial.Direct(dial.EndpointSilence)
	dlr.LocalAddr = &net.TCPAddr{IP: net.ParseIP(senderOf(node))}
	return dlr
}

var _ = ginkgo.Describe("a rest that an endpoint asks for", func() {
	withRest := func(tbd *testbed) []*fake.Endpoint {
		resting := []*fake.Endpoint{tbd.engines[0], tbd.plain[0], tbd.stages[0]}
		for _, ep := range resting {
			ep.SetRest(askedRest)
		}
		return resting
	}

	// Guards against requests of a burst that were chosen before the first answer that asks for rest.
	ginkgo.It("is kept by bursts of requests", func() {
		tbd := newSenderTestbed(3)
		resting := withRest(tbd)
		ctx, cancel := context.WithTimeout(context.Background(), restLoad)
		defer cancel()
		go shedOften(ctx, resting...)
		for ctx.Err() == nil {
			var grp sync.WaitGroup
			for i := range 300 {
				grp.Go(func() {
					rqt := partitionRequests[i%len(partitionRequests)]
					rqt.body += strconv.Itoa(i)
					tbd.send(i%len(tbd.nodes), rqt)
				})
			}
			grp.Wait()
		}
		expect(checkRests(resting...)).To(gomega.BeNumerically(">", 0))
	})

	// Guards against a rest that isn't read since the request's deadline has passed with the answer.
	ginkgo.It("is kept if it is asked for at the deadline of a request", func() {
		tbd := newSenderTestbed(2)
		resting := []*fake.Endpoint{tbd.engines[0], tbd.plain[0]}
		for _, ep := range resting {
			ep.SetRest(restTime)
			for range 1000 {
				ep.QueueFaults(fake.Expires)
			}
		}
		var grp sync.WaitGroup
		defer grp.Wait()
		for began := time.Now(); time.Since(began) < restTime+restSlack; time.Sleep(25 * time.Millisecond) {
			for node := range tbd.nodes {
				for _, path := range []string{"/booking/x", "/stream-once/x"} {
					grp.Go(func() {
						req, err := fake.Request(http.MethodPost, tbd.nodes[node].set.CallerAddr(), path, host, fmt.Sprint(time.Now().UnixNano()), "300", key, "a request", nil)
						expect(err).NotTo(anything())
						if res, err := client.Do(req); err == nil {
							_ = res.Body.Close()
						}
					})
				}
			}
		}
		grp.Wait()
		expect(checkRests(resting...)).To(gomega.BeNumerically(">", 0))
	})

	// Guards against calls whose connection was still being opened when the endpoint asked for rest.
	ginkgo.It("is kept by requests that wait for a connection", func() {
		tbd := newTokenTestbed(0, 60000)
		var count atomic.Int64
		for i := range 3 {
			tbd.startWithLink(func(nod *Node) {
				nod.SetDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
					if count.Add(1)%2 == 0 {
						time.Sleep(700 * time.Millisecond)
					}
					return fromSender(i).DialContext(ctx, network, addr)
				})
			})
		}
		tbd.waitJoined()
		resting := withRest(tbd)
		ctx, cancel := context.WithTimeout(context.Background(), restLoad)
		defer cancel()
		go shedOften(ctx, resting...)
		tbd.sendMixed(ctx, 40)
		expect(checkRests(resting...)).To(gomega.BeNumerically(">", 0))
	})

	// Guards against rests that are asked for in answers to queries and releases.
	ginkgo.It("is kept if it is asked for in the answer to any call", func() {
		tbd := newSenderTestbed(3)
		for _, ep := range tbd.engines {
			ep.SetRest(askedRest)
			ep.SetShedding(fake.PathCached)
		}
		tbd.stages[0].SetRest(askedRest)
		tbd.stages[0].SetShedding(fake.PathRelease)
		tbd.stages[1].SetRest(askedRest)
		tbd.stages[1].SetShedding(fake.PathReport)
		ctx, cancel := context.WithTimeout(context.Background(), restLoad)
		defer cancel()
		tbd.sendMixed(ctx, 40)
		expect(checkRests(append(tbd.engines, tbd.stages...)...)).To(gomega.BeNumerically(">", 0))
	})

	// Guards against a pool whose endpoints all rest, and get requests since there are no others.
	ginkgo.It("is kept if the whole pool rests", func() {
		tbd := newSenderTestbed(3)
		all := append(append(append([]*fake.Endpoint{}, tbd.engines...), tbd.plain...), tbd.stages...)
		for _, ep := range all {
			ep.SetRest(askedRest)
			ep.SetShedding("/", fake.PathBatch)
		}
		ctx, cancel := context.WithTimeout(context.Background(), restLoad)
		defer cancel()
		tbd.sendMixed(ctx, 40)
		expect(checkRests(all...)).To(gomega.BeNumerically(">", 0))
	})

	// Guards against forms of a time that are read as none, and a second answer that shortens a rest.
	ginkgo.It("is kept in all forms of its time", func() {
		tbd := newSenderTestbed(2)
		resting := withRest(tbd)
		resting[0].SetRestText(func(span time.Duration) string {
			return time.Now().Add(span + time.Second).UTC().Format(http.TimeFormat)
		})
		resting[1].SetRestText(func(time.Duration) string { return " 1.500 " })
		var shorter atomic.Bool
		resting[2].SetRestText(func(time.Duration) string {
			if shorter.Swap(true) {
				return "0.1"
			}
			return "1.5"
		})
		ctx, cancel := context.WithTimeout(context.Background(), restLoad)
		defer cancel()
		go shedOften(ctx, resting...)
		tbd.sendMixed(ctx, 40)
		expect(checkRests(resting[:2]...)).To(gomega.BeNumerically(">", 0))
	})

	// Guards against relays that go on sending to an endpoint which has asked for rest in answers to requests
	// that they relay.
	ginkgo.It("is kept while connections are relayed", func() {
		tbd := newTokenTestbed(0, 60000)
		var prts []*sever.Partition
		for i := range 4 {
			prt := &sever.Partition{}
			prts = append(prts, prt)
			tbd.startWithLink(func(nod *Node) { nod.SetDial(dial.Func(prt.Through(sever.Func(fromSender(i).DialContext)))) })
		}
		tbd.waitJoined()
		resting := withRest(tbd)
		ctx, cancel := context.WithTimeout(context.Background(), 2*restLoad)
		defer cancel()
		go shedOften(ctx, resting...)
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				prts[i%4].Set(sever.Drops, sever.Drops)
				prts[(i+1)%4].Set(sever.Refuses, sever.Open)
				time.Sleep(1500 * time.Millisecond)
				prts[i%4].Set(sever.Open, sever.Open)
			}
		}()
		tbd.sendMixed(ctx, 40)
		expect(checkRests(resting...)).To(gomega.BeNumerically(">", 0))
	})
})
