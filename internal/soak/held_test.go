package soak

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// muteInstance is an instance whose process takes connections and answers nothing, with a
// wire before it.
func muteInstance(t *testing.T) *instance {
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
	wir, err := newWire(lsn.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(wir.close)
	return &instance{name: "mute", front: wir}
}

// send writes a request, as a caller would, and gives the attempt that it belongs to.
func send(t *testing.T, ins *instance, con net.Conn) *attempt {
	att := &attempt{id: "one", ins: ins, sent: time.Now(), from: con.LocalAddr().String(), dialled: con.(*dialled).at}
	if _, err := con.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * holdStep)
	return att
}

func connect(t *testing.T, ins *instance) net.Conn {
	con, err := dial(context.Background(), ins.front.addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = con.Close() })
	time.Sleep(5 * holdStep)
	return con
}

// Guards against passing over a request that is held on a connection that works, or that
// reached its instance before the connection was made silent.
func TestHeldIsToldUnlessItWasLostOnItsWay(t *testing.T) {
	for name, tst := range map[string]struct {
		play    func(t *testing.T, ins *instance) *attempt
		heldAll bool
		broken  int
	}{
		"on a connection that works": {
			play: func(t *testing.T, ins *instance) *attempt { return send(t, ins, connect(t, ins)) }, broken: 1,
		},
		"silenced after the sending": {
			play: func(t *testing.T, ins *instance) *attempt {
				att := send(t, ins, connect(t, ins))
				ins.front.stick()
				return att
			}, broken: 1,
		},
		"dialled after others were silenced": {
			play: func(t *testing.T, ins *instance) *attempt {
				connect(t, ins)
				ins.front.stick()
				return send(t, ins, connect(t, ins))
			}, broken: 1,
		},
		"from the address of an earlier silenced connection": {
			play: func(t *testing.T, ins *instance) *attempt {
				con := connect(t, ins)
				ins.front.stick()
				con.(*dialled).at = time.Now()
				return send(t, ins, con)
			}, broken: 1,
		},
		"silenced between the instant of the sending and the first byte": {
			play: func(t *testing.T, ins *instance) *attempt {
				con, sent := connect(t, ins), time.Now()
				ins.front.stick()
				att := send(t, ins, con)
				att.sent = sent
				return att
			},
		},
		"silenced before the sending":                  {play: silencedBefore},
		"silenced before the sending, where all count": {play: silencedBefore, heldAll: true, broken: 1},
	} {
		t.Run(name, func(t *testing.T) {
			wld := &world{heldAll: tst.heldAll}
			wld.judgeHeld(tst.play(t, muteInstance(t)))
			gomega.NewWithT(t).Expect(wld.broken).To(gomega.HaveLen(tst.broken), "%v", wld.notes)
		})
	}
}

func silencedBefore(t *testing.T, ins *instance) *attempt {
	con := connect(t, ins)
	ins.front.stick()
	return send(t, ins, con)
}

// Guards against callers whose connections don't tell when they were opened.
func TestCallersKnowTheirConnections(t *testing.T) {
	ins := muteInstance(t)
	wld := &world{insts: []*instance{ins}}
	clr := wld.newCaller(1)
	clr.opened(ins)
	att := &attempt{ins: ins, deadline: time.Millisecond}
	req, err := http.NewRequest(http.MethodGet, "http://"+ins.front.addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	clr.take(att, req)
	gomega.NewWithT(t).Expect(ins.front.find(att.from).opened).NotTo(gomega.BeZero())
	gomega.NewWithT(t).Expect(att.dialled).NotTo(gomega.BeZero())
}
