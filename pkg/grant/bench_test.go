package grant

import (
	"fmt"
	"testing"

	"amaranthvalve/pkg/clock"
)

// BenchmarkGrant measures a grant and a join while 500 requests of 16 workspaces wait.
func BenchmarkGrant(bch *testing.B) {
	var que Queue
	now := clock.Milli(1)
	join := func(i int) {
		que.Join(Ask{Rank: i % 3, Workspace: fmt.Sprint(i % 16), Until: now + clock.Hour, Deadline: now + clock.Hour}, now)
	}
	for i := range 500 {
		join(i)
	}
	for i := 0; bch.Loop(); i++ {
		if i%10 == 0 {
			now++
		}
		que.Expire(now, false)
		que.Next(now, func(*Entry) bool { return true })
		que.Expire(now, true)
		join(i)
	}
}

// BenchmarkRefuseAll measures the refusal of a full queue of one workspace, whose requests have waited as long as
// they may.
func BenchmarkRefuseAll(b *testing.B) {
	for b.Loop() {
		var que Queue
		for i := range maxWaiting {
			que.Join(Ask{Until: 10, Deadline: clock.Milli(i % 97 * 20)}, 0)
		}
		if len(que.Expire(20, true)) != maxWaiting {
			b.Fatal("not all were refused")
		}
	}
}
