// Package zlog is the project's log: bounded, never blocking, and joined by the lines of
// libraries. go-zero's log each HTTP call that they make; those come at level debug.
package zlog

import (
	"log"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/stat"
)

// errorBurst lines of level error are written in each errorPeriod at most.
const (
	errorBurst  = 5
	errorPeriod = 30 * time.Second
)

// To sends go-zero's own log lines and those of Go's standard log through the project's
// logger and switches go-zero's statistics off. It is called once a process, before any
// instance is made.
func To(lgr zerolog.Logger) {
	// Libraries that are given no log write to the standard one, quic-go among them;
	// their lines stood among ours as plain text, which nothing that reads JSON takes.
	log.SetFlags(0)
	log.SetOutput(lgr.With().Str("from", "library").Logger())
	// rest.NewServer sets go-zero's log up, once a process; had it not been
	// done before, it would put its own writer in the place of ours.
	_ = logx.SetUp(logx.LogConf{Mode: "console", Stat: false})
	logx.DisableStat()
	stat.SetReporter(nil)
	// In an outage of the log httpc writes a line for each failed call, many a
	// second, for what our own counters tell already.
	few := &zerolog.BurstSampler{Burst: errorBurst, Period: errorPeriod}
	logx.SetWriter(bridge{log: lgr.With().Str("from", "go-zero").Logger().Sample(&zerolog.LevelSampler{ErrorSampler: few})})
}

// bridge is go-zero's log writer onto zerolog.
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
