package known

import (
	"bufio"
	"os"
	"regexp"
	"strings"
)

// Specs gives the patterns of a suite's specs that the list at a path has, in entries that
// begin with the suite's test, a slash and the spec's text with underscores for spaces. A list
// that can't be read has none: then all specs are run.
func Specs(path, suite string) []string {
	fil, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer func() { _ = fil.Close() }()
	var specs []string
	for scn := bufio.NewScanner(fil); scn.Scan(); {
		test, _, _ := strings.Cut(scn.Text(), ",")
		if text, ok := strings.CutPrefix(test, suite+"/"); ok {
			specs = append(specs, regexp.QuoteMeta(strings.ReplaceAll(text, "_", " "))+"$")
		}
	}
	return specs
}
