package known

import (
	"bufio"
	"os"
	"regexp"
	"strings"
)

// Specs returns patterns of the specs of a suite that the list at path names. Such an entry
// begins with the suite's test function, a slash and the spec's text with underscores for
// spaces. If the list can't be read, no specs are returned, so that all are run.
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
