package main

import (
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
	"strings"
	"sync"
	"time"
)

// node is one process of the system, started with the command and the template of the deploy file.
type node struct {
	name, zone, ip           string
	front, ready, ctl, direc string
	// store is the instance's own address of the platform's store, by which its calls are told from others'.
	store string
	// command is what starts the instance.
	command func() (*exec.Cmd, error)
	cmd     *exec.Cmd
}

// fleet is all that a case starts.
type fleet struct {
	dir   string
	store *store
	nodes []*node
	rec   *recorder

	mtx sync.Mutex
	// reader is the instance that read the list of engines last.
	reader *node
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z_.]+)(\|json)?\}\}`)

// render fills in the template of the settings as DEPLOY.md tells, as far as the template uses it.
func render(text string, fields map[string]any) string {
	text = regexp.MustCompile(`\{\{#([a-zA-Z]+)\}\}(.*?)\{\{/[a-zA-Z]+\}\}`).ReplaceAllStringFunc(text, func(part string) string {
		sub := regexp.MustCompile(`\{\{#([a-zA-Z]+)\}\}(.*?)\{\{/`).FindStringSubmatch(part)
		list, _ := fields[sub[1]].([]string)
		out := ""
		for i, val := range list {
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			quoted, _ := json.Marshal(val)
			one := strings.ReplaceAll(sub[2], "{{.|json}}", string(quoted))
			out += strings.ReplaceAll(one, "{{,}}", comma)
		}
		return out
	})
	return placeholder.ReplaceAllStringFunc(text, func(part string) string {
		sub := placeholder.FindStringSubmatch(part)
		var val any = fields
		for name := range strings.SplitSeq(sub[1], ".") {
			table, _ := val.(map[string]any)
			val = table[name]
		}
		if sub[2] != "" {
			quoted, _ := json.Marshal(val)
			return string(quoted)
		}
		if val == nil {
			return ""
		}
		return fmt.Sprint(val)
	})
}

// freeAddrs returns different addresses of an IP at which nothing listens, below the ports that the kernel gives out.
func freeAddrs(ip string, count int) []string {
	var list []string
	for port := 20000 + rand.IntN(9000); len(list) < count; port++ {
		addr := fmt.Sprintf("%s:%d", ip, port)
		lsn, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = lsn.Close()
		list = append(list, addr)
	}
	return list
}

// deployed reads the command and the template of the role from the deploy file.
func deployed() (run, template string, err error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		name, val, _ := strings.Cut(line, "=")
		val = strings.Trim(strings.TrimSpace(val), `"`)
		switch strings.TrimSpace(name) {
		case "run":
			run = val
		case "template":
			template = val
		}
	}
	if run == "" || template == "" {
		return "", "", errors.New("the deploy file names no command or no template")
	}
	return run, template, nil
}

// openStore opens an address of the store for an instance.
func (flt *fleet) openStore(nod *node) error {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	nod.store = lsn.Addr().String()
	handler := http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/-/log-newest" && req.URL.Query().Get("topic") == "keyed.servers" {
			flt.mtx.Lock()
			flt.reader = nod
			flt.mtx.Unlock()
		}
		flt.store.ServeHTTP(wrt, req)
	})
	go func() { _ = (&http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}).Serve(lsn) }()
	return nil
}

// lastReader returns the instance that read the list of engines last.
func (flt *fleet) lastReader() *node {
	flt.mtx.Lock()
	defer flt.mtx.Unlock()
	return flt.reader
}

// restart waits for the end of an instance that was told to stop, kills it after graceS and starts it again.
func (flt *fleet) restart(nod *node) {
	timer := time.AfterFunc(graceS*time.Second, func() { _ = nod.cmd.Process.Kill() })
	_ = nod.cmd.Wait()
	timer.Stop()
	cmd, err := nod.command()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		flt.rec.say("%s does not start: %v", nod.name, err)
		return
	}
	nod.cmd = cmd
}

// newFleet makes the store.
func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{dir: dir, store: newStore(), rec: rec}, nil
}

// start starts instances, one in each zone, and waits until all are ready.
func (flt *fleet) start(zones ...string) error {
	run, template, err := deployed()
	if err != nil {
		return err
	}
	form, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	net1, net2 := 64+rand.IntN(128), rand.IntN(250)
	var seeds []string
	for i, zone := range zones {
		nod := &node{name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", net1, net2, i+2)}
		addrs := freeAddrs(nod.ip, 4)
		nod.front, nod.ready, nod.ctl, nod.direc = addrs[0], addrs[1], addrs[2], addrs[3]
		if err := flt.openStore(nod); err != nil {
			return err
		}
		flt.nodes = append(flt.nodes, nod)
		seeds = append(seeds, nod.ctl)
	}
	for _, nod := range flt.nodes {
		text := render(string(form), map[string]any{
			"ip": nod.ip, "zone": nod.zone, "seedNodes": seeds[:min(len(seeds), 3)],
			"bindAddrs": map[string]any{"front": nod.front, "readyEndpoint": nod.ready, "control": nod.ctl, "directory": nod.direc},
			"platform":  map[string]any{"address": nod.store},
			"limits":    map[string]any{"memoryMb": 284, "cpuShare": 0.4},
			"policies":  []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
			"bounds":    map[string]any{"graceS": graceS, "revokeMs": revokeMs, "budgetSlack": 56, "budgetWindowS": 10},
		})
		path := filepath.Join(flt.dir, nod.name+".toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		words := strings.Fields(run)
		nod.command = func() (*exec.Cmd, error) {
			logs, err := os.OpenFile(filepath.Join(flt.dir, nod.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err != nil {
				return nil, err
			}
			cmd := exec.Command(words[0], words[1:]...)
			cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "AMARANTHVALVE_BOOT=" + path}
			cmd.Stdout, cmd.Stderr = logs, logs
			return cmd, nil
		}
		if nod.cmd, err = nod.command(); err != nil {
			return err
		}
		if err := nod.cmd.Start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, nod := range flt.nodes {
		for !isReady(nod) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", nod.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Stable: the members know each other, and the engines were read.
	time.Sleep(3 * time.Second)
	return nil
}

func isReady(nod *node) bool {
	cli := &http.Client{Timeout: time.Second}
	res, err := cli.Get("http://" + nod.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stop kills all processes that were started and removes the temporary folder.
func (flt *fleet) stop() {
	for _, nod := range flt.nodes {
		if nod.cmd != nil && nod.cmd.Process != nil {
			_ = nod.cmd.Process.Kill()
			_ = nod.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(flt.dir)
	}
}

// front returns the caller address of an instance, as the directory tells it.
func (flt *fleet) front(i int) string { return flt.nodes[i%len(flt.nodes)].front }
