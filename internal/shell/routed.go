package shell

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"amaranthvalve/internal/conf"
	"amaranthvalve/internal/dial"
	"amaranthvalve/internal/early"
	"amaranthvalve/internal/node"
	"amaranthvalve/internal/proto"
	"amaranthvalve/internal/zlog"
)

const (
	// memoryLimitShare is the share of the process's memory limit that is set as the soft limit of
	// the Go runtime, near which the garbage collector runs more often. The remainder is for
	// stacks, sockets and the C library.
	memoryLimitShare = 0.7
	// watchInterval is the interval at which the settings file is polled, because it may change
	// without a signal.
	watchInterval = 2 * time.Second
)

// runRouted runs an instance that serves a dialect until SIGTERM or SIGINT. It reloads its settings
// on SIGHUP and when the file has changed.
func runRouted(con *console, path string, set *conf.Settings, dia *proto.Dialect, sgs early.Signals, dlf dial.Func) error {
	lvl, err := zerolog.ParseLevel(set.LogLevel())
	if err != nil {
		lvl = zerolog.InfoLevel
	}
	log, _ := zlog.Open(con.out, lvl)
	zlog.RedirectLibraries(log)
	if limit := set.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit)))
	}
	nod, err := node.New(set, dia, log)
	if err != nil {
		return err
	}
	if dlf != nil {
		nod.SetDial(dlf)
	}
	nod.Start()
	wch := &watcher{path: path, log: log, apply: nod.Apply}
	wch.record()
	tkr := time.NewTicker(watchInterval)
	defer tkr.Stop()
	for {
		select {
		case sig := <-sgs.Stop:
			log.Info().Str("signal", sig.String()).Msg("planned shutdown")
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

// watcher reloads the settings when they have changed.
type watcher struct {
	path    string
	log     zerolog.Logger
	apply   func(set *conf.Settings)
	content string
}

// record stores the current content of the file.
func (wch *watcher) record() {
	text, err := os.ReadFile(wch.path)
	if err == nil {
		wch.content = string(text)
	}
}

func (wch *watcher) changed() bool {
	text, err := os.ReadFile(wch.path)
	return err == nil && string(text) != wch.content
}

// reload applies the new settings if they are valid and otherwise keeps those in force.
func (wch *watcher) reload(why string) {
	wch.record()
	set, fts, err := conf.Read(wch.path)
	if err != nil || set == nil {
		evt := wch.log.Error().Err(err)
		if fts != nil {
			evt = evt.AnErr("faults", fts.Err())
		}
		evt.Str("why", why).Msg("invalid settings, keeping those in force")
		return
	}
	wch.apply(set)
	wch.log.Info().Str("why", why).Msg("settings reloaded")
}
