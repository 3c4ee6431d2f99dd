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

// TestSameFaultIsNotWrittenForEver: httpc reports the same failed call a thousand
// times. A few lines are written, through our logger and at the level they have.
func TestSameFaultIsNotWrittenForEver(t *testing.T) {
	gom := gomega.NewWithT(t)
	var buf bytes.Buffer
	To(zerolog.New(&buf))
	for range 1000 {
		logx.Error("connection refused")
	}
	gom.Expect(strings.Count(buf.String(), "connection refused")).To(gomega.Equal(errorBurst))
	gom.Expect(buf.String()).To(gomega.ContainSubstring(`"level":"error","from":"go-zero"`))
}

// TestStandardLogIsStructured: a library writes to Go's standard log. Its line stands
// among the others as JSON; as plain text it broke whoever read the log by program.
func TestStandardLogIsStructured(t *testing.T) {
	gom := gomega.NewWithT(t)
	var buf bytes.Buffer
	To(zerolog.New(&buf))
	log.Println("failed to increase receive buffer size")
	var line map[string]string
	gom.Expect(json.Unmarshal(buf.Bytes(), &line)).To(gomega.Succeed())
	gom.Expect(line).To(gomega.HaveKeyWithValue("from", "library"))
	gom.Expect(line["message"]).To(gomega.ContainSubstring("receive buffer"))
}
