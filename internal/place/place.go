package place

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// nearDistance is the edit distance up to which a known key is offered in
// place of an unknown one.
const nearDistance = 3

// Fault is one thing that is wrong in a file.
type Fault struct {
	path    string
	line    int
	message string
	warning bool
}

// Path gives the key, such as "stage[1].pool"; empty when the text as a whole
// is at fault.
func (ft Fault) Path() string { return ft.path }

// Line gives the line, from 1; zero when it is not known.
func (ft Fault) Line() int { return ft.line }

// IsWarning tells that the file is legal but probably not what was meant.
func (ft Fault) IsWarning() bool { return ft.warning }

// String gives path, line and message, path first.
func (ft Fault) String() string {
	kind := ""
	if ft.warning {
		kind = "warning: "
	}
	switch {
	case ft.path == "" && ft.line == 0:
		return kind + ft.message
	case ft.line == 0:
		// A key that should be there and is not has no line.
		return fmt.Sprintf("%s: %s%s", ft.path, kind, ft.message)
	case ft.path == "":
		return fmt.Sprintf("line %d: %s%s", ft.line, kind, ft.message)
	default:
		return fmt.Sprintf("%s (line %d): %s%s", ft.path, ft.line, kind, ft.message)
	}
}

// Faults collects what is wrong with one file and knows the lines of its keys.
// The zero value is an empty list for a file without keys.
type Faults struct {
	list  []Fault
	lines map[string]int
}

// Add notes a fault at a path; its line is that of the nearest key at or above
// the path.
func (fts *Faults) Add(path, format string, args ...any) {
	fts.list = append(fts.list, Fault{path: path, line: fts.lineOf(path), message: fmt.Sprintf(format, args...)})
}

// Warn notes what is legal and probably wrong.
func (fts *Faults) Warn(path, format string, args ...any) {
	fts.Add(path, format, args...)
	fts.list[len(fts.list)-1].warning = true
}

// All gives faults and warnings in the order of their lines.
func (fts *Faults) All() []Fault {
	all := append([]Fault(nil), fts.list...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].line < all[j].line })
	return all
}

// Failed tells whether there is any fault that is not a warning.
func (fts *Faults) Failed() bool {
	for _, ft := range fts.list {
		if !ft.warning {
			return true
		}
	}
	return false
}

// Err gives all faults as one error, a line each, or nil; warnings are no
// error.
func (fts *Faults) Err() error {
	var lines []string
	for _, ft := range fts.All() {
		if !ft.warning {
			lines = append(lines, ft.String())
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return fmt.Errorf("%s", strings.Join(lines, "\n"))
}

// Has tells whether the file sets the key at path.
func (fts *Faults) Has(path string) bool {
	_, ok := fts.lines[path]
	return ok
}

func (fts *Faults) lineOf(path string) int {
	for path != "" {
		if line, ok := fts.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 0
}

// Decode reads text into target, a pointer to a struct with toml tags. When
// the returned list has failed, target is left as it was.
func Decode(text []byte, target any) *Faults {
	fts := &Faults{lines: map[string]int{}}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		fts.addSyntax(err)
		return fts
	}
	fts.readLines(text)
	fts.compare("", tree, reflect.TypeOf(target).Elem())
	if fts.Failed() {
		return fts
	}
	if err := toml.Unmarshal(text, target); err != nil {
		fts.addSyntax(err)
	}
	return fts
}

func (fts *Faults) addSyntax(err error) {
	ft := Fault{message: strings.TrimPrefix(err.Error(), "toml: ")}
	if de, ok := err.(*toml.DecodeError); ok {
		ft.line, _ = de.Position()
		ft.path = strings.Join(de.Key(), ".")
	}
	fts.list = append(fts.list, ft)
}

// readLines fills the lines of all keys from the syntax tree. The parser's own
// positions are counted from the start of the text for each key: a document of
// 1,100 workspaces took 0.3 s, on the control thread. So the ends of lines are
// found once.
func (fts *Faults) readLines(text []byte) {
	var ends []int
	for i, chr := range text {
		if chr == '\n' {
			ends = append(ends, i)
		}
	}
	psr := unstable.Parser{}
	psr.Reset(text)
	prefix := ""
	counts := map[string]int{}
	for psr.NextExpression() {
		node := psr.Expression()
		key, at := keyOf(node)
		line := 1 + sort.SearchInts(ends, at)
		switch node.Kind {
		case unstable.Table:
			prefix = inLastElement(key, counts)
			fts.lines[prefix] = line
		case unstable.ArrayTable:
			base := inLastElement(key, counts)
			prefix = fmt.Sprintf("%s[%d]", base, counts[base])
			counts[base]++
			fts.lines[prefix] = line
		case unstable.KeyValue:
			fts.lines[join(prefix, strings.Join(key, "."))] = line
		}
	}
}

// inLastElement turns a table header's key into a path: a part that names an
// array of tables stands for its last element so far.
func inLastElement(key []string, counts map[string]int) string {
	path := ""
	for i, part := range key {
		path = join(path, part)
		if n := counts[path]; n > 0 && i < len(key)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// keyOf gives a key's parts and its offset in the text.
func keyOf(node *unstable.Node) (key []string, at int) {
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if key == nil {
			at = int(part.Raw.Offset)
		}
		key = append(key, string(part.Data))
	}
	return key, at
}

// compare walks a parsed value and the Go type it is meant for.
func (fts *Faults) compare(path string, val any, typ reflect.Type) {
	switch typ.Kind() {
	case reflect.Pointer:
		fts.compare(path, val, typ.Elem())
	case reflect.Struct:
		table, ok := val.(map[string]any)
		if !ok {
			fts.Add(path, "expected a table, found %s", kindOf(val))
			return
		}
		fts.compareTable(path, table, typ)
	case reflect.Slice:
		items, ok := val.([]any)
		if !ok {
			fts.Add(path, "expected a list, found %s", kindOf(val))
			return
		}
		for i, item := range items {
			fts.compare(path+"["+strconv.Itoa(i)+"]", item, typ.Elem())
		}
	default:
		fts.compareScalar(path, val, typ)
	}
}

func (fts *Faults) compareTable(path string, table map[string]any, typ reflect.Type) {
	fields := map[string]reflect.Type{}
	for i := range typ.NumField() {
		if tag := typ.Field(i).Tag.Get("toml"); tag != "" {
			fields[tag] = typ.Field(i).Type
		}
	}
	for key, val := range table {
		field, ok := fields[key]
		if !ok {
			fts.Add(join(path, key), "unknown key%s", nearest(key, fields))
			continue
		}
		fts.compare(join(path, key), val, field)
	}
}

func (fts *Faults) compareScalar(path string, val any, typ reflect.Type) {
	switch typ.Kind() {
	case reflect.String:
		if _, ok := val.(string); !ok {
			fts.Add(path, "expected a string, found %s", kindOf(val))
		}
	case reflect.Bool:
		if _, ok := val.(bool); !ok {
			fts.Add(path, "expected true or false, found %s", kindOf(val))
		}
	case reflect.Float64:
		_, isFloat := val.(float64)
		_, isInt := val.(int64)
		if !isFloat && !isInt {
			fts.Add(path, "expected a number, found %s", kindOf(val))
		}
	default:
		if _, ok := val.(int64); !ok {
			fts.Add(path, "expected a whole number, found %s", kindOf(val))
		}
	}
}

func kindOf(val any) string {
	switch val := val.(type) {
	case string:
		return fmt.Sprintf("the string %q", val)
	case int64:
		return fmt.Sprintf("the number %d", val)
	case float64:
		return fmt.Sprintf("the number %g", val)
	case bool:
		return fmt.Sprintf("%t", val)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

func nearest(key string, fields map[string]reflect.Type) string {
	best, bestDist := "", nearDistance+1
	for known := range fields {
		dist := levenshtein.ComputeDistance(key, known)
		if dist < bestDist || dist == bestDist && known < best {
			best, bestDist = known, dist
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
