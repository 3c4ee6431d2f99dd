package main

import (
	"fmt"
	"time"
)

func init() { cases["slashes"] = runSlashes }

// applyWait is how long after the ack of a change the requests are sent: configApplyMs and a second.
const applyWait = 3 * time.Second

// runSlashes sends bookings whose path begins with two slashes, as a base address joined with a path may. No route matches
// them until a new version adds one with the prefix "/". Without the disruption it isn't added.
func runSlashes(bed *testbed, trouble bool) ([]string, error) {
	sto, ran := newStore(), &ledger{}
	err := startBooking(bed, sto, booking(7, "/bobo563/", "key-1"), func(eng *engine, arv *arrival) string {
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
	send := func(path string, nod *node) answer {
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
		return ans
	}
	paths := []string{"/bobo563/lo7/2f", "//bobo563/lo7/2f", "//bobo563/2f?crew=4&block=9"}
	for _, nod := range bed.nodes {
		if ans := send(paths[0], nod); ans.status != 200 {
			return nil, fmt.Errorf("before the change: status %d, %v", ans.status, ans.err)
		}
		send(paths[1], nod)
	}
	if trouble {
		// The version adds the route and changes nothing else.
		wider := booking(9, "/bobo563/", "key-1")
		added := booking(9, "/", "key-1")["routes"].([]map[string]any)
		added[0]["name"] = "r-other"
		wider["routes"] = append(wider["routes"].([]map[string]any), added...)
		sto.put("keyed.op", "config", wider)
		bed.note("ack of version 9: a route with the prefix / is added")
	}
	time.Sleep(applyWait)
	for range 4 {
		for _, path := range paths {
			for _, nod := range bed.nodes {
				send(path, nod)
			}
		}
	}
	return broken, nil
}
