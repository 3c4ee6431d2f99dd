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

// instance is one place where a process of the daemon runs, and the next one after it.
type instance struct {
	name    string
	settled string
	calls   string
	entries string
	// store is its way to the store, front the callers' way to it, peers the other
	// instances'.
	store *wire
	front *wire
	peers *datagrams
	log   *lines
	// stop is its stop_ms.
	stop time.Duration

	mtx sync.Mutex
	cmd *exec.Cmd
	// life counts its processes; up tells that one runs.
	life int
	up   bool
	// wanted tells that the end of the process is our doing.
	wanted bool
	ended  chan struct{}
	// troubled is until when something was done to it, apart from planned stops;
	// leaving since when it was asked to stop.
	troubled time.Time
	leaving  time.Time
	// asked has the same of all its processes, by their number.
	asked map[int]time.Time
	// began is when the last process was started.
	began    time.Time
	byItself []string
	// unheard counts the processes that a reload ended before their first line.
	unheard int

	// settling is held while the settings are spoilt, and while a process is started.
	settling sync.Mutex
}

// lines keeps what a process wrote and counts lines that are no JSON.
type lines struct {
	mtx  sync.Mutex
	file *os.File
	rest []byte
	all  int
	bad  []string
	// begun tells that the present process has written something.
	begun bool
}

// begin notes that another process begins to write.
func (lns *lines) begin() {
	lns.mtx.Lock()
	defer lns.mtx.Unlock()
	lns.begun = false
}

// wrote tells whether the present process has written anything.
func (lns *lines) wrote() bool {
	lns.mtx.Lock()
	defer lns.mtx.Unlock()
	return lns.begun
}

func (lns *lines) Write(text []byte) (int, error) {
	lns.mtx.Lock()
	defer lns.mtx.Unlock()
	lns.begun = true
	_, _ = lns.file.Write(text)
	lns.rest = append(lns.rest, text...)
	for {
		at := bytes.IndexByte(lns.rest, '\n')
		if at < 0 {
			return len(text), nil
		}
		lns.all++
		if !json.Valid(lns.rest[:at]) {
			lns.bad = append(lns.bad, string(lns.rest[:at]))
		}
		lns.rest = lns.rest[at+1:]
	}
}

// settings of the instances under soak; tokensFor and the time of a stop are what is
// judged too. Runs with answers of varied length draw stop and keep.
const (
	tokensFor = 2 * time.Second
	stopIn    = 6 * time.Second
	keepFor   = 300 * time.Millisecond
)

func newInstance(dir, name, store string, list []int, trm terms) (*instance, error) {
	way, err := newWire(store)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ports.Loopback, list[i]) }
	ins := &instance{
		name: name, calls: at(0), entries: at(1), store: way, settled: filepath.Join(dir, name+".toml"),
		stop: trm.stop, asked: map[int]time.Time{},
	}
	if ins.front, err = newWire(ins.calls); err != nil {
		return nil, err
	}
	if ins.peers, err = newDatagrams(at(3)); err != nil {
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
`, ins.calls, ins.entries, at(2), at(3), ins.peers.addr(), at(4), way.addr(), trm.keep.Milliseconds(), tokensFor.Milliseconds(), trm.stop.Milliseconds())
	if err := os.WriteFile(ins.settled, []byte(text), 0o600); err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(dir, name+".log"))
	ins.log = &lines{file: file}
	return ins, err
}

// readsWithin is how long after its start a process has read its settings for certain.
const readsWithin = time.Second

// spoil writes faults into the settings for a moment, unless a process may be about to
// read them for its start: one that finds faults then ends with an error, as it should.
func (ins *instance) spoil(text []byte, span time.Duration) {
	ins.settling.Lock()
	defer ins.settling.Unlock()
	ins.mtx.Lock()
	starting := time.Since(ins.began) < readsWithin
	ins.mtx.Unlock()
	if starting {
		return
	}
	_ = os.WriteFile(ins.settled, append([]byte("nonsense = 1\n"), text...), 0o600)
	ins.signal(syscall.SIGHUP)
	time.Sleep(span)
	_ = os.WriteFile(ins.settled, text, 0o600)
}

// start starts a process, if none runs, with settings that are whole.
func (ins *instance) start(program string) error {
	ins.settling.Lock()
	defer ins.settling.Unlock()
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	if ins.up {
		return nil
	}
	cmd := exec.Command(program, "--config", ins.settled)
	cmd.Stdout, cmd.Stderr = ins.log, ins.log
	ins.log.begin()
	if err := cmd.Start(); err != nil {
		return err
	}
	ins.cmd, ins.up, ins.wanted, ins.leaving, ins.began = cmd, true, false, time.Time{}, time.Now()
	ins.life++
	ended := make(chan struct{})
	ins.ended = ended
	go ins.wait(cmd, ended)
	return nil
}

func (ins *instance) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	ins.up = false
	switch {
	case ins.wanted:
	case !ins.log.wrote() && err != nil && err.Error() == "signal: hangup":
		// No program can take a signal before it runs; its first line tells that it does.
		ins.unheard++
	default:
		ins.byItself = append(ins.byItself, fmt.Sprintf("%s ended by itself: %v", ins.name, err))
	}
	close(ended)
}

// signal sends a signal to the process that runs, if any. Only processes that the
// soak started are ever signalled.
func (ins *instance) signal(sig syscall.Signal) {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	if !ins.up {
		return
	}
	switch sig {
	case syscall.SIGKILL:
		ins.wanted, ins.troubled = true, time.Now()
		_ = ins.cmd.Process.Signal(syscall.SIGCONT)
	case syscall.SIGTERM:
		ins.wanted = true
		if ins.leaving.IsZero() {
			ins.leaving = time.Now()
			ins.asked[ins.life] = ins.leaving
		}
	case syscall.SIGSTOP, syscall.SIGCONT:
		ins.troubled = time.Now()
	}
	_ = ins.cmd.Process.Signal(sig)
}

// gone waits for the end of the process that runs, if any, or ends it; late is told before.
func (ins *instance) gone(within time.Duration, late func()) {
	ins.mtx.Lock()
	ended, up := ins.ended, ins.up
	ins.mtx.Unlock()
	if !up {
		return
	}
	select {
	case <-ended:
	case <-time.After(within):
		late()
		ins.signal(syscall.SIGKILL)
		<-ended
	}
}

// never is told of what nobody judges.
func never() {}

// trouble notes that something is done to the instance's surroundings until an instant.
func (ins *instance) trouble(until time.Time) {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	ins.troubled = later(ins.troubled, until)
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// calm tells whether nothing was done to the instance for a while before an instant;
// a planned stop counts as nothing.
func (ins *instance) calm(at time.Time) bool {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	return ins.up && at.Sub(ins.began) > settleFor && at.Sub(ins.troubled) > settleFor
}

// quiet tells that nothing was done from a while before an instant up to now, apart from
// the starts and ends of processes.
func (ins *instance) quiet(at time.Time) bool {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	return at.Sub(ins.troubled) > settleFor
}

// standing gives the number of the process and whether it was asked to stop.
func (ins *instance) standing() (life int, up, leaving bool) {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	return ins.life, ins.up, !ins.leaving.IsZero()
}

// askedAt gives when a process was asked to stop, zero if it wasn't.
func (ins *instance) askedAt(life int) time.Time {
	ins.mtx.Lock()
	defer ins.mtx.Unlock()
	return ins.asked[life]
}

func (ins *instance) close() {
	ins.signal(syscall.SIGKILL)
	ins.gone(time.Second, never)
	ins.store.close()
	ins.front.close()
	ins.peers.close()
	_ = ins.log.file.Close()
}
