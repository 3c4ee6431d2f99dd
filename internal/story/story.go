// Package story puts what the instances' logs tell of one request in order.
package story

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

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log that tells of a request.
type Line struct {
	at     time.Time
	fields map[string]any
}

// Sort puts lines of several logs in order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(x, y Line) int { return x.at.Compare(y.at) })
}

// At gives the instant of the line.
func (line Line) At() time.Time { return line.at }

// Lines gives the lines of a log that tell of a request. What stands before a
// line's JSON, as some collectors of logs add it, is passed over.
func Lines(rdr io.Reader, id string) ([]Line, error) {
	var lines []Line
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

// shown first, in this order, are the fields that most lines have; the others
// follow by their names.
var shownFirst = []string{"instance", "route", "workspace", "outcome", "reason", "detail"}

// passedOver are the fields that the line itself stands for.
var passedOver = []string{"time", "level", "message", "request"}

// Text writes the line for a person, with the time since an instant.
func (line Line) Text(start time.Time) string {
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
