// Package golden runs tests on golden files: txtar archives in testdata/ with the section
// "input", other sections that a test defines and the section "want".
//
// With AMV_UPDATE=1 in the environment, the sections "want" are overwritten with the actual
// results; the change is then reviewed as a diff.
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

// Run calls a function with the sections of each archive in testdata that matches pattern,
// and compares its result with the section "want".
func Run(t *testing.T, pattern string, run func(t *testing.T, sections map[string]string) string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", pattern))
	if err != nil || len(paths) == 0 {
		t.Fatalf("testdata/%s: no archives (%v)", pattern, err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		t.Run(name, func(t *testing.T) { runArchive(t, path, run) })
	}
}

func runArchive(t *testing.T, path string, run func(t *testing.T, sections map[string]string) string) {
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
		t.Errorf("%s: got\n%s\nwant\n%s\n(AMV_UPDATE=1 overwrites the golden file)", path, got, want)
		return
	}
	update(t, path, arc, got)
}

func update(t *testing.T, path string, arc *txtar.Archive, got string) {
	others := arc.Files[:0]
	for _, file := range arc.Files {
		if file.Name != wantSection {
			others = append(others, file)
		}
	}
	arc.Files = append(others, txtar.File{Name: wantSection, Data: []byte(got)})
	if err := os.WriteFile(path, txtar.Format(arc), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Fields splits a line of the form "verb key=value key=value" into the verb and the values by key.
func Fields(line string) (verb string, vals map[string]string) {
	parts := strings.Fields(line)
	vals = map[string]string{}
	for _, part := range parts[1:] {
		key, val, _ := strings.Cut(part, "=")
		vals[key] = val
	}
	return parts[0], vals
}

// Lines returns the lines of a section without empty lines and comments.
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

// defaultSeed is the seed of property tests unless AMV_FRESH is set.
const defaultSeed = "20261202"

// Main runs a package's tests with a fixed seed, so that every run has the same result.
// With AMV_FRESH=1 in the environment, the seeds are random.
func Main(m *testing.M) {
	flag.Parse()
	if os.Getenv("AMV_FRESH") == "" {
		// Flags of the property testing library. Setting them fails only if the
		// library is not linked in.
		_ = flag.Set("rapid.seed", defaultSeed)
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

// SkipUnlessMeasuring skips a test that only measures, unless AMV_MEASURE=1 is set in the environment.
func SkipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv("AMV_MEASURE") == "" {
		t.Skip("measures for docs/CAPACITY.md; set AMV_MEASURE=1 to run it")
	}
}

// HeapGrowth returns by how many bytes the reachable heap grows through build. The result of build
// is kept alive until the second measurement.
func HeapGrowth(build func() any) int64 {
	before := heapInUse()
	val := build()
	after := heapInUse()
	runtime.KeepAlive(val)
	return after - before
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var st runtime.MemStats
	runtime.ReadMemStats(&st)
	return int64(st.HeapAlloc)
}
