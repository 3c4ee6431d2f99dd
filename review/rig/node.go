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
	"syscall"
	"time"
)

// obj is a JSON object.
type obj = map[string]any

// topicOp and topicServers are the topics of the operator and of the engines.
const (
	topicOp      = "keyed.op"
	topicServers = "keyed.servers"
)

// stopWait is how long a process may take to end.
const stopWait = 10 * time.Second

// node is an instance of the system, a process of its own.
type node struct {
	name      string
	ip        string
	front     string
	directory string
	ready     string
	// store is the address of the store that the node is told.
	store string
	boot  string
	log   *os.File
	cmd   *exec.Cmd
	ended chan struct{}
}

// fleet is a deployment: the store, the nodes and their folder.
type fleet struct {
	net   string
	root  string
	dir   string
	store *store
	nodes []*node
	zones []string
	hosts int
}

// newFleet starts a store, and nodes over the zones in turn. The working directory is the repository's root.
func newFleet(count int, zones ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	flt := &fleet{net: fmt.Sprintf("127.%d.%d.", 64+pid/256%64, pid%256), root: root, dir: dir, zones: zones}
	flt.store = newStore(flt.ip())
	var seeds []string
	for i := range count {
		nod := &node{name: fmt.Sprintf("edge-%d", i+1), ip: flt.ip()}
		if err := flt.prepare(nod, zones[i%len(zones)], &seeds); err != nil {
			return nil, err
		}
		flt.nodes = append(flt.nodes, nod)
	}
	return flt, nil
}

// ip returns an address of the loopback network that nobody uses.
func (flt *fleet) ip() string {
	flt.hosts++
	return fmt.Sprintf("%s%d", flt.net, flt.hosts)
}

// freePort returns a port that is free at an IP, for both protocols.
func freePort(ip string) (string, error) {
	lsn, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = lsn.Close() }()
	return lsn.Addr().String(), nil
}

// prepare writes the settings of a node, from the template of the deploy file.
func (flt *fleet) prepare(nod *node, zone string, seeds *[]string) error {
	bind := map[string]string{}
	for _, name := range []string{"front", "readyEndpoint", "control", "directory"} {
		addr, err := freePort(nod.ip)
		if err != nil {
			return err
		}
		bind[name] = addr
	}
	if len(*seeds) < 3 {
		*seeds = append(*seeds, bind["control"])
	}
	storeAddr, err := flt.store.listen()
	if err != nil {
		return err
	}
	nod.store = storeAddr
	nod.front, nod.directory, nod.ready = bind["front"], bind["directory"], bind["readyEndpoint"]
	fields := obj{
		"ip": nod.ip, "zone": zone, "bindAddrs": bind, "seedNodes": *seeds,
		"platform": obj{"address": nod.store}, "limits": obj{"memoryMb": 284, "cpuShare": 0.4},
		"bounds":   obj{"graceS": 8, "revokeMs": 5000, "budgetSlack": 56, "budgetWindowS": 10},
		"policies": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
	}
	text, err := os.ReadFile(filepath.Join(flt.root, "deploy", "node.toml.in"))
	if err != nil {
		return err
	}
	nod.boot = filepath.Join(flt.dir, nod.name+".toml")
	return os.WriteFile(nod.boot, []byte(render(string(text), fields)), 0o600)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#(\w+)\}\}(.*?)\{\{/(\w+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template of settings: values, values as JSON, and sections over lists of texts.
func render(text string, fields obj) string {
	text = section.ReplaceAllStringFunc(text, func(found string) string {
		parts := section.FindStringSubmatch(found)
		list, _ := fields[parts[1]].([]string)
		var out strings.Builder
		for i, val := range list {
			item, _ := json.Marshal(val)
			one := strings.ReplaceAll(parts[2], "{{.|json}}", string(item))
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			out.WriteString(strings.ReplaceAll(one, "{{,}}", comma))
		}
		return out.String()
	})
	return placeholder.ReplaceAllStringFunc(text, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		var val any = fields
		for name := range strings.SplitSeq(parts[1], ".") {
			switch table := val.(type) {
			case obj:
				val = table[name]
			case map[string]string:
				val = table[name]
			}
		}
		if parts[2] == "" {
			return fmt.Sprint(val)
		}
		out, _ := json.Marshal(val)
		return string(out)
	})
}

// start starts a node's process with the command of the deploy file.
func (flt *fleet) start(nod *node) error {
	var err error
	if nod.log == nil {
		if nod.log, err = os.Create(filepath.Join(flt.dir, nod.name+".log")); err != nil {
			return err
		}
	}
	nod.cmd = exec.Command("target/amvnode")
	nod.cmd.Env = []string{"AMARANTHVALVE_BOOT=" + nod.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + flt.dir}
	nod.cmd.Stdout, nod.cmd.Stderr = nod.log, nod.log
	nod.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := nod.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	nod.ended = ended
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(ended)
	}(nod.cmd)
	return nil
}

// startAll starts all nodes and waits until each is ready.
func (flt *fleet) startAll() error {
	for _, nod := range flt.nodes {
		if err := flt.start(nod); err != nil {
			return err
		}
	}
	for _, nod := range flt.nodes {
		if !nod.await(15 * time.Second) {
			return fmt.Errorf("%s isn't ready", nod.name)
		}
	}
	return nil
}

// await waits until a node says that it is ready.
func (nod *node) await(span time.Duration) bool {
	cli := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := cli.Get("http://" + nod.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// signal sends a signal to a node's process.
func (nod *node) signal(sig syscall.Signal) { _ = nod.cmd.Process.Signal(sig) }

// close ends all processes and removes the folder; KEEP in the environment keeps it.
func (flt *fleet) close() {
	for _, nod := range flt.nodes {
		if nod.cmd == nil {
			continue
		}
		nod.signal(syscall.SIGKILL)
		select {
		case <-nod.ended:
		case <-time.After(stopWait):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(flt.dir)
	} else {
		fmt.Println("kept", flt.dir)
	}
}
