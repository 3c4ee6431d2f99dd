package mutant

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

const root = "../.."

// maxParallel is the maximum number of copies that are tested at once.
const maxParallel = 3

func TestSafeguardsAreNeeded(t *testing.T) {
	if os.Getenv("AMV_MUTANTS") == "" {
		t.Skip("takes minutes; set AMV_MUTANTS=1 to run it")
	}
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("testdata: no archives (%v)", err)
	}
	slots := make(chan struct{}, maxParallel)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			testMutant(t, path)
		})
	}
}

// TestArchivesFit checks that the text to replace occurs exactly once in the file that its
// archive names.
func TestArchivesFit(t *testing.T) {
	paths, _ := filepath.Glob("testdata/*.txtar")
	for _, path := range paths {
		mut := parseArchive(t, path)
		text, err := os.ReadFile(filepath.Join(root, mut["file"]))
		if err != nil || strings.Count(string(text), mut["old"]) != 1 {
			t.Errorf("%s: the text to replace occurs %d times in %s, not once (%v)", path, strings.Count(string(text), mut["old"]), mut["file"], err)
		}
	}
}

func parseArchive(t *testing.T, path string) map[string]string {
	arc, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	mut := map[string]string{}
	for _, file := range arc.Files {
		mut[file.Name] = strings.TrimSuffix(string(file.Data), "\n")
	}
	return mut
}

// testMutant removes one safeguard in a copy of the tree and expects its test to fail.
func testMutant(t *testing.T, path string) {
	mut := parseArchive(t, path)
	dir := t.TempDir()
	copyTree(t, dir)
	target := filepath.Join(dir, mut["file"])
	text, err := os.ReadFile(target)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), mut["old"], mut["new"], 1)
	if changed == string(text) {
		t.Fatalf("%s: the text to replace does not occur, or equals its replacement", mut["file"])
	}
	if err := os.WriteFile(target, []byte(changed), 0o644); err != nil {
		t.Fatal(err)
	}
	args := append([]string{"test", "-count=1", "-timeout", "5m"}, strings.Split(mut["test"], "\n")...)
	cmd := exec.Command("go", args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	switch {
	case err == nil:
		t.Errorf("the test passed without the safeguard")
	case strings.Contains(string(out), "[build failed]") || strings.Contains(string(out), "[setup failed]"):
		t.Errorf("the copy without the safeguard does not build:\n%s", out)
	default:
		t.Logf("the test failed without the safeguard, as expected")
	}
}

func copyTree(t *testing.T, dir string) {
	list := exec.Command("git", "ls-files", "-co", "--exclude-standard")
	list.Dir = root
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	for name := range strings.Lines(string(out)) {
		name = strings.TrimSuffix(name, "\n")
		text, err := os.ReadFile(filepath.Join(root, name))
		if err != nil {
			continue
		}
		if err := os.MkdirAll(filepath.Join(dir, filepath.Dir(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
