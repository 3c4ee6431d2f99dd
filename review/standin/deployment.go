package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file, relative to the repository's root.
const program = "target/amvnode"

// template is the template of the deploy file.
const template = "deploy/node.toml.in"

// deployment is a small installation: a store, engines, and instances as processes.
type deployment struct {
	rec   *record
	sto   *store
	dir   string
	zones []string

	mtx     sync.Mutex
	nodes   []*instance
	stopped bool
	version int
}

// instance is one process of the system.
type instance struct {
	name, ip, zone string
	// store is the address of the store that the instance is told.
	store  string
	ports  [4]int
	config string
	cmd    *exec.Cmd
	exited chan struct{}
}

func newDeployment(rec *record) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	sto, err := newStore()
	if err != nil {
		return nil, err
	}
	return &deployment{rec: rec, sto: sto, dir: dir, zones: []string{"hall-a", "hall-b"}, version: 3}, nil
}

// stop ends all processes that the deployment started.
func (dep *deployment) stop() {
	dep.mtx.Lock()
	dep.stopped = true
	nodes := dep.nodes
	dep.mtx.Unlock()
	for _, nod := range nodes {
		nod.kill()
	}
	_ = dep.sto.srv.Close()
	_ = os.RemoveAll(dep.dir)
}

func (nod *instance) kill() {
	if nod.cmd != nil && nod.cmd.Process != nil {
		_ = nod.cmd.Process.Kill()
		<-nod.exited
	}
}

// front returns the address of an instance for consumers.
func (nod *instance) front() string { return fmt.Sprintf("%s:%d", nod.ip, nod.ports[0]) }

func (nod *instance) addr(i int) string { return fmt.Sprintf("%s:%d", nod.ip, nod.ports[i]) }

// start starts some instances and waits until they are ready.
func (dep *deployment) start(count int) error {
	base := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	var nodes []*instance
	for i := range count {
		nod := &instance{name: fmt.Sprintf("edge-%d", i+1), ip: base + fmt.Sprint(i+1), zone: dep.zones[i%len(dep.zones)]}
		if i == 0 {
			if err := choosePorts(nod); err != nil {
				return err
			}
		} else {
			// Ports are the same on all machines.
			nod.ports = nodes[0].ports
		}
		nodes = append(nodes, nod)
	}
	var seeds []string
	for _, nod := range nodes[:min(count, 3)] {
		seeds = append(seeds, nod.addr(3))
	}
	for _, nod := range nodes {
		addr, err := dep.sto.listenFor()
		if err != nil {
			return err
		}
		nod.store = addr
		if err := dep.configure(nod, seeds); err != nil {
			return err
		}
		if err := dep.launch(nod); err != nil {
			return err
		}
	}
	for _, nod := range nodes {
		if err := dep.waitReady(nod, 15*time.Second); err != nil {
			return err
		}
	}
	dep.rec.printf("%d instances are ready", count)
	return nil
}

// choosePorts finds free ports of an instance's address.
func choosePorts(nod *instance) error {
	for i := range nod.ports {
		lsn, err := net.Listen("tcp", nod.ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = lsn.Close() }()
		nod.ports[i] = lsn.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// configure writes the settings file of an instance from the template of the deploy file.
func (dep *deployment) configure(nod *instance, seeds []string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	zones := obj{}
	for _, zone := range dep.zones {
		zones[zone] = "qld-south"
	}
	fields := obj{
		"nodeName": nod.name, "role": "node", "instanceClass": "edge", "ip": nod.ip, "zone": nod.zone, "region": "qld-south", "zones": zones,
		"bindAddrs": obj{"front": nod.addr(0), "readyEndpoint": nod.addr(1), "directory": nod.addr(2), "control": nod.addr(3)},
		"seedNodes": seeds, "bootstrap": true, "heartbeatMs": 1200,
		"limits":   obj{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100},
		"policies": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
		"bounds": obj{
			"stableMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "ttl_max_s": 5,
		},
		"platform": obj{"address": nod.store, "form": "log"},
	}
	settings, err := render(string(text), fields)
	if err != nil {
		return err
	}
	nod.config = filepath.Join(dep.dir, nod.name+".toml")
	return os.WriteFile(nod.config, []byte(settings), 0o600)
}

var (
	sectionForm = regexp.MustCompile(`\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	valueForm   = regexp.MustCompile(`\{\{([A-Za-z_.]+)(\|json)?\}\}`)
)

// render fills in a template as DEPLOY.md tells: values, values as JSON, and sections over lists.
func render(text string, fields obj) (string, error) {
	text = sectionForm.ReplaceAllStringFunc(text, func(part string) string {
		found := sectionForm.FindStringSubmatch(part)
		list, _ := lookUp(fields, found[1]).([]string)
		var out []string
		for _, elem := range list {
			quoted, _ := json.Marshal(elem)
			one := strings.ReplaceAll(strings.ReplaceAll(found[2], "{{.|json}}", string(quoted)), "{{.}}", elem)
			out = append(out, strings.ReplaceAll(one, "{{,}}", ""))
		}
		return strings.Join(out, ",")
	})
	text = valueForm.ReplaceAllStringFunc(text, func(part string) string {
		found := valueForm.FindStringSubmatch(part)
		val := lookUp(fields, found[1])
		if found[2] != "" {
			quoted, _ := json.Marshal(val)
			return string(quoted)
		}
		return fmt.Sprint(val)
	})
	if strings.Contains(text, "{{") {
		return "", errors.New("the template has a form that is unknown here")
	}
	return text, nil
}

func lookUp(fields obj, path string) any {
	var val any = fields
	for name := range strings.SplitSeq(path, ".") {
		tbl, ok := val.(obj)
		if !ok {
			return nil
		}
		val = tbl[name]
	}
	return val
}

// launch starts the process of an instance.
func (dep *deployment) launch(nod *instance) error {
	log, err := os.OpenFile(filepath.Join(dep.dir, nod.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	nod.cmd = exec.Command(program)
	nod.cmd.Env = []string{"AMARANTHVALVE_BOOT=" + nod.config, "PATH=" + os.Getenv("PATH"), "HOME=" + dep.dir}
	nod.cmd.Stdout, nod.cmd.Stderr = log, log
	nod.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	dep.mtx.Lock()
	defer dep.mtx.Unlock()
	if dep.stopped {
		return errors.New("stopped")
	}
	if err := nod.cmd.Start(); err != nil {
		return err
	}
	nod.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(nod.cmd, nod.exited)
	if !slices.Contains(dep.nodes, nod) {
		dep.nodes = append(dep.nodes, nod)
	}
	dep.rec.printf("started %s %s in %s, pid %d", program, nod.name, nod.zone, nod.cmd.Process.Pid)
	return nil
}

// waitReady waits until an instance says that it is ready.
func (dep *deployment) waitReady(nod *instance, span time.Duration) error {
	cli := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		res, err := cli.Get("http://" + nod.addr(1) + "/-/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	text, _ := os.ReadFile(filepath.Join(dep.dir, nod.name+".log"))
	return fmt.Errorf("%s does not become ready: %.2000s", nod.name, text)
}

// resolve asks the directory of an instance for the addresses that consumers may use.
func (dep *deployment) resolve(ctx context.Context, host string, nod *instance) ([]string, error) {
	url := fmt.Sprintf("http://%s/-/resolve?name=%s&region=qld-south&zone=%s", nod.addr(2), host, nod.zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	var ans struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(res.Body).Decode(&ans); err != nil {
		return nil, err
	}
	return ans.Addresses, nil
}

// publish writes a manifest with a new version and returns it. The store's answer is the ack.
func (dep *deployment) publish(manifest obj) int {
	dep.version += 1 + rand.IntN(3)
	manifest["version"] = dep.version
	dep.sto.put(topicOperator, "config", manifest)
	dep.rec.printf("acknowledged manifest version %d", dep.version)
	return dep.version
}

// limits are the limits of the site file.
func limits() obj {
	return obj{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000}
}
