package shell

import (
	"fmt"
	"os"

	"amaranthvalve/internal/story"
)

type explainCmd struct {
	ID    string   `arg:"" help:"The request's name, as the caller sent it."`
	Files []string `arg:"" optional:"" help:"Logs of the instances; standard input if none is named." type:"existingfile"`
}

// Run is the command.
func (cmd *explainCmd) Run(con *console) error {
	var lines []story.Line
	if len(cmd.Files) == 0 {
		read, err := story.Lines(os.Stdin, cmd.ID)
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
		return fmt.Errorf("no line tells of request %q", cmd.ID)
	}
	story.Sort(lines)
	for _, line := range lines {
		con.printf("%s\n", line.Text(lines[0].At()))
	}
	return nil
}

func readLines(name, id string) ([]story.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	lines, err := story.Lines(file, id)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}
