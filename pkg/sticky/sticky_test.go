package sticky

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func ExampleTable() {
	var tbl Table
	stream := KeyOf("corella", "9c41d07be2a35f68")
	tbl.Add(Binding{Key: stream, Build: "v1.1"}, 0)
	fmt.Println(tbl.Find(stream, clock.Second))
	tbl.Add(Binding{Key: stream, Build: "v1.2"}, clock.Second)
	fmt.Println(tbl.Find(stream, clock.Second))
	// Output:
	// v1.1 true
	//  false
}

// Guards against names that are confused with others made of the same letters.
func TestKeysDiffer(t *testing.T) {
	gom := gomega.NewWithT(t)
	gom.Expect(KeyOf("ab", "c")).NotTo(gomega.Equal(KeyOf("a", "bc")))
	gom.Expect(KeyOf("a", "")).NotTo(gomega.Equal(KeyOf("a")))
	gom.Expect(KeyOf("a", "b")).To(gomega.Equal(KeyOf("a", "b")))
}

// Guards against streams that are bound to a build although another one was recorded, in whatever order
// tables learn of them, and against bindings that outlive their time.
func TestTablesAgreeWithModel(t *testing.T) {
	rapid.Check(t, func(rpd *rapid.T) {
		gom := gomega.NewWithT(rpd)
		type known struct {
			builds map[string]bool
			last   clock.Milli
		}
		tables := make([]Table, 3)
		models := make([]map[Key]*known, len(tables))
		for i := range models {
			models[i] = map[Key]*known{}
		}
		note := func(i int, bnd Binding, now clock.Milli) {
			at := now - bnd.Age
			if bnd.Age >= Retention {
				return
			}
			knw, ok := models[i][bnd.Key]
			if !ok || now-knw.last >= Retention {
				knw = &known{builds: map[string]bool{}, last: at}
				models[i][bnd.Key] = knw
			}
			knw.builds[bnd.Build], knw.last = true, max(knw.last, at)
		}
		now := clock.Milli(0)
		for range rapid.IntRange(1, 60).Draw(rpd, "steps") {
			now += clock.Milli(rapid.IntRange(0, int(Retention/3)).Draw(rpd, "pass"))
			i := rapid.IntRange(0, len(tables)-1).Draw(rpd, "table")
			key := KeyOf(fmt.Sprint(rapid.IntRange(0, 3).Draw(rpd, "key")))
			if rapid.Bool().Draw(rpd, "merge") {
				for _, bnd := range tables[rapid.IntRange(0, len(tables)-1).Draw(rpd, "from")].All(now) {
					tables[i].Add(bnd, now)
					note(i, bnd, now)
				}
			} else {
				bnd := Binding{Key: key, Build: rapid.SampledFrom([]string{"v1", "v1.1"}).Draw(rpd, "build"), Age: clock.Milli(rapid.IntRange(0, int(Retention)).Draw(rpd, "age"))}
				tables[i].Add(bnd, now)
				note(i, bnd, now)
			}
			for key, knw := range models[i] {
				build, ok := tables[i].Find(key, now)
				fresh := now-knw.last < Retention
				gom.Expect(tables[i].Knows(key, now)).To(gomega.Equal(fresh))
				gom.Expect(ok).To(gomega.Equal(fresh && len(knw.builds) == 1 && !knw.builds[""]))
				gom.Expect(!ok || knw.builds[build]).To(gomega.BeTrue())
			}
		}
	})
}

// Guards against tables that grow with the number of streams, and with streams that are resumed often.
func TestTableIsBounded(t *testing.T) {
	gom := gomega.NewWithT(t)
	var tbl Table
	for i := range MaxBindings + 100 {
		tbl.Add(Binding{Key: KeyOf(fmt.Sprint(i)), Build: "v1"}, clock.Milli(i/1000))
	}
	now := clock.Milli(MaxBindings / 1000)
	gom.Expect(tbl.All(now)).To(gomega.HaveLen(MaxBindings))
	gom.Expect(tbl.Knows(KeyOf("0"), now)).To(gomega.BeFalse())
	gom.Expect(tbl.Knows(KeyOf(fmt.Sprint(MaxBindings+99)), now)).To(gomega.BeTrue())
	tbl.Add(Binding{Key: KeyOf("later"), Build: "v1"}, now+Retention)
	gom.Expect(tbl.All(now + Retention)).To(gomega.HaveLen(1))
	gom.Expect(len(tbl.order)).To(gomega.BeNumerically("<", 2))
}
