package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// testbed is what a case runs on.
type testbed struct {
	dir   string
	began time.Time
	// net is the first three bytes of the loopback addresses of the machines, basePort their first port.
	net      string
	basePort int

	mtx    sync.Mutex
	record *os.File
	nodes  []*node
	lsns   []net.Listener
}

func newTestbed(record string) (*testbed, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bed")
	if err != nil {
		return nil, err
	}
	return &testbed{
		dir: dir, began: time.Now(), record: file,
		net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}, nil
}

// note writes a line to the record.
func (bed *testbed) note(format string, args ...any) {
	bed.mtx.Lock()
	defer bed.mtx.Unlock()
	_, _ = fmt.Fprintf(bed.record, "%8.3f %s\n", time.Since(bed.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (bed *testbed) close() {
	for _, nod := range bed.nodes {
		nod.kill()
	}
	for _, lsn := range bed.lsns {
		_ = lsn.Close()
	}
	_ = os.RemoveAll(bed.dir)
	_ = bed.record.Close()
}

// listen opens a listener at a machine of its own.
func (bed *testbed) listen(host int) (net.Listener, error) {
	lsn, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", bed.net, host))
	if err == nil {
		bed.lsns = append(bed.lsns, lsn)
	}
	return lsn, err
}

// node is a machine of the system.
type node struct {
	bed *testbed
	ip  string
	cmd *exec.Cmd
	// front, ready and log are the addresses for consumers and for the readiness check, and the path of its log.
	front string
	ready string
	log   string
	// settings is the path of the settings.
	settings string
}

// Ports of a machine, the same on all as on the platform. They follow basePort, which is drawn until all are free.
const (
	portDirectory = iota
	portReady
	portFront
	portControl
	ports
)

// Hosts of the machines, and the port of their metrics, which the template names.
const (
	firstNodeHost = 11
	metricsPort   = 9464
	maxDraws      = 50
)

// drawPorts draws the addresses and ports of the machines until all are free.
func (bed *testbed) drawPorts(count int) error {
	for range maxDraws {
		bed.basePort = 18000 + rand.IntN(10000)
		if bed.arePortsFree(count) {
			return nil
		}
	}
	return fmt.Errorf("no free ports on %s.*", bed.net)
}

func (bed *testbed) arePortsFree(count int) bool {
	for i := range count {
		list := []int{metricsPort}
		for port := range ports {
			list = append(list, bed.basePort+port)
		}
		for _, port := range list {
			lsn, err := net.Listen("tcp", bed.addr(i, port))
			if err != nil {
				return false
			}
			_ = lsn.Close()
		}
		con, err := net.ListenPacket("udp", bed.addr(i, bed.basePort+portControl))
		if err != nil {
			return false
		}
		_ = con.Close()
	}
	return true
}

// addr returns an address of a machine.
func (bed *testbed) addr(index, port int) string {
	return fmt.Sprintf("%s.%d:%d", bed.net, firstNodeHost+index, port)
}

// startNodes starts machines with the template of the deploy file, and waits until all are ready.
func (bed *testbed) startNodes(count int, store string) error {
	template, err := os.ReadFile("deploy/node.toml.in")
	if err != nil {
		return err
	}
	if err := bed.drawPorts(count); err != nil {
		return err
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", bed.addr(i, bed.basePort+portControl)))
	}
	for i := range count {
		ip := fmt.Sprintf("%s.%d", bed.net, firstNodeHost+i)
		nod := &node{
			bed: bed, ip: ip, front: bed.addr(i, bed.basePort+portFront), ready: bed.addr(i, bed.basePort+portReady),
			log: filepath.Join(bed.dir, ip+".log"),
		}
		bed.nodes = append(bed.nodes, nod)
		path := filepath.Join(bed.dir, ip+".toml")
		nod.settings = path
		if err := os.WriteFile(path, []byte(render(string(template), nod, store, seeds, i)), 0o600); err != nil {
			return err
		}
		if err := nod.start(path); err != nil {
			return err
		}
	}
	return bed.waitReady()
}

// render fills in the template of the settings as the platform does.
func render(template string, nod *node, store string, seeds []string, index int) string {
	quoted := func(port int) string { return fmt.Sprintf("%q", fmt.Sprintf("%s:%d", nod.ip, nod.bed.basePort+port)) }
	policies := `"base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"`
	return strings.NewReplacer(
		"{{bindAddrs.front|json}}", quoted(portFront), "{{bindAddrs.directory|json}}", quoted(portDirectory),
		"{{bindAddrs.readyEndpoint|json}}", quoted(portReady), "{{bindAddrs.control|json}}", quoted(portControl),
		"{{ip}}", nod.ip, "{{zone|json}}", fmt.Sprintf("%q", zones[index%len(zones)]), "{{platform.address}}", store,
		"{{#seedNodes}}{{.|json}}{{,}}{{/seedNodes}}", strings.Join(seeds, ","), "{{limits.memoryMb}}", "284",
		"{{limits.cpuShare}}", "0.4", "{{bounds.graceS}}", "8", "{{#policies}}{{.|json}}{{,}}{{/policies}}", policies,
		"{{bounds.revokeMs}}", "5000", "{{bounds.budgetSlack}}", "56", "{{bounds.budgetWindowS}}", "10",
	).Replace(template)
}

// zones are the data centres.
var zones = []string{"hall-a", "hall-b", "hall-c"}

// start starts the process with the command of the deploy file.
func (nod *node) start(settings string) error {
	out, err := os.OpenFile(nod.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	nod.cmd = exec.Command("target/amvnode")
	nod.cmd.Env = []string{"AMARANTHVALVE_BOOT=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	nod.cmd.Stdout, nod.cmd.Stderr = out, out
	nod.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := nod.cmd.Start(); err != nil {
		return err
	}
	nod.bed.note("node %s starts, pid %d", nod.ip, nod.cmd.Process.Pid)
	return nil
}

// kill ends the process at once.
func (nod *node) kill() {
	if nod.cmd == nil || nod.cmd.Process == nil {
		return
	}
	_ = nod.cmd.Process.Kill()
	_ = nod.cmd.Wait()
	nod.cmd = nil
}

// waitReady waits until each machine says that it is ready.
func (bed *testbed) waitReady() error {
	until := time.Now().Add(20 * time.Second)
	for _, nod := range bed.nodes {
		for !nod.isReady() {
			if time.Now().After(until) {
				text, _ := os.ReadFile(nod.log)
				return fmt.Errorf("node %s isn't ready; its log: %.2000s", nod.ip, text)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	bed.note("all nodes are ready")
	return nil
}

func (nod *node) isReady() bool {
	ans := exchange(nod.ready, request{method: "GET", path: "/-/ready", host: nod.ready}, time.Second)
	return ans.status == 200
}
