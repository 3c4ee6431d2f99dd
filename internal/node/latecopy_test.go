package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"

	"amaranthvalve/platform/fake"
)

// lateCopies returns the address of a proxy that sends a copy of whatever a server answers a moment later, on the same
// connection.
func lateCopies(tbd *testbed, server string) string {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	expect(err).NotTo(anything())
	tbd.cleanup(func() { _ = lsn.Close() })
	go func() {
		for {
			con, err := lsn.Accept()
			if err != nil {
				return
			}
			go copyLate(con, server)
		}
	}()
	return lsn.Addr().String()
}

func copyLate(con net.Conn, server string) {
	defer func() { _ = con.Close() }()
	back, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer func() { _ = back.Close() }()
	go func() {
		_, _ = io.Copy(back, con)
		_ = back.Close()
	}()
	buf := make([]byte, 64<<10)
	var mtx sync.Mutex
	for {
		size, err := back.Read(buf)
		if err != nil {
			return
		}
		text := string(buf[:size])
		mtx.Lock()
		_, _ = io.WriteString(con, text)
		mtx.Unlock()
		time.AfterFunc(15*time.Millisecond, func() {
			mtx.Lock()
			defer mtx.Unlock()
			_, _ = io.WriteString(con, text)
		})
	}
}

var _ = ginkgo.Describe("an endpoint of a stage that answers twice", func() {
	// Guards against a late second answer that is taken for the answer to the next call on its connection: pieces and
	// prompts would get results that were made for other requests.
	ginkgo.It("gives no request the results of another one", func() {
		tbd := newTestbed(2)
		for _, ep := range tbd.stages {
			tbd.putEntry("rosters", ep.ID(), lateCopies(tbd, tbd.servers[ep.ID()].Addr()), false)
		}
		time.Sleep(drainTime)
		var grp sync.WaitGroup
		var served atomic.Int64
		for i := range 120 {
			time.Sleep(10 * time.Millisecond)
			grp.Go(func() {
				rqt := stageRequest
				rqt.id, rqt.body = fmt.Sprint("once-", i), fmt.Sprint("body ", i)
				if tbd.send(i%2, rqt).status == http.StatusOK {
					served.Add(1)
				}
			})
		}
		grp.Wait()
		users := map[string]string{}
		for _, run := range runs(tbd.engines) {
			for handle := range strings.SplitSeq(run.Header.Get(fake.HeaderInputs), ",") {
				if by, ok := users[handle]; ok && by != run.ID {
					ginkgo.Fail(fmt.Sprint(handle, " is an input of ", by, " and of ", run.ID))
				}
				users[handle] = run.ID
			}
		}
		expect(served.Load()).To(equal(int64(120)))
	})
})
