package trial

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

// server is a fake endpoint: a batch with so many places, whose work takes up to
// half as long again when it is full, and a queue behind it.
type server struct {
	tln     *timeline
	id      string
	pool    string
	baseMs  float64
	places  int
	factor  float64
	dead    bool
	failing float64
	rng     func() float64
	frozen  bool
	leaving bool
	running []*work
	waiting []*work
	prefix  map[uint64]bool
}

// work is one attempt at a server.
type work struct {
	srv    *server
	prefix uint64
	began  clock.Milli
	busy   bool
	over   bool
	done   func(ok bool, engine clock.Milli)
}

// load is what the server reports of itself.
func (srv *server) load() float64 { return float64(len(srv.running) + len(srv.waiting)) }

func (srv *server) take(wrk *work) {
	wrk.srv = srv
	if srv.dead {
		srv.tln.after(1, func() { wrk.finish(false, 0) })
		return
	}
	srv.waiting = append(srv.waiting, wrk)
	srv.next()
}

func (srv *server) next() {
	for !srv.frozen && len(srv.waiting) > 0 && len(srv.running) < srv.places {
		wrk := srv.waiting[0]
		srv.waiting = srv.waiting[1:]
		srv.running = append(srv.running, wrk)
		srv.start(wrk)
	}
}

func (srv *server) start(wrk *work) {
	wrk.began, wrk.busy = srv.tln.now, true
	full := float64(len(srv.running)) / float64(srv.places)
	took := srv.baseMs * srv.factor * (1 + 0.5*full)
	if wrk.prefix != 0 && !srv.prefix[wrk.prefix] {
		// A cold prompt costs a quarter more.
		took *= 1.25
		srv.prefix[wrk.prefix] = true
	}
	srv.tln.after(clock.Milli(took), func() {
		if srv.frozen || wrk.over {
			return
		}
		srv.drop(wrk)
		broken := srv.dead || srv.failing > 0 && srv.rng() < srv.failing
		wrk.finish(!broken, srv.tln.now-wrk.began)
	})
}

func (srv *server) drop(wrk *work) {
	same := func(oth *work) bool { return oth == wrk }
	srv.running = slices.DeleteFunc(srv.running, same)
	srv.waiting = slices.DeleteFunc(srv.waiting, same)
	srv.next()
}

func (wrk *work) finish(ok bool, engine clock.Milli) {
	if wrk.over {
		return
	}
	wrk.over = true
	wrk.done(ok, engine)
}

// cancel gives a piece of work up and tells what it has cost.
func (wrk *work) cancel() clock.Milli {
	cost := clock.Milli(0)
	if wrk.busy && !wrk.over {
		cost = wrk.srv.tln.now - wrk.began
	}
	wrk.over = true
	wrk.srv.drop(wrk)
	return cost
}
