package shell

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

type explainCmd struct {
	ID    string   `arg:"" help:"The request's name, as the caller sent it."`
	Files []string `arg:"" optional:"" help:"Logs of the instances; standard input if none is named." type:"existingfile"`
}

// logLine is one line of a log, as far as it tells of a request.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// Run is the command.
func (cmd *explainCmd) Run(con *console) error {
	var lines []logLine
	if len(cmd.Files) == 0 {
		read, err := linesOf(os.Stdin, cmd.ID)
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
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.at.Compare(y.at) })
	for _, line := range lines {
		con.printf("%s\n", line.text(lines[0].at))
	}
	return nil
}

func readLines(name, id string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	lines, err := linesOf(file, id)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return lines, nil
}

// linesOf gives the lines of a log that tell of a request. What stands before a
// line's JSON, as some collectors of logs add it, is passed over.
func linesOf(rdr io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scn := bufio.NewScanner(rdr)
	scn.Buffer(nil, maxLine)
	for scn.Scan() {
		if !bytes.Contains(scn.Bytes(), []byte(id)) {
			continue
		}
		if line, ok := parseLine(scn.Bytes()); ok && line.fields["request"] == id {
			lines = append(lines, line)
		}
	}
	return lines, scn.Err()
}

func parseLine(text []byte) (logLine, bool) {
	from := bytes.IndexByte(text, '{')
	if from < 0 {
		return logLine{}, false
	}
	line := logLine{}
	if json.Unmarshal(text[from:], &line.fields) != nil {
		return logLine{}, false
	}
	stamp, _ := line.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	line.at = at
	return line, err == nil
}

// shown first, in this order, are the fields that most lines have; the others
// follow by their names.
var shownFirst = []string{"instance", "route", "workspace", "outcome", "reason", "detail"}

// passedOver are the fields that the line itself stands for.
var passedOver = []string{"time", "level", "message", "request"}

func (line logLine) text(start time.Time) string {
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, "%+d ms  %s:", line.at.Sub(start).Milliseconds(), line.fields["message"])
	names := slices.Clone(shownFirst)
	for name := range line.fields {
		if !slices.Contains(names, name) && !slices.Contains(passedOver, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names[len(shownFirst):])
	for _, name := range names {
		if val, ok := line.fields[name]; ok && val != "" {
			_, _ = fmt.Fprintf(&out, " %s=%v", name, val)
		}
	}
	return out.String()
}
