package zlog

import (
	"bytes"
	"encoding/json"
	"log"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
)

// TestRepeatedErrorsAreLimited guards against a log that is flooded by httpc, which writes
// a line for each failed call. Of 1000 such lines, errorBurst are written, through our
// logger and at their level.
func TestRepeatedErrorsAreLimited(t *testing.T) {
	gom := gomega.NewWithT(t)
	var buf bytes.Buffer
	RedirectLibraries(zerolog.New(&buf))
	for range 1000 {
		logx.Error("connection refused")
	}
	gom.Expect(strings.Count(buf.String(), "connection refused")).To(gomega.Equal(errorBurst))
	gom.Expect(buf.String()).To(gomega.ContainSubstring(`"level":"error","from":"go-zero"`))
}

// TestStandardLogIsStructured guards against plain text in the log, which breaks programs
// that read it as JSON: a line that a library writes to Go's standard log comes out as JSON.
func TestStandardLogIsStructured(t *testing.T) {
	gom := gomega.NewWithT(t)
	var buf bytes.Buffer
	RedirectLibraries(zerolog.New(&buf))
	log.Println("failed to increase receive buffer size")
	var line map[string]string
	gom.Expect(json.Unmarshal(buf.Bytes(), &line)).To(gomega.Succeed())
	gom.Expect(line).To(gomega.HaveKeyWithValue("from", "library"))
	gom.Expect(line["message"]).To(gomega.ContainSubstring("receive buffer"))
}
