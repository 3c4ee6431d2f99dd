// Package golden runs tests that are written down as data: txtar archives in
// testdata/ with the section "input" (and others that a test names) and the
// section "want".
//
// With AMV_UPDATE=1 in the environment the wanted sections are written anew from
// what the code gives; the change is then reviewed as a diff.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

const wantSection = "want"

// Run gives each archive of the folder's testdata that matches pattern to the
// function and compares what it returns with the wanted section.
func Run(t *testing.T, pattern string, run func(t *testing.T, sections map[string]string) string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", pattern))
	if err != nil || len(paths) == 0 {
		t.Fatalf("testdata/%s: no archives (%v)", pattern, err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		t.Run(name, func(t *testing.T) { one(t, path, run) })
	}
}

func one(t *testing.T, path string, run func(t *testing.T, sections map[string]string) string) {
	arc, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	sections := map[string]string{}
	for _, file := range arc.Files {
		sections[file.Name] = string(file.Data)
	}
	want := sections[wantSection]
	got := run(t, sections)
	if got == want {
		return
	}
	if os.Getenv("AMV_UPDATE") == "" {
		t.Errorf("%s: got\n%s\nwant\n%s\n(AMV_UPDATE=1 writes what it got)", path, got, want)
		return
	}
	update(t, path, arc, got)
}

func update(t *testing.T, path string, arc *txtar.Archive, got string) {
	kept := arc.Files[:0]
	for _, file := range arc.Files {
		if file.Name != wantSection {
			kept = append(kept, file)
		}
	}
	arc.Files = append(kept, txtar.File{Name: wantSection, Data: []byte(got)})
	if err := os.WriteFile(path, txtar.Format(arc), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Fields splits a line "verb key=value key=value" into its verb and its values.
func Fields(line string) (verb string, vals map[string]string) {
	parts := strings.Fields(line)
	vals = map[string]string{}
	for _, part := range parts[1:] {
		key, val, _ := strings.Cut(part, "=")
		vals[key] = val
	}
	return parts[0], vals
}

// Lines gives the lines of a section that are neither empty nor comments.
func Lines(section string) []string {
	var lines []string
	for line := range strings.Lines(section) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines
}

// seed is the seed of property tests unless fresh ones are asked for.
const seed = "20261202"

// Main runs a package's tests with fixed seeds, so that they give the same
// verdict on every run. AMV_FRESH=1 in the environment asks for fresh seeds.
func Main(m *testing.M) {
	flag.Parse()
	if os.Getenv("AMV_FRESH") == "" {
		// Flags of the property testing library; a failure to set them would
		// only mean that it is not linked in.
		_ = flag.Set("rapid.seed", seed)
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

// Measuring skips a test that only gives figures, unless they are asked for
// with AMV_MEASURE=1.
func Measuring(t *testing.T) {
	t.Helper()
	if os.Getenv("AMV_MEASURE") == "" {
		t.Skip("gives figures for docs/CAPACITY.md; AMV_MEASURE=1 asks for them")
	}
}

// HeapOf gives the bytes that are reachable after build and were not before it.
// What it returns is kept alive until the second look.
func HeapOf(build func() any) int64 {
	before := heap()
	val := build()
	after := heap()
	runtime.KeepAlive(val)
	return after - before
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var st runtime.MemStats
	runtime.ReadMemStats(&st)
	return int64(st.HeapAlloc)
}
