package main

import (
	"fmt"
	"time"
)

func init() { cases["slashes"] = runSlashes }

// runSlashes sends bookings whose path begins with two slashes to a route with the prefix "/". Without the disruption
// the paths begin with one.
func runSlashes(bed *testbed, trouble bool) ([]string, error) {
	sto, ran := newStore(), &ledger{}
	err := startBooking(bed, sto, booking(7, "/", "key-1"), func(eng *engine, arv *arrival) string {
		id := arv.req.Header.Get(hdrID)
		ran.add(id, arv.line)
		bed.note("engine %s runs %s %q", eng.id, id, arv.line)
		time.Sleep(60 * time.Millisecond)
		return eng.signed(arv, 200, "text/plain", "booked "+id)
	})
	if err != nil {
		return nil, err
	}
	var broken []string
	seq := 0
	for range 4 {
		for _, path := range []string{"bobo563/lo7/2f", "bobo563/2f?crew=4&block=9"} {
			path = "/" + path
			if trouble {
				path = "/" + path
			}
			for _, nod := range bed.nodes {
				seq++
				rqs := request{method: "POST", path: path, host: host, id: fmt.Sprintf("req-%04d", seq), key: "key-1", body: "book", deadline: 4 * time.Second}
				bed.note("consumer sends %s %q to %s", rqs.id, "POST "+path, nod.ip)
				ans := exchange(nod.front, rqs, 5*time.Second)
				bed.note("consumer gets %d for %s, signature %q", ans.status, rqs.id, ans.signature)
				for _, line := range ran.of(rqs.id) {
					if want := "POST " + path + " HTTP/1.1"; line != want {
						broken = append(broken, fmt.Sprintf("UNASKED: %s ran as %q, sent as %q", rqs.id, line, want))
					}
				}
			}
		}
	}
	return broken, nil
}
