package shell

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"amaranthvalve/internal/zlog"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// errReported is returned by a command that has already printed what went wrong.
var errReported = errors.New("said")

// console holds the writers for the output and the messages of a command.
type console struct {
	out io.Writer
	err io.Writer
}

func (con *console) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(con.out, format, args...)
}

func (con *console) errorf(format string, args ...any) {
	_, _ = fmt.Fprintf(con.err, format, args...)
}

// json writes a value as JSON.
func (con *console) json(val any) error {
	enc := json.NewEncoder(con.out)
	enc.SetIndent("", "  ")
	return enc.Encode(val)
}

// run parses the arguments by a kong grammar and runs the selected command.
func run(name, about string, grammar any, args []string, out, err io.Writer) int {
	con := &console{out: out, err: err}
	zlog.RedirectLibraries(zerolog.Nop())
	exited := -1
	psr, bad := kong.New(grammar,
		kong.Name(name), kong.Description(about), kong.Writers(out, err), kong.UsageOnError(),
		kong.Exit(func(status int) { exited = status }), kong.Bind(con),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if bad != nil {
		con.errorf("%s: %v\n", name, bad)
		return exitUsage
	}
	kctx, bad := psr.Parse(args)
	if exited >= 0 {
		return exited
	}
	if bad != nil {
		con.errorf("%s: %v; see %s --help\n", name, bad, name)
		return exitUsage
	}
	if bad := kctx.Run(con); bad != nil {
		if !errors.Is(bad, errReported) {
			con.errorf("%s: %v\n", name, bad)
		}
		return exitFailed
	}
	return exitDone
}
