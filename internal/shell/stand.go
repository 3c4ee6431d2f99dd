package shell

import (
	"context"
	"io"
	"net/http"
	"os/signal"
	"syscall"

	"amaranthvalve/internal/demo"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/stand"
	"amaranthvalve/internal/trial"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
)

type standCmd struct {
	Platform platformCmd `cmd:"" help:"Run the platform: log service, instance list, weight store."`
	Engine   engineCmd   `cmd:"" help:"Run a model engine."`
	Pool     poolCmd     `cmd:"" help:"Run an endpoint of a stage pool: encoder, retriever, reranker."`
	Service  poolCmd     `cmd:"" help:"Run a plain service that records each execution."`
	Keys     keysCmd     `cmd:"" help:"Write ca.pem, cert.pem and key.pem for instances under test."`
	Trial    trialCmd    `cmd:"" help:"Compare the load decisions with simple baselines, in simulated time."`
	Demo     demoCmd     `cmd:"" help:"Run the whole path in one process and show it."`
}

type listenFlags struct {
	Listen string `help:"The address to listen on." default:"127.0.0.1:0" placeholder:"ADDR"`
}

type platformCmd struct {
	listenFlags
	RetentionMs int64 `help:"How long records are kept." default:"259200000"`
	ListLagMs   int64 `help:"How old the instance list may be." default:"1000"`
}

type enlistFlags struct {
	listenFlags
	Platform string `help:"The platform's address, such as http://127.0.0.1:7000." required:""`
	ID       string `help:"The name in the instance list." required:""`
	Pool     string `help:"The pool that the endpoint belongs to." required:""`
	Zone     string `help:"The data centre." default:"dc1"`
	StepMs   int64  `help:"Time of a request, or of a token." default:"5"`
	Parallel int    `help:"How many requests run at once." default:"16"`
}

type engineCmd struct {
	enlistFlags
	ChecksFencing bool `help:"Refuse orders with an old fencing number."`
}

type poolCmd struct{ enlistFlags }

type keysCmd struct {
	Dir string `arg:"" help:"The folder to write to." type:"existingdir"`
}

type trialCmd struct {
	Seed uint64 `help:"The seed of the random numbers." default:"1"`
}

// Run runs the command.
func (cmd *trialCmd) Run(con *console) error {
	con.printf("%s", trial.Table(cmd.Seed))
	return nil
}

type demoCmd struct{}

const standAbout = `Test doubles of the platform and of endpoints, and the demo. Example: amvstand demo

SIGTERM, SIGINT and SIGHUP stop a test double.`

// RunStand runs amvstand, which has the test doubles and the demo.
func RunStand(args []string, out, err io.Writer) int {
	return run("amvstand", standAbout, &standCmd{}, args, out, err)
}

// Run runs the command.
func (cmd *platformCmd) Run(con *console) error {
	plt := stand.NewPlatform(clock.Clock{}, clock.Milli(cmd.RetentionMs), clock.Milli(cmd.ListLagMs))
	return serveUntilSignal(con, cmd.Listen, plt.Handler(), nil)
}

// Run runs the command.
func (cmd *engineCmd) Run(con *console) error {
	ept := stand.NewEngine(cmd.ID, cmd.StepMs, cmd.Parallel)
	ept.CheckFencing(cmd.ChecksFencing)
	return cmd.serve(con, ept)
}

// Run runs the command.
func (cmd *poolCmd) Run(con *console) error {
	return cmd.serve(con, stand.NewEndpoint(cmd.ID, cmd.StepMs, cmd.Parallel))
}

func (flg *enlistFlags) serve(con *console, ept *stand.Endpoint) error {
	return serveUntilSignal(con, flg.Listen, ept.Handler(), func(ctx context.Context, addr string) {
		stand.Register(ctx, flg.Platform, wire.Instance{ID: flg.ID, Addr: addr, Pool: flg.Pool, Zone: flg.Zone, State: wire.StateLive})
	})
}

// serveUntilSignal serves until a signal arrives. It prints the address that it listens on, which
// the caller of the program does not know if the port was chosen by the system.
func serveUntilSignal(con *console, addr string, handler http.Handler, background func(context.Context, string)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	srv, err := stand.Serve(addr, handler)
	if err != nil {
		return err
	}
	defer srv.Close()
	con.printf("listening on %s\n", srv.Addr())
	if background != nil {
		go background(ctx, srv.Addr())
	}
	<-ctx.Done()
	return nil
}

// Run runs the command.
func (cmd *keysCmd) Run(*console) error {
	ath, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	return ath.WriteFiles(cmd.Dir)
}

// Run runs the command.
func (cmd *demoCmd) Run(con *console) error { return demo.Run(con.out) }
