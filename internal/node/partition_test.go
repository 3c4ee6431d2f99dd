package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/dial"
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

// block is what a partition does with connections.
type block int32

const (
	// open is no partition.
	open block = iota
	// refuses refuses new connections.
	refuses
	// drops does not answer new connections.
	drops
)

// partition is a partition between an instance and all endpoints. Its zero value is open.
type partition struct {
	// fresh is what happens to new connections, existing to the open ones: those that it drops hang.
	fresh, existing atomic.Int32

	mtx   sync.Mutex
	conns map[*partitionedConn]struct{}
}

// set partitions the instance, or heals the partition.
func (prt *partition) set(fresh, existing block) {
	prt.fresh.Store(int32(fresh))
	prt.existing.Store(int32(existing))
	if existing != refuses {
		return
	}
	prt.mtx.Lock()
	defer prt.mtx.Unlock()
	for con := range prt.conns {
		con.reset.Store(true)
		_ = con.Conn.Close()
	}
}

// through returns a function that dials by next, through the partition.
func (prt *partition) through(next dial.Func) dial.Func {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		switch block(prt.fresh.Load()) {
		case refuses:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case drops:
			select {
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			case <-time.After(dialTimeout):
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
			}
		}
		con, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		pcn := &partitionedConn{Conn: con, prt: prt, closed: make(chan struct{})}
		prt.mtx.Lock()
		defer prt.mtx.Unlock()
		if prt.conns == nil {
			prt.conns = map[*partitionedConn]struct{}{}
		}
		prt.conns[pcn] = struct{}{}
		return pcn, nil
	}
}

const (
	// dialTimeout is how long a dial without an answer takes.
	dialTimeout = 800 * time.Millisecond
	// hungTimeout is how long a hung connection takes to fail.
	hungTimeout = 1500 * time.Millisecond
)

// partitionedConn is a connection that hangs or is reset while it is partitioned.
type partitionedConn struct {
	net.Conn
	prt   *partition
	reset atomic.Bool
	once  sync.Once
	// closed is closed when the instance closes the connection.
	closed chan struct{}
}

func (pcn *partitionedConn) Read(buf []byte) (int, error) {
	n, err := pcn.Conn.Read(buf)
	if failed := pcn.await(); failed != nil {
		return 0, failed
	}
	return n, err
}

func (pcn *partitionedConn) Write(buf []byte) (int, error) {
	if failed := pcn.await(); failed != nil {
		return 0, failed
	}
	return pcn.Conn.Write(buf)
}

func (pcn *partitionedConn) Close() error {
	pcn.once.Do(func() { close(pcn.closed) })
	pcn.prt.mtx.Lock()
	delete(pcn.prt.conns, pcn)
	pcn.prt.mtx.Unlock()
	return pcn.Conn.Close()
}

// await waits while the connection hangs.
func (pcn *partitionedConn) await() error {
	if pcn.reset.Load() {
		return syscall.ECONNRESET
	}
	began := time.Now()
	for block(pcn.prt.existing.Load()) == drops {
		select {
		case <-pcn.closed:
			return net.ErrClosed
		case <-time.After(pollInterval):
		}
		if time.Since(began) > hungTimeout {
			return syscall.ETIMEDOUT
		}
	}
	return nil
}

// pollInterval is the interval at which a hung connection looks whether the partition has healed.
const pollInterval = 5 * time.Millisecond

// newPartitionTestbed is newTestbed with a partition for each instance.
func newPartitionTestbed(nodes int) (*testbed, []*partition) {
	tbd, prts := newTestbed(0), make([]*partition, nodes)
	for i := range prts {
		prts[i] = &partition{}
		tbd.startWithLink(func(nod *Node) { nod.dialDirect = prts[i].through(nod.dialDirect) })
	}
	tbd.waitJoined()
	return tbd, prts
}

// partitionRequests are requests of all kinds: to plain endpoints and model engines, with and without stages.
var partitionRequests = []request{
	plainRequest, {path: "/booking/x", body: "a booking"}, {path: "/stream/x", body: "resumable"}, engineRequest, stageRequest,
}

// served counts the first attempts at partitioned and other instances, and those that were served.
type served struct {
	cut, cutServed, others, othersServed int
}

func (srd served) String() string {
	return fmt.Sprintf("partitioned instances served %d of %d, the others %d of %d", srd.cutServed, srd.cut, srd.othersServed, srd.others)
}

// breaksRule reports whether partitioned instances served too few.
func (srd served) breaksRule() bool {
	failed := float64(srd.cut - srd.cutServed)
	ratio := float64(srd.cutServed) * float64(srd.others) / float64(max(srd.cut*srd.othersServed, 1))
	return ratio < servedRatio && failed > failedSlack+failedShare*float64(srd.cut+srd.others)
}

// sendAll sends each kind of request to each instance some times, without retries. The first cut
// instances are partitioned.
func (tbd *testbed) sendAll(cut, rounds int) served {
	var srd served
	var mtx sync.Mutex
	var grp sync.WaitGroup
	for round := range rounds {
		for node := range tbd.nodes {
			for kind, rqt := range partitionRequests {
				rqt.id = fmt.Sprintf("%d-%d-%d-%d", time.Now().UnixNano(), round, node, kind)
				grp.Go(func() {
					ok := tbd.send(node, rqt).status == http.StatusOK
					mtx.Lock()
					defer mtx.Unlock()
					srd.count(node < cut, ok)
				})
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	grp.Wait()
	return srd
}

func (srd *served) count(cut, ok bool) {
	one := 0
	if ok {
		one = 1
	}
	if cut {
		srd.cut++
		srd.cutServed += one
		return
	}
	srd.others++
	srd.othersServed += one
}

var _ = ginkgo.Describe("an instance partitioned from all endpoints", func() {
	// Guards against callers of partitioned instances being refused while other instances reach the
	// endpoints, and against stages that fail for all because their coordinator is partitioned.
	ginkgo.It("serves first attempts as often as the others", func() {
		tbd, prts := newPartitionTestbed(8)
		expect(tbd.sendAll(4, 1).othersServed).To(equal(4 * len(partitionRequests)))
		for _, prt := range prts[:4] {
			prt.set(refuses, open)
		}
		time.Sleep(settleTime)
		srd := tbd.sendAll(4, 10)
		expect(srd.breaksRule()).To(gomega.BeFalse(), "%s", srd)
		expect(srd.othersServed).To(equal(srd.others), "%s", srd)
	})
})

