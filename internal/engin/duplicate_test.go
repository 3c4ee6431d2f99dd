package engin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/wire"
	"amaranthvalve/internal/zlog"
	"amaranthvalve/pkg/ending"
	"amaranthvalve/pkg/ident"
)

// serveDuplicates answers each request on a connection twice. The second answer is sent when
// the next request has arrived.
func serveDuplicates(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	rdr := bufio.NewReader(conn)
	stale := ""
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		var run wire.Run
		if json.NewDecoder(req.Body).Decode(&run) != nil {
			return
		}
		body, _ := json.Marshal(wire.RunResult{Attempt: run.Attempt, Output: run.Input})
		fresh := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, stale+fresh); err != nil {
			return
		}
		stale = fresh
	}
}

// Guards against a duplicate answer that is matched to the next request on the same connection.
// Each caller must get its own answer or an error, never the answer before.
func TestDuplicateResponses(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	gom := gomega.NewWithT(t)
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = lsn.Close() }()
	go func() {
		for {
			conn, err := lsn.Accept()
			if err != nil {
				return
			}
			go serveDuplicates(conn)
		}
	}()
	cli := New()
	endings := map[ending.Ending]int{}
	for i := range 40 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		input := fmt.Sprintf("request %d", i)
		ran, _, end := cli.Run(ctx, lsn.Addr().String(), wire.Run{Attempt: ident.NewID(), Input: input})
		cancel()
		endings[end]++
		if end == ending.Answered {
			gom.Expect(ran.Output).To(gomega.Equal(input))
		}
		gom.Expect(end.RanNothing()).To(gomega.BeFalse(), "it did run")
	}
	gom.Expect(endings[ending.Answered]).To(gomega.BeNumerically(">", 0))
	gom.Expect(endings[ending.Foreign]).To(gomega.BeNumerically(">", 0))
}
