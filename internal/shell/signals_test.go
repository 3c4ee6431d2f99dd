package shell

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"amaranthvalve/internal/ports"
)

// output collects the output of a process.
type output struct {
	mtx  sync.Mutex
	text bytes.Buffer
}

func (out *output) Write(part []byte) (int, error) {
	out.mtx.Lock()
	defer out.mtx.Unlock()
	return out.text.Write(part)
}

func (out *output) String() string {
	out.mtx.Lock()
	defer out.mtx.Unlock()
	return out.text.String()
}

// Guards against a daemon that is killed by a signal, or ignores it, while it reads its settings
// for the first time. The settings come through a named pipe, so that the test knows when they are
// read.
func TestSignalsDuringStartup(t *testing.T) {
	program := filepath.Join(t.TempDir(), "amvnode")
	if text, err := exec.Command("go", "build", "-o", program, "amaranthvalve/cmd/amvnode").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, text)
	}
	for _, tst := range []struct {
		signal  syscall.Signal
		wantLog string
	}{{syscall.SIGHUP, `"why":"signal"`}, {syscall.SIGTERM, `"message":"planned shutdown"`}} {
		t.Run(tst.signal.String(), func(t *testing.T) {
			gom := gomega.NewWithT(t)
			list, err := ports.Free(4)
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			at := func(i int) string { return fmt.Sprintf("%s:%d", ports.Loopback, list[i]) }
			settings := fmt.Sprintf("dialect = \"platform\"\ncaller_addr = %q\nentries_addr = %q\nready_addr = %q\npeer_addr = %q\nzone = \"dc1\"\nplatform = \"http://127.0.0.1:9\"\nstop_ms = 1000\n",
				at(0), at(1), at(2), at(3))
			path := filepath.Join(t.TempDir(), "node.toml")
			gom.Expect(syscall.Mkfifo(path, 0o600)).To(gomega.Succeed())
			var out output
			cmd := exec.Command(program, "--config", path)
			cmd.Stdout, cmd.Stderr = &out, &out
			gom.Expect(cmd.Start()).To(gomega.Succeed())
			exited := make(chan error, 1)
			go func() { exited <- cmd.Wait() }()
			defer func() { _ = cmd.Process.Kill() }()
			// This blocks until the daemon opens the pipe for reading.
			pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			gom.Expect(cmd.Process.Signal(tst.signal)).To(gomega.Succeed())
			time.Sleep(50 * time.Millisecond)
			// A reload reads a regular file.
			gom.Expect(os.WriteFile(path+".file", []byte(settings), 0o600)).To(gomega.Succeed())
			gom.Expect(os.Rename(path+".file", path)).To(gomega.Succeed())
			_, err = pipe.WriteString(settings)
			gom.Expect(err).NotTo(gomega.HaveOccurred())
			gom.Expect(pipe.Close()).To(gomega.Succeed())
			gom.Eventually(out.String, 5*time.Second).Should(gomega.ContainSubstring(tst.wantLog))
			gom.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
			gom.Eventually(exited, 10*time.Second).Should(gomega.Receive(gomega.BeNil()), out.String())
		})
	}
}
