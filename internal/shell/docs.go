package shell

import (
	"context"
	"fmt"
	"os"
	"time"

	"amaranthvalve/internal/opers"
	"amaranthvalve/internal/wire"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/oplog"
	"amaranthvalve/pkg/svcdoc"
)

type docCmd struct {
	Check   docCheckCmd   `cmd:"" help:"Check a document file. Example: amv doc check booking.toml"`
	Publish docPublishCmd `cmd:"" help:"Publish a document and wait until it is in force everywhere. Example: amv doc publish booking.toml"`
	Show    docShowCmd    `cmd:"" help:"Show a service's document in force. Example: amv doc show booking"`
	History docHistoryCmd `cmd:"" help:"Show a service's last changes. Example: amv doc history booking"`
}

type docCheckCmd struct {
	File string `arg:"" help:"The document."`
}

// Run runs the command.
func (cmd *docCheckCmd) Run(con *console) error {
	doc, _, err := readDoc(con, cmd.File)
	if err != nil {
		return err
	}
	con.printf("%s: service %s, %d stages, no faults\n", cmd.File, doc.Name(), doc.Stages())
	return nil
}

// readDoc reads a document and prints all faults and warnings.
func readDoc(con *console, path string) (*svcdoc.Document, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	if len(text) > svcdoc.MaxBytes {
		return nil, nil, fmt.Errorf("%s: document of %d bytes exceeds the limit of %d bytes", path, len(text), svcdoc.MaxBytes)
	}
	doc, fts := svcdoc.Parse(text)
	for _, ft := range fts.All() {
		con.errorf("%s: %s\n", path, ft)
	}
	if doc == nil {
		return nil, nil, errReported
	}
	return doc, text, nil
}

type docPublishCmd struct {
	opsFlags
	File string        `arg:"" help:"The document."`
	Base int64         `help:"The revision that the change is based on; by default the one in force now. -1 means the default." default:"-1"`
	ID   string        `help:"Repeat an offer of unknown outcome, by its ID."`
	Wait time.Duration `help:"How long to wait until the document is in force everywhere." default:"30s"`
	By   string        `help:"Who makes the change." env:"USER"`
}

// Run runs the command.
func (cmd *docPublishCmd) Run(con *console) error {
	doc, text, err := readDoc(con, cmd.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Timeout)
	defer cancel()
	cli := opers.New(cmd.Node)
	base := cmd.Base
	if base < 0 {
		base = 0
		if cur, err := cli.Show(ctx, doc.Name()); err == nil {
			base = cur.Revision
		}
	}
	id := cmd.ID
	if id == "" {
		id = ident.NewID()
	}
	pub, err := cli.Publish(ctx, doc.Name(), wire.Publish{ID: id, Base: base, Text: string(text), By: cmd.By, WaitMs: clock.FromDuration(cmd.Wait)})
	if err != nil {
		return fmt.Errorf("%w; to learn the outcome of the offer, repeat it with --id %s --base %d", err, id, base)
	}
	return cmd.report(con, doc.Name(), id, base, pub)
}

func (cmd *docPublishCmd) report(con *console, service, id string, base int64, pub wire.Published) error {
	if cmd.JSON {
		if err := con.json(pub); err != nil {
			return err
		}
	} else {
		cmd.print(con, service, id, base, pub)
	}
	if pub.Verdict != oplog.Accepted.String() || !pub.InForce {
		return errReported
	}
	return nil
}

func (cmd *docPublishCmd) print(con *console, service, id string, base int64, pub wire.Published) {
	switch {
	case pub.Verdict == oplog.Undecided.String():
		con.errorf("%s: undecided: %s (--id %s --base %d)\n", service, pub.Detail, id, base)
	case pub.Verdict != oplog.Accepted.String():
		con.errorf("%s: %s: %s\n", service, pub.Verdict, pub.Detail)
	case !pub.InForce:
		con.errorf("%s: accepted as revision %d, not yet in force at %v\n", service, pub.Revision, pub.Behind)
	default:
		con.printf("%s: accepted as revision %d, in force everywhere after %d ms\n", service, pub.Revision, pub.TookMs)
	}
}

type docShowCmd struct {
	opsFlags
	Service string `arg:"" help:"The service."`
}

// Run runs the command.
func (cmd *docShowCmd) Run(con *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Timeout)
	defer cancel()
	doc, err := opers.New(cmd.Node).Show(ctx, cmd.Service)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return con.json(doc)
	}
	con.printf("# revision %d\n%s", doc.Revision, doc.Text)
	return nil
}

type docHistoryCmd struct {
	opsFlags
	Service string `arg:"" help:"The service."`
}

// Run runs the command.
func (cmd *docHistoryCmd) Run(con *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Timeout)
	defer cancel()
	list, err := opers.New(cmd.Node).History(ctx, cmd.Service)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return con.json(list)
	}
	con.printf("%-10s %-10s %-24s %-10s %s\n", "OFFSET", "BASE", "AT", "VERDICT", "BY")
	for _, chg := range list {
		con.printf("%-10d %-10d %-24s %-10s %s\n", chg.Offset, chg.Base, chg.AtMs.Time().Format(time.RFC3339), chg.Verdict, chg.By)
	}
	return nil
}
