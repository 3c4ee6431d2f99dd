package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/serve"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/outcm"
)

func get(url string) (int, string) {
	res, err := http.Get(url)
	expect(err).NotTo(anything())
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(text)
}

var _ = ginkgo.Describe("the interfaces", func() {
	// A sender opens connections and never ends its header; others send too
	// much. They are cut off or refused, and honest callers are served meanwhile.
	ginkgo.It("hold out against slow and large senders", func() {
		wld := newWorld(1, "")
		addr := wld.nodes[0].CallerAddr()
		var slow []net.Conn
		for range 50 {
			conn, err := net.Dial("tcp", addr)
			expect(err).NotTo(anything())
			_, _ = conn.Write([]byte("POST /v1/services/planning/requests HTTP/1.1\r\nHost: x\r\n"))
			slow = append(slow, conn)
		}
		expect(wld.call(0, "planning", wire.Submit{Input: "x", MaxTokens: 1}).Outcome).To(equal("done"))

		req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/services/planning/requests", strings.NewReader("{}"))
		req.Header.Set(wire.HeaderWorkspace, strings.Repeat("x", 64<<10))
		res, err := http.DefaultClient.Do(req)
		expect(err).NotTo(anything())
		_ = res.Body.Close()
		expect(res.StatusCode).To(equal(http.StatusRequestHeaderFieldsTooLarge))

		body := bytes.NewReader([]byte(`{"input": "` + strings.Repeat("x", 5<<20) + `"}`))
		res, err = http.Post("http://"+addr+"/v1/services/planning/requests", "application/json", body)
		expect(err).NotTo(anything())
		_ = res.Body.Close()
		expect(res.StatusCode).To(equal(http.StatusBadRequest))

		for _, conn := range slow {
			_ = conn.SetReadDeadline(time.Now().Add(serve.HeaderTimeout + 3*time.Second))
			_, err := io.ReadAll(conn)
			expect(err).NotTo(anything(), "the connection must be closed by the instance")
			_ = conn.Close()
		}
	})

	// A workspace has a token. Without it, with a wrong one, or under a name that
	// does not exist, a caller is told the same words and nothing runs.
	ginkgo.It("tell a stranger nothing", func() {
		wld := newWorld(1, "")
		sum := sha256.Sum256([]byte("open sesame"))
		text := strings.Replace(wld.read("planning"), "requests_per_second", "token_sha256 = \""+hex.EncodeToString(sum[:])+"\"\nrequests_per_second", 1)
		wld.publish(0, "planning", text)
		addr := wld.nodes[0].CallerAddr()
		call := func(wsp, token string) wire.Answer {
			return caller.New([]string{addr}, wsp, token, "").CallAt(wld.ctx, addr, "planning", wire.Submit{Input: "x", MaxTokens: 1}, nil)
		}
		before := wld.executions()
		none, wrong, nobody := call(workspace, ""), call(workspace, "sesame"), call("nobody", "open sesame")
		expect(none.Reason).To(equal("unknown_workspace"))
		expect(wrong.Detail).To(equal(nobody.Detail))
		expect(wld.executions()).To(equal(before))
		expect(call(workspace, "open sesame").Outcome).To(equal("done"))
	})

	// An operator writes alarms before anything has gone wrong: each reason and
	// cause has its counter at zero. A caller can't make up new ones.
	ginkgo.It("count each reason from the start, and nothing that callers make up", func() {
		wld := newWorld(1, "")
		for range 3 {
			wld.callAs("made-up", 0, "made-up-service", wire.Submit{Input: "x"})
		}
		_, text := get("http://" + wld.nodes[0].OpsAddr() + "/metrics")
		for _, rs := range outcm.Reasons() {
			expect(text).To(gomega.ContainSubstring(`amv_refusals_total{outcome="not_run",reason="` + rs.String() + `"}`))
		}
		expect(text).To(gomega.ContainSubstring(`amv_refusals_total{outcome="not_run",reason="unknown_service"} 3`))
		expect(text).NotTo(gomega.ContainSubstring("made-up"))
		expect(text).To(gomega.ContainSubstring(`amv_state{name="ready"} 1`))
		status, _ := get("http://" + wld.nodes[0].CallerAddr() + "/metrics")
		expect(status).To(equal(http.StatusNotFound))
	})

	// The health and readiness pages tell the truth: a stopping instance is
	// healthy and not ready.
	ginkgo.It("say when they are not ready", func() {
		wld := newWorld(1, "")
		ops := "http://" + wld.nodes[0].OpsAddr()
		status, _ := get(ops + "/v1/ready")
		expect(status).To(equal(http.StatusOK))
		wld.nodes[0].ctl.Refuse()
		status, text := get(ops + "/v1/ready")
		expect(status).To(equal(http.StatusServiceUnavailable))
		expect(text).To(gomega.ContainSubstring("stopping"))
		status, _ = get(ops + "/v1/health")
		expect(status).To(equal(http.StatusOK))
	})
})
