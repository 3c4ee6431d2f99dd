package soak

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// unresponsiveInstance returns an instance behind a proxy, whose process accepts connections and
// answers nothing.
func unresponsiveInstance(t *testing.T) *instance {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lsn.Close() })
	go func() {
		for {
			if _, err := lsn.Accept(); err != nil {
				return
			}
		}
	}()
	prx, err := newTCPProxy(lsn.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(prx.close)
	return &instance{name: "mute", frontProxy: prx}
}

// send writes a request as a caller would, and returns its attempt.
func send(t *testing.T, ins *instance, con net.Conn) *attempt {
	att := &attempt{id: "one", ins: ins, sent: time.Now(), localAddr: con.LocalAddr().String(), dialedAt: con.(*timedConn).openedAt}
	if _, err := con.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * pollInterval)
	return att
}

func connect(t *testing.T, ins *instance) net.Conn {
	con, err := dial(context.Background(), ins.frontProxy.addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	time.Sleep(5 * pollInterval)
	return con
}

// Guards against ignoring an unanswered request whose connection works, or that reached its
// instance before the connection was blackholed.
func TestUnansweredRequestIsReportedUnlessLost(t *testing.T) {
	for name, tst := range map[string]struct {
		run                func(t *testing.T, ins *instance) *attempt
		countAllUnanswered bool
		violations         int
	}{
		"on a working connection": {
			run: func(t *testing.T, ins *instance) *attempt { return send(t, ins, connect(t, ins)) }, violations: 1,
		},
		"blackholed after the request was sent": {
			run: func(t *testing.T, ins *instance) *attempt {
				att := send(t, ins, connect(t, ins))
				ins.frontProxy.blackhole()
				return att
			}, violations: 1,
		},
		"dialed after others were blackholed": {
			run: func(t *testing.T, ins *instance) *attempt {
				connect(t, ins)
				ins.frontProxy.blackhole()
				return send(t, ins, connect(t, ins))
			}, violations: 1,
		},
		"from the address of an earlier, blackholed connection": {
			run: func(t *testing.T, ins *instance) *attempt {
				con := connect(t, ins)
				ins.frontProxy.blackhole()
				con.(*timedConn).openedAt = time.Now()
				return send(t, ins, con)
			}, violations: 1,
		},
		"blackholed between the recorded time of sending and the first byte": {
			run: func(t *testing.T, ins *instance) *attempt {
				con, sent := connect(t, ins), time.Now()
				ins.frontProxy.blackhole()
				att := send(t, ins, con)
				att.sent = sent
				return att
			},
		},
		"blackholed before the request was sent":              {run: blackholedBefore},
		"blackholed before the request was sent, all counted": {run: blackholedBefore, countAllUnanswered: true, violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			sr := &soakRun{countAllUnanswered: tst.countAllUnanswered}
			sr.checkUnanswered(tst.run(t, unresponsiveInstance(t)))
			gomega.NewWithT(t).Expect(sr.violations).To(gomega.HaveLen(tst.violations), "%v", sr.notes)
		})
	}
}

func blackholedBefore(t *testing.T, ins *instance) *attempt {
	con := connect(t, ins)
	ins.frontProxy.blackhole()
	return send(t, ins, con)
}

// Guards against attempts without the local address and opening time of their connection, by
// which checkUnanswered finds the connection in the proxy.
func TestAttemptsRecordTheirConnections(t *testing.T) {
	ins := unresponsiveInstance(t)
	sr := &soakRun{insts: []*instance{ins}}
	clr := sr.newCaller(1)
	clr.preopen(ins)
	att := &attempt{ins: ins, deadline: time.Millisecond}
	req, err := http.NewRequest(http.MethodGet, "http://"+ins.frontProxy.addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	clr.roundTrip(att, req)
	gomega.NewWithT(t).Expect(ins.frontProxy.lookup(att.localAddr).openedAt).NotTo(gomega.BeZero())
	gomega.NewWithT(t).Expect(att.dialedAt).NotTo(gomega.BeZero())
}
