package proc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/ident"

	"amaranthvalve/internal/ports"
)

// poll is the time between two looks at a condition that is waited for.
const poll = 10 * time.Millisecond

// Bench is a small deployment of separate processes.
type Bench struct {
	dir      string
	bin      string
	key      string
	platform string
	started  []*Process
	client   *http.Client
}

// Process is one process that the bench started.
type Process struct {
	name string
	cmd  *exec.Cmd
	addr string
	// Ops is an instance's operators' address.
	ops  string
	log  *syncBuffer
	done chan struct{}
}

type syncBuffer struct {
	mtx sync.Mutex
	buf bytes.Buffer
}

func (sbf *syncBuffer) Write(text []byte) (int, error) {
	sbf.mtx.Lock()
	defer sbf.mtx.Unlock()
	return sbf.buf.Write(text)
}

// NewBench builds the programs into dir and starts a platform.
func NewBench(dir string, platformArgs ...string) (*Bench, error) {
	bch := &Bench{dir: dir, bin: filepath.Join(dir, "bin"), key: ident.NewID(), client: &http.Client{Timeout: 5 * time.Second}}
	out, err := exec.Command("go", "build", "-o", bch.bin+"/", "amaranthvalve/cmd/...").CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("build: %w: %s", err, out)
	}
	if out, err := exec.Command(filepath.Join(bch.bin, "amvstand"), "keys", dir).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("keys: %w: %s", err, out)
	}
	plt, err := bch.Stand("platform", append([]string{"platform", "--list-lag-ms", "500"}, platformArgs...)...)
	if err != nil {
		return nil, err
	}
	bch.platform = plt.addr
	return bch, nil
}

// Platform gives the platform's address.
func (bch *Bench) Platform() string { return bch.platform }

// Stand starts a stand-in and learns the address that it prints.
func (bch *Bench) Stand(name string, args ...string) (*Process, error) {
	prc, out, err := bch.start(name, "amvstand", args...)
	if err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("%s: no address: %w", name, err)
	}
	prc.addr = strings.TrimPrefix(strings.TrimSpace(line), "listening on ")
	return prc, nil
}

// Endpoint starts an endpoint of a pool; kind is engine, pool or service.
func (bch *Bench) Endpoint(kind, id, pool string, args ...string) (*Process, error) {
	all := append([]string{kind, "--platform", "http://" + bch.platform, "--id", id, "--pool", pool}, args...)
	return bch.Stand(id, all...)
}

// Node starts an instance. Its settings are the defaults with those lines
// added.
func (bch *Bench) Node(name, zone string, lines ...string) (*Process, error) {
	list, err := ports.Free(3)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`caller_addr = "%s:%d"
ops_addr = "%s:%d"
peer_addr = "%s:%d"
zone = %q
platform = "http://%s"
resume_key_hex = %q
%s
[tls]
cert = %q
key = %q
ca = %q
`, ports.Loopback, list[0], ports.Loopback, list[1], ports.Loopback, list[2], zone, bch.platform, bch.key, strings.Join(lines, "\n"),
		filepath.Join(bch.dir, "cert.pem"), filepath.Join(bch.dir, "key.pem"), filepath.Join(bch.dir, "ca.pem"))
	path := filepath.Join(bch.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	prc, _, err := bch.start(name, "amvnode", "--config", path)
	if err != nil {
		return nil, err
	}
	prc.addr, prc.ops = fmt.Sprintf("%s:%d", ports.Loopback, list[0]), fmt.Sprintf("%s:%d", ports.Loopback, list[1])
	return prc, nil
}

func (bch *Bench) start(name, program string, args ...string) (*Process, *bufio.Reader, error) {
	prc := &Process{name: name, cmd: exec.Command(filepath.Join(bch.bin, program), args...), log: &syncBuffer{}, done: make(chan struct{})}
	prc.cmd.Stderr = prc.log
	out, err := prc.cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := prc.cmd.Start(); err != nil {
		return nil, nil, err
	}
	bch.started = append(bch.started, prc)
	go func() {
		_ = prc.cmd.Wait()
		close(prc.done)
	}()
	return prc, bufio.NewReader(out), nil
}

// Amv runs the amv command and gives its output and exit status.
func (bch *Bench) Amv(args ...string) (stdout, stderr string, status int) {
	var out, err bytes.Buffer
	cmd := exec.Command(filepath.Join(bch.bin, "amv"), args...)
	cmd.Stdout, cmd.Stderr = &out, &err
	_ = cmd.Run()
	return out.String(), err.String(), cmd.ProcessState.ExitCode()
}

// Close kills everything that the bench started.
func (bch *Bench) Close() {
	for _, prc := range bch.started {
		prc.Kill()
	}
}

// Addr gives the address that a process serves: a stand-in's, or the callers'
// address of an instance.
func (prc *Process) Addr() string { return prc.addr }

// Ops gives an instance's operators' address.
func (prc *Process) Ops() string { return prc.ops }

// Log gives what the process has logged.
func (prc *Process) Log() string {
	prc.log.mtx.Lock()
	defer prc.log.mtx.Unlock()
	return prc.log.buf.String()
}

// Kill ends a process at once and waits for its end.
func (prc *Process) Kill() {
	_ = prc.cmd.Process.Signal(syscall.SIGCONT)
	_ = prc.cmd.Process.Kill()
	<-prc.done
}

// Freeze stops a process without its noticing; Thaw lets it go on.
func (prc *Process) Freeze() { _ = prc.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (prc *Process) Thaw() { _ = prc.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks a process for a planned stop.
func (prc *Process) Terminate() { _ = prc.cmd.Process.Signal(syscall.SIGTERM) }

// Ended is closed when the process has ended.
func (prc *Process) Ended() <-chan struct{} { return prc.done }

// RSS gives the process's resident memory in kilobytes.
func (prc *Process) RSS() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", prc.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb
		}
	}
	return 0
}

// Faults switches faults of a stand-in on and off; path is "/v1/faults", or
// "/v1/faults/list" for the platform's instance list.
func (bch *Bench) Faults(prc *Process, path string, flt stand.Faults) error {
	text, err := json.Marshal(flt)
	if err != nil {
		return err
	}
	res, err := bch.client.Post("http://"+prc.addr+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// PlatformProcess gives the platform's process.
func (bch *Bench) PlatformProcess() *Process { return bch.started[0] }

// Executions gives an endpoint's own record of what it ran.
func (bch *Bench) Executions(prc *Process) ([]stand.Execution, error) {
	var list []stand.Execution
	return list, bch.get("http://"+prc.addr+"/v1/executions", &list)
}

// Status gives an instance's status.
func (bch *Bench) Status(prc *Process) (wire.Status, error) {
	var st wire.Status
	return st, bch.get("http://"+prc.ops+"/v1/status", &st)
}

// Ready tells whether an instance takes new work.
func (bch *Bench) Ready(prc *Process) bool {
	return bch.get("http://"+prc.ops+"/v1/ready", nil) == nil
}

func (bch *Bench) get(url string, val any) error {
	res, err := bch.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, res.StatusCode)
	}
	if val == nil {
		return nil
	}
	return json.NewDecoder(res.Body).Decode(val)
}

// Until waits for a condition, at most for the given time.
func Until(most time.Duration, cond func() bool) bool {
	for began := time.Now(); time.Since(began) < most; time.Sleep(poll) {
		if cond() {
			return true
		}
	}
	return cond()
}

// writeDoc writes one of the demo's documents with a change and gives its path.
func writeDoc(dir, service, from, to string) string {
	text, err := os.ReadFile(filepath.Join("..", "demo", service+".toml"))
	if err != nil || !strings.Contains(string(text), from) {
		panic(fmt.Sprintf("%s: %q is not there (%v)", service, from, err))
	}
	path := filepath.Join(dir, service+".toml")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(string(text), from, to)), 0o600); err != nil {
		panic(err)
	}
	return path
}
