package limit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"amaranthvalve/pkg/clock"
)

func ExampleSlots() {
	var sls Slots
	sls.Sync(map[string]int{"i-1": 2})
	for _, ticket := range []string{"one", "two"} {
		fmt.Println(sls.Usage("i-1", 1, 0))
		sls.Take("i-1", ticket, 1000)
	}
	fmt.Println(sls.Usage("i-1", 1, 0))
	sls.Release("one")
	fmt.Println(sls.Usage("i-1", 1, 0))
	// Output:
	// 0 true
	// 0.5 true
	// 1 false
	// 0.5 true
}

// TestSlotsAreBounded guards against an endpoint that is granted more requests than it runs at a time,
// and against slots that are lost, for any order of grants, releases, lost releases and new lists.
func TestSlotsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(rt, "size")
		var sls Slots
		now := clock.Milli(1000)
		held := map[string]clock.Milli{}
		for i := range rapid.IntRange(1, 80).Draw(rt, "events") {
			now += clock.Milli(rapid.IntRange(0, 300).Draw(rt, "pause"))
			sls.Sync(map[string]int{"i-1": size})
			sls.Expire(now)
			for ticket, until := range held {
				if now >= until {
					delete(held, ticket)
				}
			}
			switch rapid.IntRange(0, 2).Draw(rt, "event") {
			case 0, 1:
				share := rapid.SampledFrom([]float64{0.01, 0.5, 1}).Draw(rt, "share")
				if _, ok := sls.Usage("i-1", share, now); ok {
					ticket := fmt.Sprint(i)
					held[ticket] = now + clock.Milli(rapid.IntRange(1, 2000).Draw(rt, "time"))
					sls.Take("i-1", ticket, held[ticket])
				}
			case 2:
				for ticket := range held {
					sls.Release(ticket)
					delete(held, ticket)
					break
				}
			}
			if len(held) > size {
				rt.Fatalf("%d requests at an endpoint that runs %d", len(held), size)
			}
			if usage, _ := sls.Usage("i-1", 1, now); usage != float64(len(held))/float64(size) {
				rt.Fatalf("usage %v with %d requests of %d", usage, len(held), size)
			}
		}
	})
}

// TestPausedEndpointIsGrantedNothing guards against sending a brittle endpoint more while it rejects.
func TestPausedEndpointIsGrantedNothing(t *testing.T) {
	var sls Slots
	sls.Sync(map[string]int{"i-1": 2})
	sls.Pause("i-1", 500)
	sls.Pause("i-1", 300)
	for now, want := range map[clock.Milli]bool{0: false, 499: false, 500: true} {
		if _, ok := sls.Usage("i-1", 1, now); ok != want {
			t.Errorf("at %d: granted %t, want %t", now, ok, want)
		}
	}
}
