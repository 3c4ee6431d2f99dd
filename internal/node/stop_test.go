package node

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// holding is a log that holds up whoever writes a line with a certain word, once.
type holding struct {
	word []byte
	held chan struct{}
	once sync.Once
	let  chan struct{}
}

func (hld *holding) Write(line []byte) (int, error) {
	if bytes.Contains(line, hld.word) {
		hld.once.Do(func() {
			close(hld.held)
			<-hld.let
		})
	}
	return len(line), nil
}

var _ = ginkgo.Describe("a planned stop", func() {
	// The control thread is busy for two seconds when an instance is told to stop. What comes
	// meanwhile is looked at as what comes during a stop; it was let in unseen until the
	// thread had told the others.
	ginkgo.It("begins for callers though the control thread is busy", func() {
		hld := &holding{word: []byte("members changed"), held: make(chan struct{}), let: make(chan struct{})}
		wld := newWorld(1)
		nodeLog = zerolog.New(hld)
		ginkgo.DeferCleanup(func() { nodeLog = zerolog.Nop() })
		nod := wld.start()
		free := sync.OnceFunc(func() { close(hld.let) })
		ginkgo.DeferCleanup(free)
		eventually(hld.held, soon).Should(gomega.BeClosed())
		done := make(chan struct{})
		go func() {
			nod.Stop(context.Background())
			close(done)
		}()
		time.Sleep(200 * time.Millisecond)
		ans := wld.send(1, ask{path: "/no-such-path"})
		expect(ans.err).NotTo(anything())
		expect(ans.closes).To(gomega.BeTrue(), "%d %s", ans.status, ans.body)
		free()
		eventually(done, 2*soon).Should(gomega.BeClosed())
	})
})
