package tomlx

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

// maxEditDistance is the largest Levenshtein distance at which a known key is
// suggested for an unknown one.
const maxEditDistance = 3

// Fault is an error or a warning about a file.
type Fault struct {
	path    string
	line    int
	message string
	warning bool
}

// Path returns the path of the key, such as "stage[1].pool". It is empty if the
// fault concerns the whole text.
func (ft Fault) Path() string { return ft.path }

// Line returns the line number, starting at 1, or zero if it is unknown.
func (ft Fault) Line() int { return ft.line }

// IsWarning reports whether the file is valid but probably not as intended.
func (ft Fault) IsWarning() bool { return ft.warning }

// String formats the fault as path, line and message.
func (ft Fault) String() string {
	kind := ""
	if ft.warning {
		kind = "warning: "
	}
	switch {
	case ft.path == "" && ft.line == 0:
		return kind + ft.message
	case ft.line == 0:
		// A missing key has no line.
		return fmt.Sprintf("%s: %s%s", ft.path, kind, ft.message)
	case ft.path == "":
		return fmt.Sprintf("line %d: %s%s", ft.line, kind, ft.message)
	default:
		return fmt.Sprintf("%s (line %d): %s%s", ft.path, ft.line, kind, ft.message)
	}
}

// Faults collects the faults of one file and holds the line numbers of its keys.
// The zero value is an empty list for a file without keys.
type Faults struct {
	list  []Fault
	lines map[string]int
}

// Add adds an error at a path. Its line is that of the key at the path or of its
// nearest ancestor in the file.
func (fts *Faults) Add(path, format string, args ...any) {
	fts.list = append(fts.list, Fault{path: path, line: fts.lineOf(path), message: fmt.Sprintf(format, args...)})
}

// Warn adds a warning at a path.
func (fts *Faults) Warn(path, format string, args ...any) {
	fts.Add(path, format, args...)
	fts.list[len(fts.list)-1].warning = true
}

// All returns errors and warnings, sorted by line.
func (fts *Faults) All() []Fault {
	all := append([]Fault(nil), fts.list...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].line < all[j].line })
	return all
}

// HasErrors reports whether there is an error, that is, a fault other than a warning.
func (fts *Faults) HasErrors() bool {
	for _, ft := range fts.list {
		if !ft.warning {
			return true
		}
	}
	return false
}

// Err returns all errors as one error with a line for each, or nil if there are
// none. Warnings are left out.
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

// IsSet reports whether the file sets the key at path.
func (fts *Faults) IsSet(path string) bool {
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

// Decode decodes text into target, a pointer to a struct with toml tags. If a key
// is unknown or a value has the wrong type, target is left unchanged.
func Decode(text []byte, target any) *Faults {
	fts := &Faults{lines: map[string]int{}}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		fts.addSyntaxError(err)
		return fts
	}
	fts.indexLines(text)
	fts.checkValue("", tree, reflect.TypeOf(target).Elem())
	if fts.HasErrors() {
		return fts
	}
	if err := toml.Unmarshal(text, target); err != nil {
		fts.addSyntaxError(err)
	}
	return fts
}

func (fts *Faults) addSyntaxError(err error) {
	ft := Fault{message: strings.TrimPrefix(err.Error(), "toml: ")}
	if de, ok := err.(*toml.DecodeError); ok {
		ft.line, _ = de.Position()
		ft.path = strings.Join(de.Key(), ".")
	}
	fts.list = append(fts.list, ft)
}

// indexLines records the line of each key from the syntax tree. It finds the line
// ends once and searches them, because the parser computes each position by
// counting from the start of the text: a document of 1,100 workspaces then took
// 0.3 s on the control loop.
func (fts *Faults) indexLines(text []byte) {
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
			prefix = resolveArrays(key, counts)
			fts.lines[prefix] = line
		case unstable.ArrayTable:
			base := resolveArrays(key, counts)
			prefix = fmt.Sprintf("%s[%d]", base, counts[base])
			counts[base]++
			fts.lines[prefix] = line
		case unstable.KeyValue:
			fts.lines[join(prefix, strings.Join(key, "."))] = line
		}
	}
}

// resolveArrays converts the key of a table header into a path. A part that names
// an array of tables refers to the array's last element so far.
func resolveArrays(key []string, counts map[string]int) string {
	path := ""
	for i, part := range key {
		path = join(path, part)
		if n := counts[path]; n > 0 && i < len(key)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// keyOf returns the parts of a key and its byte offset in the text.
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

// checkValue checks a parsed value recursively against the Go type of its target.
func (fts *Faults) checkValue(path string, val any, typ reflect.Type) {
	switch typ.Kind() {
	case reflect.Pointer:
		fts.checkValue(path, val, typ.Elem())
	case reflect.Struct:
		table, ok := val.(map[string]any)
		if !ok {
			fts.Add(path, "expected a table, found %s", describe(val))
			return
		}
		fts.checkTable(path, table, typ)
	case reflect.Slice:
		items, ok := val.([]any)
		if !ok {
			fts.Add(path, "expected a list, found %s", describe(val))
			return
		}
		for i, item := range items {
			fts.checkValue(path+"["+strconv.Itoa(i)+"]", item, typ.Elem())
		}
	default:
		fts.checkScalar(path, val, typ)
	}
}

func (fts *Faults) checkTable(path string, table map[string]any, typ reflect.Type) {
	fields := map[string]reflect.Type{}
	for i := range typ.NumField() {
		if tag := typ.Field(i).Tag.Get("toml"); tag != "" {
			fields[tag] = typ.Field(i).Type
		}
	}
	for key, val := range table {
		field, ok := fields[key]
		if !ok {
			fts.Add(join(path, key), "unknown key%s", suggestion(key, fields))
			continue
		}
		fts.checkValue(join(path, key), val, field)
	}
}

func (fts *Faults) checkScalar(path string, val any, typ reflect.Type) {
	switch typ.Kind() {
	case reflect.String:
		if _, ok := val.(string); !ok {
			fts.Add(path, "expected a string, found %s", describe(val))
		}
	case reflect.Bool:
		if _, ok := val.(bool); !ok {
			fts.Add(path, "expected true or false, found %s", describe(val))
		}
	case reflect.Float64:
		_, isFloat := val.(float64)
		_, isInt := val.(int64)
		if !isFloat && !isInt {
			fts.Add(path, "expected a number, found %s", describe(val))
		}
	default:
		if _, ok := val.(int64); !ok {
			fts.Add(path, "expected a whole number, found %s", describe(val))
		}
	}
}

func describe(val any) string {
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

func suggestion(key string, fields map[string]reflect.Type) string {
	best, bestDist := "", maxEditDistance+1
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
