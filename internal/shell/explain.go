package shell

import (
	"fmt"
	"os"

	"amaranthvalve/internal/reqlog"
)

type explainCmd struct {
	ID    string   `arg:"" help:"The request ID, as the caller sent it."`
	Files []string `arg:"" optional:"" help:"Logs of the instances; standard input if none is named." type:"existingfile"`
}

// Run runs the command.
func (cmd *explainCmd) Run(con *console) error {
	var lines []reqlog.Line
	if len(cmd.Files) == 0 {
		read, err := reqlog.Read(os.Stdin, cmd.ID)
		if err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
		lines = read
	}
	for _, name := range cmd.Files {
		read, err := readLines(name, cmd.ID)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no log line mentions request %q", cmd.ID)
	}
	reqlog.Sort(lines)
	for _, line := range lines {
		con.printf("%s\n", line.Format(lines[0].At()))
	}
	return nil
}

func readLines(name, id string) ([]reqlog.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	lines, err := reqlog.Read(file, id)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}
