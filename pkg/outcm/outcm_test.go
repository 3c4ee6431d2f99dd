package outcm

import (
	"fmt"
	"testing"
)

// TestNamesAreUnique: every reason has a unique name that can be parsed again, since
// counters and callers' programs rely on it.
func TestNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, rs := range Reasons() {
		back, err := ParseReason(rs.String())
		if err != nil || back != rs || seen[rs.String()] {
			t.Errorf("%d: %q reads back as %v (%v)", rs, rs, back, err)
		}
		seen[rs.String()] = true
	}
	if _, err := ParseOutcome("maybe"); err == nil {
		t.Error("ParseOutcome accepts an unknown outcome")
	}
}

func ExampleResult_QualifyRefusal() {
	res := Refuse(QueueFull, 200, "too many requests")
	fmt.Println(res.QualifyRefusal(true, false).Outcome(), "for a key that was never sent before")
	fmt.Println(res.QualifyRefusal(false, true).Outcome(), "for one that was looked up")
	fmt.Println(res.QualifyRefusal(false, false).Outcome(), "for any other")
	// Output:
	// not_run for a key that was never sent before
	// not_run for one that was looked up
	// unknown for any other
}
