package shell

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/early"
	"amaranthvalve/internal/entry"
	"amaranthvalve/internal/zlog"
	"amaranthvalve/platform"
)

// maxShutdownTime bounds a planned shutdown: the longest deadline of a document plus the longest
// entry TTL.
const maxShutdownTime = 25 * time.Minute

type nodeCmd struct {
	Config      string `help:"The settings file, see docs/OPERATIONS.md; by default the one that AMARANTHVALVE_BOOT names." env:"AMARANTHVALVE_BOOT" required:"" placeholder:"FILE"`
	CheckConfig bool   `help:"Check the settings and exit: 0 if they are valid, 1 with all faults if not."`

	signals early.Signals
	// dial opens connections to endpoints; nil for the usual way.
	dial dial.Func
}

const nodeAbout = `The daemon of every entry instance. Example: amvnode --config node.toml

SIGTERM and SIGINT start a planned shutdown; without dialect = "platform" a second one terminates the process at once. SIGHUP reloads the settings with dialect = "platform", and changes nothing without it. Signals that arrive during startup are handled after it.`

// RunNode runs the daemon until SIGTERM or SIGINT, which start a planned shutdown. SIGHUP makes an
// instance that serves a dialect reload its settings.
func RunNode(args []string, out, err io.Writer, sgs early.Signals) int {
	return run("amvnode", nodeAbout, &nodeCmd{signals: sgs}, args, out, err)
}

// RunNodeThrough is RunNode with another way of connecting to endpoints, for tests.
func RunNodeThrough(args []string, out, err io.Writer, sgs early.Signals, dlf dial.Func) int {
	return run("amvnode", nodeAbout, &nodeCmd{signals: sgs, dial: dlf}, args, out, err)
}

// Run runs the command.
func (cmd *nodeCmd) Run(con *console) error {
	if !cmd.CheckConfig {
		// This line tells operators and tests that signals are handled from now on.
		log := newLog(con.err, zerolog.LevelInfoValue)
		log.Info().Str("config", cmd.Config).Msg("starting")
	}
	set, err := readSettings(con, cmd.Config)
	if err != nil || cmd.CheckConfig {
		return err
	}
	if set.Dialect() == conf.DialectPlatform {
		return runRouted(con, cmd.Config, set, platform.Dialect(), cmd.signals, cmd.dial)
	}
	log := newLog(con.err, set.LogLevel())
	zlog.RedirectLibraries(log)
	nod, err := entry.New(set, entry.FileKeys(set), log)
	if err != nil {
		return err
	}
	nod.Start()
	sig := waitForStop(cmd.signals, func() { log.Warn().Msg("the settings are read only at startup, see docs/OPERATIONS.md") })
	log.Info().Str("signal", sig.String()).Msg("planned shutdown")
	ctx, cancel := context.WithTimeout(context.Background(), maxShutdownTime)
	defer cancel()
	go func() {
		<-cmd.signals.Stop
		log.Warn().Msg("second signal: terminating at once")
		os.Exit(exitFailed)
	}()
	nod.Stop(ctx)
	return nil
}

// waitForStop waits for a signal to stop and calls reload for each other signal.
func waitForStop(sgs early.Signals, reload func()) os.Signal {
	for {
		select {
		case sig := <-sgs.Stop:
			return sig
		case <-sgs.Reload:
			reload()
		}
	}
}

// readSettings reads the settings and prints all faults.
func readSettings(con *console, path string) (*conf.Settings, error) {
	set, fts, err := conf.Read(path)
	if err != nil {
		return nil, err
	}
	for _, ft := range fts.All() {
		con.errorf("%s: %s\n", path, ft)
	}
	if set == nil {
		return nil, errReported
	}
	return set, nil
}

func newLog(wrt io.Writer, level string) zerolog.Logger {
	lvl, err := zerolog.ParseLevel(level)
	if errors.Is(err, nil) {
		return zerolog.New(wrt).Level(lvl).With().Timestamp().Logger()
	}
	return zerolog.New(wrt).With().Timestamp().Logger()
}
