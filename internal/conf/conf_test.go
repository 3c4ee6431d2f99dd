package conf

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// keysOf lists the keys of a struct with toml tags, tables included.
func keysOf(prefix string, typ reflect.Type) []string {
	var keys []string
	for i := range typ.NumField() {
		name := prefix + typ.Field(i).Tag.Get("toml")
		if typ.Field(i).Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(name+".", typ.Field(i).Type)...)
			continue
		}
		keys = append(keys, name)
	}
	return keys
}

// TestReferencePage checks the table of settings in the operations page against
// the code: every key has a row, and every row names a key.
func TestReferencePage(t *testing.T) {
	gom := gomega.NewWithT(t)
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	gom.Expect(err).NotTo(gomega.HaveOccurred())
	_, table, _ := strings.Cut(string(text), "## 2. Settings")
	table, _, _ = strings.Cut(table, "## 3.")
	var rows []string
	for line := range strings.Lines(table) {
		if rest, ok := strings.CutPrefix(line, "| `"); ok {
			key, _, _ := strings.Cut(rest, "`")
			rows = append(rows, key)
		}
	}
	gom.Expect(rows).To(gomega.ConsistOf(keysOf("", reflect.TypeOf(raw{}))))
}

// TestExamplesAreRight checks that the settings in examples/ are valid except for
// the TLS files, which exist only on the operators' instances.
func TestExamplesAreRight(t *testing.T) {
	gom := gomega.NewWithT(t)
	paths, _ := filepath.Glob(filepath.Join("..", "..", "examples", "*", "node.toml"))
	gom.Expect(paths).To(gomega.HaveLen(3))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		gom.Expect(err).NotTo(gomega.HaveOccurred())
		_, fts := Parse(text)
		for _, ft := range fts.All() {
			if ft.IsWarning() {
				gom.Expect(path).To(gomega.ContainSubstring("local"), ft.String())
				continue
			}
			gom.Expect(ft.Path()).To(gomega.HavePrefix("tls."), ft.String())
		}
	}
}

// TestHedgeShareIsBounded guards against a share of extra work above what operators were promised, and against one that
// is not a number; the fault names its line.
func TestHedgeShareIsBounded(t *testing.T) {
	gom := gomega.NewWithT(t)
	const rest = "dialect = \"platform\"\ncaller_addr = \"127.0.0.1:1\"\nentries_addr = \"127.0.0.1:2\"\nready_addr = \"127.0.0.1:3\"\nzone = \"dc1\"\nplatform = \"http://127.0.0.1:4\"\n"
	set, fts := Parse([]byte(rest))
	gom.Expect(set).NotTo(gomega.BeNil(), "%v", fts)
	gom.Expect(set.HedgeShare()).To(gomega.BeZero())
	set, fts = Parse([]byte(rest + "hedge_share = 0.2"))
	gom.Expect(set).NotTo(gomega.BeNil(), "%v", fts)
	gom.Expect(set.HedgeShare()).To(gomega.Equal(0.2))
	for _, share := range []string{"0.21", "-0.1", "nan", "inf"} {
		set, fts = Parse([]byte(rest + "hedge_share = " + share))
		gom.Expect(set).To(gomega.BeNil(), share)
		gom.Expect(fts.All()).To(gomega.HaveLen(1), share)
		gom.Expect(fts.All()[0].Path()).To(gomega.Equal("hedge_share"))
		gom.Expect(fts.All()[0].String()).To(gomega.ContainSubstring("7"), "the line")
	}
}
