package shell

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/early"
	"amaranthvalve/internal/node"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/zlog"
)

const (
	// memoryShare of what a process may use is where the garbage collector
	// begins to work harder; the rest is for stacks, sockets and the C library.
	memoryShare = 0.7
	// lookEvery is how often the settings file is looked at: it may change
	// without a signal.
	lookEvery = 2 * time.Second
)

// runRouted runs an instance that speaks a dialect until SIGTERM or SIGINT. Its
// settings are read again on SIGHUP and when the file has changed.
func runRouted(con *console, path string, set *conf.Settings, dia *proto.Dialect, sgs early.Signals) error {
	lvl, err := zerolog.ParseLevel(set.LogLevel())
	if err != nil {
		lvl = zerolog.InfoLevel
	}
	log, _ := zlog.Open(con.out, lvl)
	zlog.RedirectLibraries(log)
	if most := set.MemoryLimit(); most > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(most)))
	}
	nod, err := node.New(set, dia, log)
	if err != nil {
		return err
	}
	nod.Start()
	wch := &watcher{path: path, log: log, apply: nod.Apply}
	wch.note()
	tkr := time.NewTicker(lookEvery)
	defer tkr.Stop()
	for {
		select {
		case sig := <-sgs.Stop:
			log.Info().Str("signal", sig.String()).Msg("planned stop")
			ctx, cancel := context.WithTimeout(context.Background(), set.ShutdownTimeout().Duration())
			defer cancel()
			nod.Stop(ctx)
			return nil
		case <-sgs.Reload:
			wch.reload("signal")
		case <-tkr.C:
			if wch.changed() {
				wch.reload("file changed")
			}
		}
	}
}

// watcher reads the settings again when they have changed.
type watcher struct {
	path  string
	log   zerolog.Logger
	apply func(set *conf.Settings)
	text  string
}

// note remembers the file as it is.
func (wch *watcher) note() {
	text, err := os.ReadFile(wch.path)
	if err == nil {
		wch.text = string(text)
	}
}

func (wch *watcher) changed() bool {
	text, err := os.ReadFile(wch.path)
	return err == nil && string(text) != wch.text
}

// reload takes the new settings if they are right, and otherwise goes on with
// those in force.
func (wch *watcher) reload(why string) {
	wch.note()
	set, fts, err := conf.Read(wch.path)
	if err != nil || set == nil {
		evt := wch.log.Error().Err(err)
		if fts != nil {
			evt = evt.AnErr("faults", fts.Err())
		}
		evt.Str("why", why).Msg("the settings can't be used, the old ones stay")
		return
	}
	wch.apply(set)
	wch.log.Info().Str("why", why).Msg("settings read again")
}
