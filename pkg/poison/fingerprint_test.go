package poison

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func ExampleFingerprintOf() {
	once := FingerprintOf("desk.example", "/plans/7", "corella", []byte("draft"))
	again := FingerprintOf("Desk.Example", "/plans/7", "corella", []byte("draft"))
	other := FingerprintOf("desk.example", "/plans/7", "shiretoko", []byte("draft"))
	fmt.Println(once == again, once == other, len(once.String()))
	// Output: true false 32
}

// TestFingerprintsDiffer guards against requests of different callers, targets or bodies that
// share a fingerprint.
func TestFingerprintsDiffer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gom := gomega.NewWithT(t)
		parts := rapid.SliceOfN(rapid.StringMatching(`[a-c/]{0,3}`), 8, 8).Draw(rt, "parts")
		one := FingerprintOf(parts[0], parts[1], parts[2], []byte(parts[3]))
		two := FingerprintOf(parts[4], parts[5], parts[6], []byte(parts[7]))
		same := parts[0] == parts[4] && parts[1] == parts[5] && parts[2] == parts[6] && parts[3] == parts[7]
		gom.Expect(one == two).To(gomega.Equal(same))
	})
}

func BenchmarkMarkOf(bnc *testing.B) {
	for _, size := range []int{600, 18 << 10, 110 << 10, 4 << 20} {
		bnc.Run(fmt.Sprint(size), func(bnc *testing.B) {
			body := make([]byte, size)
			bnc.SetBytes(int64(size))
			for bnc.Loop() {
				FingerprintOf("desk.example", "/plans/7", "corella", body)
			}
		})
	}
}
