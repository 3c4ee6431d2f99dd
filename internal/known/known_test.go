package known

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// TestSpecsOfSuiteOnly guards against skipping specs that are not listed for the suite.
func TestSpecsOfSuiteOnly(t *testing.T) {
	gom := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "list.txt")
	list := "TestOne, go test ./one, fails\nTestTwo/when_it_stops, go test ./two, failed once\nTestTwoMore/part, go test ./three, fails\n"
	gom.Expect(os.WriteFile(path, []byte(list), 0o600)).To(gomega.Succeed())
	gom.Expect(Specs(path, "TestTwo")).To(gomega.Equal([]string{"when it stops$"}))
	gom.Expect(Specs(path, "TestOne")).To(gomega.BeEmpty())
	gom.Expect(Specs(filepath.Join(t.TempDir(), "none"), "TestTwo")).To(gomega.BeEmpty())
}
