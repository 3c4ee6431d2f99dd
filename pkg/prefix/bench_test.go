package prefix

import (
	"fmt"
	"testing"
)

// BenchmarkPick measures the choice among the engines of today and of two years from now.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{60, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bk := &Book{}
			var list []Engine
			for i := range n {
				list = append(list, Engine{ID: fmt.Sprintf("i-%010x", i*7919), Addr: "10.0.0.1:8000", Zone: "z", Places: 64})
			}
			bk.Sync(list)
			prm := Prompt{Parts: []Part{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 410}, {ID: "e4402b7d", Tokens: 250}}, In: 1460}
			b.ReportAllocs()
			for b.Loop() {
				bk.Pick(prm, "x", nil, 1000)
			}
		})
	}
}
