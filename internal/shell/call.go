package shell

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amaranthvalve/internal/caller"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/outcm"
)

type entriesCmd struct {
	callerFlags
	Service string `arg:"" help:"The service."`
}

// Run runs the command.
func (cmd *entriesCmd) Run(con *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Timeout)
	defer cancel()
	ent, err := caller.New(cmd.Node, "", "", cmd.Zone).Entries(ctx, cmd.Service)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return con.json(ent)
	}
	for _, one := range ent.Entries {
		con.printf("%s %s\n", one.Addr, one.Zone)
	}
	con.printf("keep for %d ms\n", ent.TTLMs)
	return nil
}

type callCmd struct {
	callerFlags
	Service   string        `arg:"" help:"The service."`
	Workspace string        `help:"The workspace that calls." required:""`
	Token     string        `help:"The workspace's token, where its document has one." env:"AMV_TOKEN"`
	Request   string        `help:"The kind of request; by default the document's first."`
	Input     string        `help:"The input of the first stage."`
	Key       string        `help:"The key of a non-idempotent request."`
	Expires   string        `help:"When the key expires: a duration such as 1h, or an instant such as 2030-01-02T15:04:05Z."`
	Ticket    bool          `help:"In an outage of the log: use a key bound to one instance, and print both before sending. To repeat the request, pass them as --key and --node."`
	First     bool          `help:"Assert that the key was never sent before, so that a refusal can report 'not run'."`
	Stream    bool          `help:"Write tokens as they arrive."`
	MaxTokens int           `help:"The maximum number of tokens to generate."`
	Deadline  time.Duration `help:"A deadline shorter than the document's."`
}

// Run runs the command.
func (cmd *callCmd) Run(con *console) error {
	sub := wire.Submit{
		Request: cmd.Request, Input: cmd.Input, Key: cmd.Key, First: cmd.First, Stream: cmd.Stream,
		MaxTokens: cmd.MaxTokens, DeadlineMs: clock.FromDuration(cmd.Deadline),
	}
	if cmd.Expires == "" && (cmd.Key != "" || cmd.Ticket) {
		return errors.New("--expires: required with --key or --ticket, such as 1h")
	}
	var err error
	if sub.ExpiresMs, err = parseExpiry(cmd.Expires); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Timeout)
	defer cancel()
	onToken := func(tok wire.Token) {
		if !cmd.JSON {
			con.printf("%s", tok.Text)
		}
	}
	cli := caller.New(cmd.Node, cmd.Workspace, cmd.Token, cmd.Zone)
	if !cmd.Ticket {
		return cmd.report(con, cli.Call(ctx, cmd.Service, sub, onToken))
	}
	key, addr, err := cli.Ticket(ctx, cmd.Service)
	if err != nil {
		return err
	}
	con.errorf("ticket: --key %s --node %s\n", key, addr)
	sub.Key, sub.First = key, true
	return cmd.report(con, cli.CallAt(ctx, addr, cmd.Service, sub, onToken))
}

func (cmd *callCmd) report(con *console, ans wire.Answer) error {
	done := ans.Outcome == outcm.Done.String()
	switch {
	case cmd.JSON:
		if err := con.json(ans); err != nil {
			return err
		}
	case done:
		con.printf("%s\n", ans.Output)
		con.errorf("outcome %s, reason %s\n", ans.Outcome, ans.Reason)
	default:
		con.errorf("outcome %s, reason %s: %s\n", ans.Outcome, ans.Reason, ans.Detail)
		if ans.RetryAfterMs > 0 {
			con.errorf("retry after %d ms\n", ans.RetryAfterMs)
		}
	}
	if !done {
		return errReported
	}
	return nil
}

// parseExpiry parses a duration from now or an instant.
func parseExpiry(text string) (clock.Milli, error) {
	if text == "" {
		return 0, nil
	}
	if span, err := time.ParseDuration(text); err == nil {
		return clock.Clock{}.Now() + clock.FromDuration(span), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fmt.Errorf("--expires: %q is neither a duration such as 1h nor an instant such as 2030-01-02T15:04:05Z", text)
	}
	return clock.Milli(at.UnixMilli()), nil
}
