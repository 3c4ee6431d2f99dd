package trial

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

// server is a simulated endpoint with a batch of limited size and a queue. Work takes up to 1.5
// times as long when the batch is full.
type server struct {
	tln          *timeline
	id           string
	pool         string
	baseMs       float64
	slots        int
	slowdown     float64
	failsAtOnce  bool
	failureShare float64
	random       func() float64
	frozen       bool
	leaving      bool
	running      []*work
	waiting      []*work
	cached       map[uint64]bool
}

// work is one attempt at a server.
type work struct {
	srv       *server
	prefix    uint64
	startedAt clock.Milli
	started   bool
	ended     bool
	done      func(ok bool, engine clock.Milli)
}

// load returns the load that the server reports.
func (srv *server) load() float64 { return float64(len(srv.running) + len(srv.waiting)) }

func (srv *server) submit(wrk *work) {
	wrk.srv = srv
	if srv.failsAtOnce {
		srv.tln.after(1, func() { wrk.finish(false, 0) })
		return
	}
	srv.waiting = append(srv.waiting, wrk)
	srv.startNext()
}

func (srv *server) startNext() {
	for !srv.frozen && len(srv.waiting) > 0 && len(srv.running) < srv.slots {
		wrk := srv.waiting[0]
		srv.waiting = srv.waiting[1:]
		srv.running = append(srv.running, wrk)
		srv.start(wrk)
	}
}

func (srv *server) start(wrk *work) {
	wrk.startedAt, wrk.started = srv.tln.now, true
	fill := float64(len(srv.running)) / float64(srv.slots)
	took := srv.baseMs * srv.slowdown * (1 + 0.5*fill)
	if wrk.prefix != 0 && !srv.cached[wrk.prefix] {
		// A prompt whose prefix is not cached takes a quarter longer.
		took *= 1.25
		srv.cached[wrk.prefix] = true
	}
	srv.tln.after(clock.Milli(took), func() {
		if srv.frozen || wrk.ended {
			return
		}
		srv.remove(wrk)
		failed := srv.failsAtOnce || srv.failureShare > 0 && srv.random() < srv.failureShare
		wrk.finish(!failed, srv.tln.now-wrk.startedAt)
	})
}

func (srv *server) remove(wrk *work) {
	same := func(other *work) bool { return other == wrk }
	srv.running = slices.DeleteFunc(srv.running, same)
	srv.waiting = slices.DeleteFunc(srv.waiting, same)
	srv.startNext()
}

func (wrk *work) finish(ok bool, engine clock.Milli) {
	if wrk.ended {
		return
	}
	wrk.ended = true
	wrk.done(ok, engine)
}

// cancel ends an attempt and returns the endpoint time that it has cost.
func (wrk *work) cancel() clock.Milli {
	cost := clock.Milli(0)
	if wrk.started && !wrk.ended {
		cost = wrk.srv.tln.now - wrk.startedAt
	}
	wrk.ended = true
	wrk.srv.remove(wrk)
	return cost
}
