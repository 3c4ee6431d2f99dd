package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the system with its process, started by the run line of the deploy file with the settings
// that its template gives.
type machine struct {
	name, zone string
	front      string
	directory  string
	ready      string
	control    string
	settings   string
	log        *os.File
	run        []string
	// cut is the partition of this machine from the store and all other machines.
	cut *cut

	mtx  sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Ports are taken from below those that the kernel gives to outgoing connections, each process from a block of its own.
const (
	firstPort  = 12000
	lastPort   = 30000
	portsBlock = 64
)

// freePorts returns ports of the loopback address that are free for TCP and UDP.
func freePorts(count int) ([]int, error) {
	var list []int
	begin := os.Getpid() * portsBlock % (lastPort - firstPort)
	for i := range lastPort - firstPort {
		if len(list) == count {
			return list, nil
		}
		port := firstPort + (begin+i)%(lastPort-firstPort)
		lsn, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = lsn.Close() }()
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			continue
		}
		_ = udp.Close()
		list = append(list, port)
	}
	return nil, fmt.Errorf("no %d free ports", count)
}

// runLine returns the words of the deploy file's run line.
func runLine() ([]string, string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	run := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	tpl := regexp.MustCompile(`(?m)^template = "([^"]+)"`).FindSubmatch(text)
	if run == nil || tpl == nil {
		return nil, "", fmt.Errorf("the deploy file has no run line or template")
	}
	return strings.Fields(string(run[1])), string(tpl[1]), nil
}

// fill fills in the placeholders of the template that the deploy file uses: values, values as JSON, and lists.
func fill(text string, fields map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{#(\w+)\}\}\{\{\.\|json\}\}\{\{,\}\}\{\{/(\w+)\}\}`)
	text = section.ReplaceAllStringFunc(text, func(part string) string {
		name := section.FindStringSubmatch(part)[1]
		var words []string
		list, _ := fields[name].([]string)
		for _, word := range list {
			words = append(words, asJSON(word))
		}
		return strings.Join(words, ",")
	})
	return regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`).ReplaceAllStringFunc(text, func(part string) string {
		name := strings.TrimSuffix(strings.Trim(part, "{}"), "|json")
		val, ok := fields[name]
		if !ok {
			panic("placeholder without a value: " + part)
		}
		if strings.Contains(part, "|json") {
			return asJSON(val)
		}
		return fmt.Sprint(val)
	})
}

func asJSON(val any) string {
	text, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// seedCount is the number of machines that the settings name as seeds.
const seedCount = 3

// deployment is the machines of the system and what stands around them.
type deployment struct {
	dir      string
	store    *store
	machines []*machine
}

// newDeployment writes the settings of machines in the given zones. Nothing is started.
func newDeployment(zones []string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	dep := &deployment{dir: dir, store: newStore()}
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(lsn, dep.store.handler()) }()
	run, template, err := runLine()
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	const perMachine = 5
	ports, err := freePorts(perMachine * len(zones))
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	byControl := map[string]*machine{}
	var seeds []string
	var proxies []*udpProxy
	for i, zone := range zones {
		own := ports[perMachine*i:]
		mch := &machine{
			name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, run: run, cut: &cut{},
			front: at(own[0]), directory: at(own[1]), ready: at(own[2]), control: at(own[3]),
		}
		byControl[mch.control] = mch
		pxy, err := newUDPProxy(mch.control, func(sender string) bool {
			oth := byControl[sender]
			return mch.cut.on.Load() || oth != nil && oth.cut.on.Load()
		})
		if err != nil {
			return nil, err
		}
		proxies = append(proxies, pxy)
		if len(seeds) < seedCount {
			seeds = append(seeds, pxy.addr())
		}
		dep.machines = append(dep.machines, mch)
	}
	for i, mch := range dep.machines {
		sto, err := newTCPProxy(lsn.Addr().String(), mch.cut)
		if err != nil {
			return nil, err
		}
		settings := fill(string(text), map[string]any{
			"bindAddrs.front": mch.front, "bindAddrs.directory": mch.directory, "bindAddrs.readyEndpoint": mch.ready, "bindAddrs.control": mch.control,
			"ip": "127.0.0.1", "zone": mch.zone, "platform.address": sto.addr(), "seedNodes": seeds, "limits.memoryMb": 284, "limits.cpuShare": 0.4,
			"policies":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
			"bounds.graceS": 8, "bounds.revokeMs": 5000, "bounds.budgetSlack": budgetSlack, "bounds.budgetWindowS": int(budgetWindow.Seconds()),
		})
		// All machines have one address here, so that each has a port of its own for its counters. The proxy before its link
		// is where the others reach it.
		settings = strings.ReplaceAll(settings, `"127.0.0.1:9464"`, asJSON(at(ports[perMachine*i+4])))
		settings += fmt.Sprintf("\npeer_advertise = %s\n", asJSON(proxies[i].addr()))
		mch.settings = filepath.Join(dir, mch.name+".toml")
		if err := os.WriteFile(mch.settings, []byte(settings), 0o600); err != nil {
			return nil, err
		}
		if mch.log, err = os.Create(filepath.Join(dir, mch.name+".log")); err != nil {
			return nil, err
		}
	}
	return dep, nil
}

// started has all processes that were started.
var started struct {
	mtx  sync.Mutex
	list []*exec.Cmd
}

// killAll ends all processes that were started.
func killAll() {
	started.mtx.Lock()
	defer started.mtx.Unlock()
	for _, cmd := range started.list {
		_ = cmd.Process.Kill()
	}
}

// start starts the machine's process.
func (mch *machine) start() error {
	mch.mtx.Lock()
	defer mch.mtx.Unlock()
	cmd := exec.Command(mch.run[0], mch.run[1:]...)
	cmd.Env = []string{"AMARANTHVALVE_BOOT=" + mch.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = mch.log, mch.log
	if err := cmd.Start(); err != nil {
		return err
	}
	started.mtx.Lock()
	started.list = append(started.list, cmd)
	started.mtx.Unlock()
	done := make(chan struct{})
	mch.cmd, mch.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the machine's process.
func (mch *machine) signal(sig syscall.Signal) {
	mch.mtx.Lock()
	defer mch.mtx.Unlock()
	if mch.cmd != nil {
		_ = mch.cmd.Process.Signal(sig)
	}
}

// kill ends the machine's process and waits for its end.
func (mch *machine) kill() {
	mch.signal(syscall.SIGKILL)
	mch.mtx.Lock()
	done := mch.done
	mch.mtx.Unlock()
	if done != nil {
		<-done
	}
}

// isReady asks the machine whether it is ready.
func (mch *machine) isReady() bool {
	cli := http.Client{Timeout: time.Second}
	res, err := cli.Get("http://" + mch.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startAll starts all machines and waits until they are ready. If one is not, as when another program has taken one of its
// ports, all are ended, and the deployment can't be used.
func (dep *deployment) startAll() error {
	for _, mch := range dep.machines {
		if err := mch.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(10 * time.Second)
	for _, mch := range dep.machines {
		for !mch.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", mch.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// directories returns the directories for the consumers of a zone, nearest first: the machines of the zone, then the others. The first
// few machines come last of their zone.
func (dep *deployment) directories(zone string, later int) []string {
	var near, far []string
	for i := range dep.machines {
		mch := dep.machines[(i+later)%len(dep.machines)]
		if mch.zone == zone {
			near = append(near, mch.directory)
		} else {
			far = append(far, mch.directory)
		}
	}
	return append(near, far...)
}

// close ends all processes and removes the files.
func (dep *deployment) close() {
	for _, mch := range dep.machines {
		mch.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dep.dir)
	}
}
