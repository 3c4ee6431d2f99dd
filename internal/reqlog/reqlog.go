// Package reqlog collects the log lines of one request from several instances, sorts
// them by time and formats them for display.
package reqlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const maxLineBytes = 1 << 20

// Line is a log line about a request.
type Line struct {
	at     time.Time
	fields map[string]any
}

// Sort sorts lines of several logs by time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(x, y Line) int { return x.at.Compare(y.at) })
}

// At returns the time stamp of the line.
func (lin Line) At() time.Time { return lin.at }

// Read returns the lines of a log that belong to the request with the ID id. Text
// before the JSON of a line, as some log collectors add it, is ignored.
func Read(rdr io.Reader, id string) ([]Line, error) {
	var lines []Line
	scn := bufio.NewScanner(rdr)
	scn.Buffer(nil, maxLineBytes)
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

func parseLine(text []byte) (Line, bool) {
	from := bytes.IndexByte(text, '{')
	if from < 0 {
		return Line{}, false
	}
	line := Line{}
	if json.Unmarshal(text[from:], &line.fields) != nil {
		return Line{}, false
	}
	stamp, _ := line.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	line.at = at
	return line, err == nil
}

// leadingFields are the fields that most lines have. They are shown first, in this
// order; the others follow, sorted by name.
var leadingFields = []string{"instance", "route", "workspace", "outcome", "reason", "detail"}

// omittedFields are not listed as fields: Format shows time and message by
// themselves, and level and request add nothing.
var omittedFields = []string{"time", "level", "message", "request"}

// Format formats the line for display, with the time elapsed since start.
func (lin Line) Format(start time.Time) string {
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, "%+d ms  %s:", lin.at.Sub(start).Milliseconds(), lin.fields["message"])
	names := slices.Clone(leadingFields)
	for name := range lin.fields {
		if !slices.Contains(names, name) && !slices.Contains(omittedFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names[len(leadingFields):])
	for _, name := range names {
		if val, ok := lin.fields[name]; ok && val != "" {
			_, _ = fmt.Fprintf(&out, " %s=%v", name, val)
		}
	}
	return out.String()
}
