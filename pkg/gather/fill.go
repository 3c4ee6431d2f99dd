package gather

import (
	"slices"

	"amaranthvalve/pkg/clock"
)

// fill takes pieces for a call: the most urgent job, then those of the next that
// want the endpoint's data centre or none, then the others. Jobs go whole into a call
// if they can. One that is split is done only with the later of its calls; what the
// sooner one made takes room for nothing until then, and whoever takes the results
// fetches them from two places.
func (bk *Book) fill(mkr *maker, now clock.Milli) (Batch, bool) {
	look := slices.Clone(bk.ahead())
	look = slices.DeleteFunc(look, func(pc Piece) bool { return bk.waitsFor(pc, mkr, now) })
	cl := filling{bk: bk, mkr: mkr, taken: map[int64]bool{}}
	jobs := jobsOf(look)
	first := slices.IndexFunc(jobs, cl.fits)
	if first < 0 {
		return Batch{}, false
	}
	cl.take(jobs[first])
	if jobs[first][0].Alone {
		return bk.begin(mkr, cl, now)
	}
	jobs = slices.DeleteFunc(jobs, func(job []Piece) bool { return job[0].Alone })
	for _, near := range []bool{true, false} {
		for _, job := range jobs {
			if (job[0].Zone == "" || job[0].Zone == mkr.Zone) == near && !cl.taken[job[0].ID] && cl.fits(job) {
				cl.take(job)
			}
		}
	}
	if bk.tops(cl, now) {
		cl.top(jobs)
	}
	return bk.begin(mkr, cl, now)
}

// tops tells whether a call is filled up with a part of a job: more waits than a call holds,
// and the rest of the job begins so soon after that it is hardly later for it. In a pool of
// many endpoints, whose calls begin some milliseconds apart, calls that hold whole jobs only
// would leave a part of each endpoint idle while requests are refused.
func (bk *Book) tops(cl filling, now clock.Milli) bool {
	if len(bk.waiting)-len(cl.pieces) < bk.spec.Most || bk.spec.Room > 0 && float64(cl.bytes) > topShare*float64(bk.spec.Room) {
		return false
	}
	rate, _ := bk.rate(now)
	return rate > 0 && float64(bk.spec.Time(bk.spec.Most)) <= topWait*rate
}

// jobsOf groups pieces by their jobs, in the order of the first piece of each.
func jobsOf(list []Piece) [][]Piece {
	at := map[int64]int{}
	var jobs [][]Piece
	for _, pc := range list {
		i, ok := at[pc.Job]
		if !ok {
			i = len(jobs)
			at[pc.Job] = i
			jobs = append(jobs, nil)
		}
		jobs[i] = append(jobs[i], pc)
	}
	return jobs
}

// filling is a call that is being filled.
type filling struct {
	bk     *Book
	mkr    *maker
	pieces []Piece
	taken  map[int64]bool
	bytes  int64
}

// fits tells whether a job has place and room in the call: the whole of it, or, if it is
// one that is split, its first piece.
func (cl *filling) fits(job []Piece) bool {
	var bytes int64
	for _, pc := range job {
		bytes += pc.Bytes
	}
	if cl.bk.splits(job, bytes) {
		return len(cl.pieces) < cl.bk.spec.Most && cl.bk.fits(cl.mkr, cl.bytes, job[0])
	}
	return len(cl.pieces)+len(job) <= cl.bk.spec.Most && cl.bk.fits(cl.mkr, cl.bytes+bytes, Piece{})
}

// splits tells whether a job is made in parts: one that was already, and one that is too
// large for a call.
func (bk *Book) splits(job []Piece, bytes int64) bool {
	return job[0].Rest || len(job) > bk.spec.Most || bk.spec.Room > 0 && float64(bytes) > wholeShare*float64(bk.spec.Room)
}

// take takes as much of a job as fits.
func (cl *filling) take(job []Piece) {
	for _, pc := range job {
		if len(cl.pieces) >= cl.bk.spec.Most || cl.taken[pc.ID] || !cl.bk.fits(cl.mkr, cl.bytes, pc) {
			continue
		}
		cl.taken[pc.ID] = true
		cl.bytes += pc.Bytes
		cl.pieces = append(cl.pieces, pc)
	}
}

// top takes what there is place for of the most urgent job that was left out.
func (cl *filling) top(jobs [][]Piece) {
	for _, job := range jobs {
		if before := len(cl.pieces); !cl.taken[job[0].ID] {
			cl.take(job)
			if len(cl.pieces) > before {
				return
			}
		}
	}
}
