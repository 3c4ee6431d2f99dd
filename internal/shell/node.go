package shell

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/early"
	"amaranthvalve/internal/entry"
	"amaranthvalve/internal/zlog"
	"amaranthvalve/platform"
)

// stopAtMost bounds a planned stop: the longest deadline of a document and the
// longest time that addresses are kept.
const stopAtMost = 25 * time.Minute

type nodeCmd struct {
	Config      string `help:"The settings file, see docs/OPERATIONS.md; by default the one that AMARANTHVALVE_BOOT names." env:"AMARANTHVALVE_BOOT" required:"" placeholder:"FILE"`
	CheckConfig bool   `help:"Check the settings and exit: 0 if they are right, 1 with all faults if not."`

	signals early.Signals
}

const nodeAbout = `The daemon of every entry instance. Example: amvnode --config node.toml

SIGTERM and SIGINT are a planned stop; without dialect = "platform" a second one ends the process at once. SIGHUP reads the settings again with dialect = "platform", and changes nothing without it. What comes while the daemon starts is acted on once it stands.`

// RunNode runs the daemon until SIGTERM or SIGINT, which is a planned stop. SIGHUP has an
// instance that speaks a dialect read its settings again.
func RunNode(args []string, out, err io.Writer, sgs early.Signals) int {
	return run("amvnode", nodeAbout, &nodeCmd{signals: sgs}, args, out, err)
}

// Run is the command.
func (cmd *nodeCmd) Run(con *console) error {
	if !cmd.CheckConfig {
		// Whoever sends signals sees by it that they are taken.
		log := newLog(con.err, zerolog.LevelInfoValue)
		log.Info().Str("config", cmd.Config).Msg("starting")
	}
	set, err := readSettings(con, cmd.Config)
	if err != nil || cmd.CheckConfig {
		return err
	}
	if set.Dialect() == conf.DialectPlatform {
		return runRouted(con, cmd.Config, set, platform.Dialect(), cmd.signals)
	}
	log := newLog(con.err, set.LogLevel())
	zlog.RedirectLibraries(log)
	nod, err := entry.New(set, entry.FileKeys(set), log)
	if err != nil {
		return err
	}
	nod.Start()
	sig := untilStop(cmd.signals, func() { log.Warn().Msg("the settings are read at the start alone, see docs/OPERATIONS.md") })
	log.Info().Str("signal", sig.String()).Msg("planned stop")
	ctx, cancel := context.WithTimeout(context.Background(), stopAtMost)
	defer cancel()
	go func() {
		<-cmd.signals.Stop
		log.Warn().Msg("second signal: ending at once")
		os.Exit(exitFailed)
	}()
	nod.Stop(ctx)
	return nil
}

// untilStop waits for a signal to stop; reload is told of each other one.
func untilStop(sgs early.Signals, reload func()) os.Signal {
	for {
		select {
		case sig := <-sgs.Stop:
			return sig
		case <-sgs.Reload:
			reload()
		}
	}
}

// readSettings reads the settings and tells all faults at once.
func readSettings(con *console, path string) (*conf.Settings, error) {
	set, fts, err := conf.Read(path)
	if err != nil {
		return nil, err
	}
	for _, ft := range fts.All() {
		con.complain("%s: %s\n", path, ft)
	}
	if set == nil {
		return nil, errSaid
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
