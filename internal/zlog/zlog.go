// Package zlog provides the project's log, which is rate-limited and never blocks, and
// redirects the logs of libraries to it. go-zero logs each HTTP call; these lines have level
// debug.
package zlog

import (
	"log"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
)

// At most errorBurst lines of level error from go-zero are written in each errorPeriod.
const (
	errorBurst  = 5
	errorPeriod = 30 * time.Second
)

// RedirectLibraries redirects the lines of go-zero and of Go's standard log to the project's logger and
// disables go-zero's statistics. It is called once per process, before any instance is created.
func RedirectLibraries(lgr zerolog.Logger) {
	// Libraries without a configured logger, such as quic-go, write to the standard log.
	// Their plain text would break programs that read the log as JSON.
	log.SetFlags(0)
	log.SetOutput(lgr.With().Str("from", "library").Logger())
	// rest.NewServer sets up go-zero's log unless that has been done in this process, and
	// would then replace our writer by its own.
	_ = logx.SetUp(logx.LogConf{Mode: "console", Stat: false})
	logx.DisableStat()
	stat.SetReporter(nil)
	// In an outage of the log service, httpc writes a line for each failed call, many per
	// second, although these calls are counted in the metrics.
	few := &zerolog.BurstSampler{Burst: errorBurst, Period: errorPeriod}
	logx.SetWriter(bridge{log: lgr.With().Str("from", "go-zero").Logger().Sample(&zerolog.LevelSampler{ErrorSampler: few})})
}

// bridge implements go-zero's log writer on top of zerolog.
type bridge struct {
	log zerolog.Logger
}

func (brg bridge) write(evt *zerolog.Event, val any, fields []logx.LogField) {
	for _, fld := range fields {
		evt = evt.Interface(fld.Key, fld.Value)
	}
	evt.Msgf("%v", val)
}

// Alert implements logx.Writer.
func (brg bridge) Alert(val any) { brg.write(brg.log.Error(), val, nil) }

// Close implements logx.Writer.
func (brg bridge) Close() error { return nil }

// Debug implements logx.Writer.
func (brg bridge) Debug(val any, fields ...logx.LogField) { brg.write(brg.log.Debug(), val, fields) }

// Error implements logx.Writer.
func (brg bridge) Error(val any, fields ...logx.LogField) { brg.write(brg.log.Error(), val, fields) }

// Info implements logx.Writer.
func (brg bridge) Info(val any, fields ...logx.LogField) { brg.write(brg.log.Debug(), val, fields) }

// Severe implements logx.Writer.
func (brg bridge) Severe(val any) { brg.write(brg.log.Error(), val, nil) }

// Slow implements logx.Writer.
func (brg bridge) Slow(val any, fields ...logx.LogField) { brg.write(brg.log.Warn(), val, fields) }

// Stack implements logx.Writer.
func (brg bridge) Stack(val any) { brg.write(brg.log.Error(), val, nil) }

// Stat implements logx.Writer.
func (brg bridge) Stat(val any, fields ...logx.LogField) { brg.write(brg.log.Debug(), val, fields) }
