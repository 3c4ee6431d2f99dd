package place

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures the choice among 18, 64 and 1,600 engines with four requests each, from
// the present number of engines to the one expected in two years.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 64, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			plc := newPlacer(n)
			for i := range 4 * n {
				plc.Begin(fmt.Sprintf("e%d", i%n), fmt.Sprint(i), prompt(fmt.Sprint(i%200)), 200, 0)
			}
			ask := Ask{Prompt: prompt("7"), MaxGap: 200}
			b.ReportAllocs()
			for b.Loop() {
				plc.Pick(ask, 1000)
			}
		})
	}
}
