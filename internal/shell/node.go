package shell

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/conf"
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
}

// RunNode runs the daemon until SIGTERM or SIGINT, which is a planned stop; a
// second signal ends the process at once.
func RunNode(args []string, out, err io.Writer) int {
	return run("amvnode", "The daemon of every entry instance. Example: amvnode --config node.toml", &nodeCmd{}, args, out, err)
}

// Run is the command.
func (cmd *nodeCmd) Run(con *console) error {
	set, err := readSettings(con, cmd.Config)
	if err != nil || cmd.CheckConfig {
		return err
	}
	if set.Dialect() == conf.DialectPlatform {
		return runRouted(con, cmd.Config, set, platform.Dialect())
	}
	log := newLog(con.err, set.LogLevel())
	zlog.To(log)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	nod, err := entry.New(set, entry.FileKeys(set), log)
	if err != nil {
		return err
	}
	nod.Start()
	sig := <-signals
	log.Info().Str("signal", sig.String()).Msg("planned stop")
	ctx, cancel := context.WithTimeout(context.Background(), stopAtMost)
	defer cancel()
	go func() {
		<-signals
		log.Warn().Msg("second signal: ending at once")
		os.Exit(exitFailed)
	}()
	nod.Stop(ctx)
	return nil
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
