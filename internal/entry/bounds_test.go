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

func httpGet(url string) (int, string) {
	res, err := http.Get(url)
	expect(err).NotTo(haveOccurred())
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(text)
}

var _ = ginkgo.Describe("the interfaces", func() {
	// Some clients never finish their request header, others send headers or bodies
	// that are too large. Their connections are closed or their requests refused,
	// and other callers are served meanwhile.
	ginkgo.It("withstand slow clients and oversized requests", func() {
		tbd := newTestbed(1, "")
		addr := tbd.nodes[0].CallerAddr()
		var slow []net.Conn
		for range 50 {
			conn, err := net.Dial("tcp", addr)
			expect(err).NotTo(haveOccurred())
			_, _ = conn.Write([]byte("POST /v1/services/planning/requests HTTP/1.1\r\nHost: x\r\n"))
			slow = append(slow, conn)
		}
		expect(tbd.call(0, "planning", wire.Submit{Input: "x", MaxTokens: 1}).Outcome).To(equal("done"))

		req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/services/planning/requests", strings.NewReader("{}"))
		req.Header.Set(wire.HeaderWorkspace, strings.Repeat("x", 64<<10))
		res, err := http.DefaultClient.Do(req)
		expect(err).NotTo(haveOccurred())
		_ = res.Body.Close()
		expect(res.StatusCode).To(equal(http.StatusRequestHeaderFieldsTooLarge))

		body := bytes.NewReader([]byte(`{"input": "` + strings.Repeat("x", 5<<20) + `"}`))
		res, err = http.Post("http://"+addr+"/v1/services/planning/requests", "application/json", body)
		expect(err).NotTo(haveOccurred())
		_ = res.Body.Close()
		expect(res.StatusCode).To(equal(http.StatusBadRequest))

		for _, conn := range slow {
			_ = conn.SetReadDeadline(time.Now().Add(serve.HeaderTimeout + 3*time.Second))
			_, err := io.ReadAll(conn)
			expect(err).NotTo(haveOccurred(), "the connection must be closed by the instance")
			_ = conn.Close()
		}
	})

	// A workspace has a token. Without it, with a wrong one, or with an unknown
	// workspace, a caller receives the same refusal and nothing runs.
	ginkgo.It("reveal nothing to unauthenticated callers", func() {
		tbd := newTestbed(1, "")
		sum := sha256.Sum256([]byte("open sesame"))
		text := strings.Replace(tbd.read("planning"), "requests_per_second", "token_sha256 = \""+hex.EncodeToString(sum[:])+"\"\nrequests_per_second", 1)
		tbd.publish(0, "planning", text)
		addr := tbd.nodes[0].CallerAddr()
		call := func(wsp, token string) wire.Answer {
			return caller.New([]string{addr}, wsp, token, "").CallAt(tbd.ctx, addr, "planning", wire.Submit{Input: "x", MaxTokens: 1}, nil)
		}
		before := tbd.executions()
		none, wrong, nobody := call(workspace, ""), call(workspace, "sesame"), call("nobody", "open sesame")
		expect(none.Reason).To(equal("unknown_workspace"))
		expect(wrong.Detail).To(equal(nobody.Detail))
		expect(tbd.executions()).To(equal(before))
		expect(call(workspace, "open sesame").Outcome).To(equal("done"))
	})

	// Alerts can be written before the first failure: the counter of every reason
	// exists from the start, at zero. Names sent by callers create no new series.
	ginkgo.It("export a counter for each reason from the start, and none for names from callers", func() {
		tbd := newTestbed(1, "")
		for range 3 {
			tbd.callAs("made-up", 0, "made-up-service", wire.Submit{Input: "x"})
		}
		_, text := httpGet("http://" + tbd.nodes[0].OpsAddr() + "/metrics")
		for _, rs := range outcm.Reasons() {
			expect(text).To(gomega.ContainSubstring(`amv_refusals_total{outcome="not_run",reason="` + rs.String() + `"}`))
		}
		expect(text).To(gomega.ContainSubstring(`amv_refusals_total{outcome="not_run",reason="unknown_service"} 3`))
		expect(text).NotTo(gomega.ContainSubstring("made-up"))
		expect(text).To(gomega.ContainSubstring(`amv_state{name="ready"} 1`))
		status, _ := httpGet("http://" + tbd.nodes[0].CallerAddr() + "/metrics")
		expect(status).To(equal(http.StatusNotFound))
	})

	// A stopping instance is healthy, but not ready.
	ginkgo.It("report when they are not ready", func() {
		tbd := newTestbed(1, "")
		ops := "http://" + tbd.nodes[0].OpsAddr()
		status, _ := httpGet(ops + "/v1/ready")
		expect(status).To(equal(http.StatusOK))
		tbd.nodes[0].ctl.RefuseNewWork()
		status, text := httpGet(ops + "/v1/ready")
		expect(status).To(equal(http.StatusServiceUnavailable))
		expect(text).To(gomega.ContainSubstring("stopping"))
		status, _ = httpGet(ops + "/v1/health")
		expect(status).To(equal(http.StatusOK))
	})
})
