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

// pollInterval is the time between two checks of a condition in WaitFor.
const pollInterval = 10 * time.Millisecond

// Deployment is a small deployment of separate processes on free ports.
type Deployment struct {
	dir          string
	binDir       string
	resumeKey    string
	platformAddr string
	processes    []*Process
	client       *http.Client
}

// Process is a process that the deployment started.
type Process struct {
	name string
	cmd  *exec.Cmd
	addr string
	// opsAddr is the operators' address of an instance.
	opsAddr string
	log     *syncBuffer
	done    chan struct{}
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

// NewDeployment builds the programs into dir and starts a platform.
func NewDeployment(dir string, platformArgs ...string) (*Deployment, error) {
	dpl := &Deployment{dir: dir, binDir: filepath.Join(dir, "bin"), resumeKey: ident.NewID(), client: &http.Client{Timeout: 5 * time.Second}}
	out, err := exec.Command("go", "build", "-o", dpl.binDir+"/", "amaranthvalve/cmd/...").CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("build programs: %w: %s", err, out)
	}
	if out, err := exec.Command(filepath.Join(dpl.binDir, "amvstand"), "keys", dir).CombinedOutput(); err != nil {
		return nil, fmt.Errorf("create TLS keys: %w: %s", err, out)
	}
	plt, err := dpl.StartTestDouble("platform", append([]string{"platform", "--list-lag-ms", "500"}, platformArgs...)...)
	if err != nil {
		return nil, err
	}
	dpl.platformAddr = plt.addr
	return dpl, nil
}

func (dpl *Deployment) PlatformAddr() string { return dpl.platformAddr }

// StartTestDouble starts a test double and reads the address that it prints.
func (dpl *Deployment) StartTestDouble(name string, args ...string) (*Process, error) {
	prc, out, err := dpl.start(name, "amvstand", args...)
	if err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("%s: test double printed no address: %w", name, err)
	}
	prc.addr = strings.TrimPrefix(strings.TrimSpace(line), "listening on ")
	return prc, nil
}

// StartEndpoint starts an endpoint of a pool; kind is engine, pool or service.
func (dpl *Deployment) StartEndpoint(kind, id, pool string, args ...string) (*Process, error) {
	all := append([]string{kind, "--platform", "http://" + dpl.platformAddr, "--id", id, "--pool", pool}, args...)
	return dpl.StartTestDouble(id, all...)
}

// StartInstance starts an instance with default settings and the given lines added to them.
func (dpl *Deployment) StartInstance(name, zone string, lines ...string) (*Process, error) {
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
`, ports.Loopback, list[0], ports.Loopback, list[1], ports.Loopback, list[2], zone, dpl.platformAddr, dpl.resumeKey, strings.Join(lines, "\n"),
		filepath.Join(dpl.dir, "cert.pem"), filepath.Join(dpl.dir, "key.pem"), filepath.Join(dpl.dir, "ca.pem"))
	path := filepath.Join(dpl.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	prc, _, err := dpl.start(name, "amvnode", "--config", path)
	if err != nil {
		return nil, err
	}
	prc.addr, prc.opsAddr = fmt.Sprintf("%s:%d", ports.Loopback, list[0]), fmt.Sprintf("%s:%d", ports.Loopback, list[1])
	return prc, nil
}

func (dpl *Deployment) start(name, program string, args ...string) (*Process, *bufio.Reader, error) {
	prc := &Process{name: name, cmd: exec.Command(filepath.Join(dpl.binDir, program), args...), log: &syncBuffer{}, done: make(chan struct{})}
	prc.cmd.Stderr = prc.log
	out, err := prc.cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := prc.cmd.Start(); err != nil {
		return nil, nil, err
	}
	dpl.processes = append(dpl.processes, prc)
	go func() {
		_ = prc.cmd.Wait()
		close(prc.done)
	}()
	return prc, bufio.NewReader(out), nil
}

// RunAmv runs the amv command and returns its output and exit status.
func (dpl *Deployment) RunAmv(args ...string) (stdout, stderr string, status int) {
	var out, err bytes.Buffer
	cmd := exec.Command(filepath.Join(dpl.binDir, "amv"), args...)
	cmd.Stdout, cmd.Stderr = &out, &err
	_ = cmd.Run()
	return out.String(), err.String(), cmd.ProcessState.ExitCode()
}

// Close kills all started processes.
func (dpl *Deployment) Close() {
	for _, prc := range dpl.processes {
		prc.Kill()
	}
}

// Addr returns the address that a process serves: that of a test double, or the callers' address
// of an instance.
func (prc *Process) Addr() string { return prc.addr }

// OpsAddr returns the operators' address of an instance.
func (prc *Process) OpsAddr() string { return prc.opsAddr }

// Log returns what the process has written to its log.
func (prc *Process) Log() string {
	prc.log.mtx.Lock()
	defer prc.log.mtx.Unlock()
	return prc.log.buf.String()
}

// Kill kills a process and waits until it has ended.
func (prc *Process) Kill() {
	_ = prc.cmd.Process.Signal(syscall.SIGCONT)
	_ = prc.cmd.Process.Kill()
	<-prc.done
}

// Freeze suspends a process, unnoticed by the process itself, until Thaw.
func (prc *Process) Freeze() { _ = prc.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (prc *Process) Thaw() { _ = prc.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate signals a planned shutdown.
func (prc *Process) Terminate() { _ = prc.cmd.Process.Signal(syscall.SIGTERM) }

// Done returns a channel that is closed when the process has ended.
func (prc *Process) Done() <-chan struct{} { return prc.done }

// RSS returns the process's resident memory in kilobytes.
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

// SetFaults replaces the faults of a test double. The path is "/v1/faults", or "/v1/faults/list"
// for the platform's instance list.
func (dpl *Deployment) SetFaults(prc *Process, path string, flt stand.Faults) error {
	text, err := json.Marshal(flt)
	if err != nil {
		return err
	}
	res, err := dpl.client.Post("http://"+prc.addr+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// PlatformProcess returns the process of the platform.
func (dpl *Deployment) PlatformProcess() *Process { return dpl.processes[0] }

// Executions returns an endpoint's record of the requests that it ran.
func (dpl *Deployment) Executions(prc *Process) ([]stand.Execution, error) {
	var list []stand.Execution
	return list, dpl.get("http://"+prc.addr+"/v1/executions", &list)
}

// Status returns an instance's status.
func (dpl *Deployment) Status(prc *Process) (wire.Status, error) {
	var st wire.Status
	return st, dpl.get("http://"+prc.opsAddr+"/v1/status", &st)
}

// Ready reports whether an instance accepts new requests.
func (dpl *Deployment) Ready(prc *Process) bool {
	return dpl.get("http://"+prc.opsAddr+"/v1/ready", nil) == nil
}

func (dpl *Deployment) get(url string, val any) error {
	res, err := dpl.client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", url, res.StatusCode)
	}
	if val == nil {
		return nil
	}
	return json.NewDecoder(res.Body).Decode(val)
}

// WaitFor waits until a condition holds and reports whether it does within the timeout.
func WaitFor(timeout time.Duration, cond func() bool) bool {
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(pollInterval) {
		if cond() {
			return true
		}
	}
	return cond()
}

// writeDoc writes one of the demo's documents with a text replaced, and returns its path.
func writeDoc(dir, service, from, to string) string {
	text, err := os.ReadFile(filepath.Join("..", "demo", service+".toml"))
	if err != nil || !strings.Contains(string(text), from) {
		panic(fmt.Sprintf("document of service %s: cannot read it or find %q (error %v)", service, from, err))
	}
	path := filepath.Join(dir, service+".toml")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(string(text), from, to)), 0o600); err != nil {
		panic(err)
	}
	return path
}
