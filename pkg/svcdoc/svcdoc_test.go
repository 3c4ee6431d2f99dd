package svcdoc

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/golden"
)

func TestMain(m *testing.M) { golden.Main(m) }

// TestFaults: all faults of a document are reported at once, each with path and line.
func TestFaults(t *testing.T) {
	golden.Run(t, "*.txtar", func(_ *testing.T, sections map[string]string) string {
		doc, fts := Parse([]byte(sections["input"]))
		var out strings.Builder
		for _, ft := range fts.All() {
			fmt.Fprintln(&out, ft)
		}
		fmt.Fprintf(&out, "accepted: %t\n", doc != nil)
		return out.String()
	})
}

// TestExamplesAreValid: every document in examples/ is accepted without a warning.
func TestExamplesAreValid(t *testing.T) {
	gom := gomega.NewWithT(t)
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", "*", "services", "*.toml"))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	gom.Expect(len(paths)).To(gomega.BeNumerically(">=", 10))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		doc, fts := Parse(text)
		gom.Expect(fts.All()).To(gomega.BeEmpty(), path)
		gom.Expect(doc.Name()+".toml").To(gomega.Equal(filepath.Base(path)), path)
	}
}

// TestParseArbitraryText: any text yields either a document or a list of faults.
func TestParseArbitraryText(t *testing.T) {
	good := "name = \"a\"\n[[stage]]\nkind = \"encode\"\npool = \"p\"\n[[workspace]]\nname = \"w\"\n"
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(good)
		for range rapid.IntRange(0, 8).Draw(t, "edits") {
			at := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
			raw[at] = rapid.Byte().Draw(t, "byte")
		}
		doc, fts := Parse(raw)
		if (doc == nil) != fts.HasErrors() {
			t.Fatalf("document %v, failed %t", doc, fts.HasErrors())
		}
	})
}

func ExampleParse() {
	_, fts := Parse([]byte("name = \"booking\"\npriorty = 3\n"))
	fmt.Println(fts.Err())
	// Output: priorty (line 2): unknown key, did you mean "priority"?
}

// TestReferencePage: the reference page has a row for every key of a document, and no other
// rows.
func TestReferencePage(t *testing.T) {
	gom := gomega.NewWithT(t)
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	_, table, _ := strings.Cut(string(text), "## 3. Documents")
	table, _, _ = strings.Cut(table, "## 4.")
	var rows, keys []string
	for line := range strings.Lines(table) {
		if rest, ok := strings.CutPrefix(line, "| `"); ok {
			key, _, _ := strings.Cut(rest, "`")
			rows = append(rows, key)
		}
	}
	typ := reflect.TypeOf(rawDoc{})
	for i := range typ.NumField() {
		name := typ.Field(i).Tag.Get("toml")
		if typ.Field(i).Type.Kind() != reflect.Slice {
			keys = append(keys, name)
			continue
		}
		elem := typ.Field(i).Type.Elem()
		for j := range elem.NumField() {
			keys = append(keys, name+"."+elem.Field(j).Tag.Get("toml"))
		}
	}
	gom.Expect(rows).To(gomega.ConsistOf(keys))
}
