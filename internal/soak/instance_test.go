package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"amaranthvalve/internal/ports"
)

// instance is an address at which processes of the daemon run one after the other.
type instance struct {
	name         string
	settingsPath string
	// partitionPath is the file that describes the partition between the instance and all endpoints.
	partitionPath string
	callerAddr    string
	entriesAddr   string
	// Proxies between the instance and the store, the callers and the other instances.
	storeProxy *tcpProxy
	frontProxy *tcpProxy
	peerProxy  *udpProxy
	log        *logWriter
	// shutdownTimeout is its setting stop_ms.
	shutdownTimeout time.Duration

	mtx sync.Mutex
	cmd *exec.Cmd
	// incarnation is the number of processes started; up reports that the last one runs.
	incarnation int
	up          bool
	// endExpected reports that the soak itself ends the process.
	endExpected bool
	done        chan struct{}
	// disturbedUntil is until when a fault other than a planned shutdown affected it; shutdownAt
	// is when the process got the signal of a planned shutdown.
	disturbedUntil time.Time
	shutdownAt     time.Time
	// shutdowns has shutdownAt of all its processes, by incarnation.
	shutdowns map[int]time.Time
	// startedAt is when the last process was started.
	startedAt      time.Time
	unexpectedEnds []string
	// partitions counts the partitions from all endpoints in effect; partitionedUntil is until when
	// the last one was.
	partitions       int
	partitionedUntil time.Time
	// earlyHangups counts the processes that a reload ended before their first log line.
	earlyHangups int

	// settingsMtx is locked while the settings are corrupted, and while a process is started.
	settingsMtx sync.Mutex
}

// logWriter stores the output of the processes and collects lines that are not JSON.
type logWriter struct {
	mtx       sync.Mutex
	file      *os.File
	partial   []byte
	lineCount int
	invalid   []string
	// started reports that the current process has written something.
	started bool
}

// reset marks the start of another process.
func (lwr *logWriter) reset() {
	lwr.mtx.Lock()
	defer lwr.mtx.Unlock()
	lwr.started = false
}

// hasOutput reports whether the current process has written anything.
func (lwr *logWriter) hasOutput() bool {
	lwr.mtx.Lock()
	defer lwr.mtx.Unlock()
	return lwr.started
}

func (lwr *logWriter) Write(text []byte) (int, error) {
	lwr.mtx.Lock()
	defer lwr.mtx.Unlock()
	lwr.started = true
	_, _ = lwr.file.Write(text)
	lwr.partial = append(lwr.partial, text...)
	for {
		at := bytes.IndexByte(lwr.partial, '\n')
		if at < 0 {
			return len(text), nil
		}
		lwr.lineCount++
		if !json.Valid(lwr.partial[:at]) {
			lwr.invalid = append(lwr.invalid, string(lwr.partial[:at]))
		}
		lwr.partial = lwr.partial[at+1:]
	}
}

// Settings of the instances. The checks use the maximum view age for tokens and the shutdown timeout as well. Runs
// with answers of varied length draw the shutdown timeout and the entry TTL.
const (
	defaultTokenMaxViewAge = 2 * time.Second
	defaultShutdownTimeout = 6 * time.Second
	defaultEntryTTL        = 300 * time.Millisecond
)

func newInstance(dir, name, store string, list []int, prm runParams) (*instance, error) {
	upstream, err := newTCPProxy(store)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ports.Loopback, list[i]) }
	ins := &instance{
		name: name, callerAddr: at(0), entriesAddr: at(1), storeProxy: upstream, settingsPath: filepath.Join(dir, name+".toml"), partitionPath: filepath.Join(dir, name+".partition"),
		shutdownTimeout: prm.shutdownTimeout, shutdowns: map[int]time.Time{},
	}
	if ins.frontProxy, err = newTCPProxy(ins.callerAddr); err != nil {
		return nil, err
	}
	if ins.peerProxy, err = newUDPProxy(at(3)); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`dialect = "platform"
caller_addr = %q
entries_addr = %q
ready_addr = %q
peer_addr = %q
peer_advertise = %q
metrics_addr = %q
zone = "dc1"
platform = "http://%s"
keep_ms = %d
tokens_for_ms = %d
stop_ms = %d
memory_mb = 256
`, ins.callerAddr, ins.entriesAddr, at(2), at(3), ins.peerProxy.addr(), at(4), upstream.addr(), prm.entryTTL.Milliseconds(), prm.tokenMaxViewAge.Milliseconds(), prm.shutdownTimeout.Milliseconds())
	if err := os.WriteFile(ins.settingsPath, []byte(text), 0o600); err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(dir, name+".log"))
	ins.log = &logWriter{file: file}
	return ins, err
}

// settingsReadTime is the time after its start within which a process has certainly read its
// settings.
const settingsReadTime = time.Second

// corruptSettings writes an invalid settings file for a while and has it reloaded. It does
// nothing while a process may still read the settings for its start, as that would rightly end
// with an error.
func (ins *instance) corruptSettings(text []byte, span time.Duration) {
	ins.settingsMtx.Lock()
	defer ins.settingsMtx.Unlock()
	ins.mtx.Lock()
	starting := time.Since(ins.startedAt) < settingsReadTime
	ins.mtx.Unlock()
	if starting {
		return
	}
	_ = os.WriteFile(ins.settingsPath, append([]byte("nonsense = 1\n"), text...), 0o600)
	ins.signal(syscall.SIGHUP)
	time.Sleep(span)
	_ = os.WriteFile(ins.settingsPath, text, 0o600)
}

// start starts a process, unless one runs, with a valid settings file.
func (ins *instance) start(program string) error {
	ins.settingsMtx.Lock()
	defer ins.settingsMtx.Unlock()
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	if ins.up {
		return nil
	}
	cmd := exec.Command(program, "--config", ins.settingsPath)
	cmd.Env = append(os.Environ(), "AMV_SOAK_PARTITION="+ins.partitionPath)
	cmd.Stdout, cmd.Stderr = ins.log, ins.log
	ins.log.reset()
	if err := cmd.Start(); err != nil {
		return err
	}
	ins.cmd, ins.up, ins.endExpected, ins.shutdownAt, ins.startedAt = cmd, true, false, time.Time{}, time.Now()
	ins.incarnation++
	done := make(chan struct{})
	ins.done = done
	go ins.wait(cmd, done)
	return nil
}

func (ins *instance) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	ins.up = false
	switch {
	case ins.endExpected:
	case !ins.log.hasOutput() && err != nil && err.Error() == "signal: hangup":
		// A process cannot handle a signal before its handlers are installed; its first log line
		// shows that they are.
		ins.earlyHangups++
	default:
		ins.unexpectedEnds = append(ins.unexpectedEnds, fmt.Sprintf("process: %s ended without having been signalled to: %v", ins.name, err))
	}
	close(done)
}

// signal sends a signal to the running process, if any. Only processes that the soak started are
// ever signalled.
func (ins *instance) signal(sig syscall.Signal) {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	if !ins.up {
		return
	}
	switch sig {
	case syscall.SIGKILL:
		ins.endExpected, ins.disturbedUntil = true, time.Now()
		_ = ins.cmd.Process.Signal(syscall.SIGCONT)
	case syscall.SIGTERM:
		ins.endExpected = true
		if ins.shutdownAt.IsZero() {
			ins.shutdownAt = time.Now()
			ins.shutdowns[ins.incarnation] = ins.shutdownAt
		}
	case syscall.SIGSTOP, syscall.SIGCONT:
		ins.disturbedUntil = time.Now()
	}
	_ = ins.cmd.Process.Signal(sig)
}

// awaitEnd waits for the running process, if any, to end. After the timeout it calls onTimeout
// and kills the process.
func (ins *instance) awaitEnd(timeout time.Duration, onTimeout func()) {
	ins.mtx.Lock()
	done, up := ins.done, ins.up
	ins.mtx.Unlock()
	if !up {
		return
	}
	select {
	case <-done:
	case <-time.After(timeout):
		onTimeout()
		ins.signal(syscall.SIGKILL)
		<-done
	}
}

// ignoreTimeout is an onTimeout callback for ends that are not checked.
func ignoreTimeout() {}

// markDisturbed records that the instance's surroundings are disturbed until the given time.
func (ins *instance) markDisturbed(until time.Time) {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	ins.disturbedUntil = laterOf(ins.disturbedUntil, until)
}

func laterOf(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// steady reports whether the instance runs and was neither started nor disturbed within
// settleTime before the given time. A planned shutdown is not a disturbance.
func (ins *instance) steady(at time.Time) bool {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	return ins.up && at.Sub(ins.startedAt) > settleTime && at.Sub(ins.disturbedUntil) > settleTime
}

// undisturbed reports whether the instance was not disturbed from settleTime before the given
// time until now. Starts and ends of processes do not count.
func (ins *instance) undisturbed(at time.Time) bool {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	return at.Sub(ins.disturbedUntil) > settleTime
}

// processState returns the incarnation of the last process, whether it runs and whether a planned
// shutdown of it was signalled.
func (ins *instance) processState() (incarnation int, up, stopping bool) {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	return ins.incarnation, ins.up, !ins.shutdownAt.IsZero()
}

// shutdownTime returns when the planned shutdown of a process was signalled, zero if never.
func (ins *instance) shutdownTime(incarnation int) time.Time {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	return ins.shutdowns[incarnation]
}

func (ins *instance) close() {
	ins.signal(syscall.SIGKILL)
	ins.awaitEnd(time.Second, ignoreTimeout)
	ins.storeProxy.close()
	ins.frontProxy.close()
	ins.peerProxy.close()
	_ = ins.log.file.Close()
}
