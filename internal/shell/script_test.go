package shell

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/early"
	"amaranthvalve/internal/entry"
	"amaranthvalve/internal/platf"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/wire"
	"amaranthvalve/internal/zlog"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

// TestMain makes the three programs available as commands in the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"amv":      func() { os.Exit(RunAmv(os.Args[1:], os.Stdout, os.Stderr)) },
		"amvnode":  func() { os.Exit(RunNode(os.Args[1:], os.Stdout, os.Stderr, early.Signals{})) },
		"amvstand": func() { os.Exit(RunStand(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs the command lines in scripts: help, faults in files, exit statuses and a session
// with one instance. AMV_UPDATE=1 rewrites the expected texts of "cmp".
func TestScripts(t *testing.T) {
	zlog.RedirectLibraries(zerolog.Nop())
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		UpdateScripts:       os.Getenv("AMV_UPDATE") != "",
		RequireExplicitExec: true,
		Setup:               startNode,
	})
}

// startNode starts a platform, a booking service and one standalone instance, and sets their
// addresses in the environment of the script.
func startNode(env *testscript.Env) error {
	plt, err := stand.Serve("127.0.0.1:0", stand.NewPlatform(clock.Clock{}, 3*clock.Day, 50).Handler())
	if err != nil {
		return err
	}
	ept, err := stand.Serve("127.0.0.1:0", stand.NewEndpoint("booking-1", 2, 4).Handler())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go stand.Register(ctx, "http://"+plt.Addr(), wire.Instance{ID: "booking-1", Addr: ept.Addr(), Pool: "booking", Zone: "dc1", State: wire.StateLive})
	// An instance that reads the list before the endpoint is in it reads it again a second later;
	// until then the script would find no endpoint.
	if err := waitListed(ctx, plt.Addr()); err != nil {
		cancel()
		return err
	}
	set, fts := conf.Parse([]byte(fmt.Sprintf("caller_addr = \"127.0.0.1:0\"\nops_addr = \"127.0.0.1:0\"\nzone = \"dc1\"\nplatform = \"http://%s\"\nresume_key_hex = %q\n", plt.Addr(), ident.NewID())))
	if set == nil {
		cancel()
		return fts.Err()
	}
	nod, err := entry.New(set, nil, zerolog.Nop())
	if err != nil {
		cancel()
		return err
	}
	nod.Start()
	env.Defer(func() {
		nod.Kill()
		cancel()
		ept.Close()
		plt.Close()
	})
	text, err := os.ReadFile(filepath.Join("..", "demo", "booking.toml"))
	if err != nil {
		return err
	}
	env.Setenv("AMV_OPS", nod.OpsAddr())
	env.Setenv("AMV_ENTRY", nod.CallerAddr())
	env.Setenv("USER", "anna")
	return os.WriteFile(filepath.Join(env.WorkDir, "booking.toml"), text, 0o600)
}

// waitListed waits until the platform lists an endpoint.
func waitListed(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	cli := platf.New("http://" + addr)
	for {
		list, err := cli.List(ctx)
		if err != nil || len(list) > 0 {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}
