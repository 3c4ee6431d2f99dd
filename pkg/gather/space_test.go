package gather

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"amaranthvalve/pkg/clock"
)

// TestEvenDistances: two endpoints are free and two requests come, 10 ms apart. The second
// one's call is held back until half a call's time after the first one's, so that the
// two don't end together. What fills a call goes at once.
func TestEvenDistances(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(2)
	add(bk, 1, 2, 9000)
	_, ok := bk.Next(1000)
	gom.Expect(ok).To(gomega.BeTrue(), "nothing was begun before")
	add(bk, 2, 1, 9000)
	_, ok = bk.Next(1010)
	gom.Expect(ok).To(gomega.BeFalse())
	gom.Expect(bk.Space(1010)).To(gomega.Equal(clock.Milli(110)))
	add(bk, 3, 3, 9000)
	gom.Expect(bk.Space(1010)).To(gomega.BeZero())
	bat, ok := bk.Next(1010)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Pieces).To(gomega.HaveLen(4))
}

// load plays requests of four pieces that come by chance to five endpoints, for a minute of
// fake time, and gives how long each took, sorted.
func load(bk *Book, perSecond float64) []clock.Milli {
	rnd := rand.New(rand.NewPCG(1, 2))
	came := map[int64]clock.Milli{}
	ends := map[int64]clock.Milli{}
	calls := map[int64]Batch{}
	var took []clock.Milli
	next := 0.0
	for now := clock.Milli(0); now < clock.Minute; now++ {
		for ; next <= float64(now); next += rnd.ExpFloat64() * 1000 / perSecond {
			job := int64(len(came))
			came[job] = now
			for i := range int64(4) {
				bk.Add(Piece{ID: 4*job + i, Job: job, Due: now + 2000, Until: now + 20000})
			}
		}
		for id, at := range ends {
			if at > now {
				continue
			}
			bk.Ended(id, Made, nil, now)
			delete(ends, id)
			for _, job := range jobsIn(calls[id]) {
				took = append(took, now-came[job])
			}
		}
		for bat, ok := bk.Next(now); ok; bat, ok = bk.Next(now) {
			calls[bat.ID], ends[bat.ID] = bat, now+bk.spec.Time(len(bat.Pieces))
		}
	}
	slices.Sort(took)
	return took
}

// TestCallsDontBunch plays a pool that is half used, a call's time being six tenths fixed:
// 48 requests a second of four pieces each to five endpoints that could make 91. What comes
// by chance bunches the calls if each is begun as soon as it can: nine requests in ten took
// 0.58 s then, of which a call is 0.31 s.
func TestCallsDontBunch(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(5)
	bk.Set(Spec{Places: 1, Most: 34, Call: 240, Item: 6.1})
	took := load(bk, 48.4)
	gom.Expect(len(took)).To(gomega.BeNumerically(">", 2700))
	gom.Expect(took[len(took)*9/10]).To(gomega.BeNumerically("<", 510))
	gom.Expect(took[len(took)/2]).To(gomega.BeNumerically("<", 410))
}

// TestSpacingCostsIdlePoolsLittle: a pool that is hardly used takes requests as they come;
// held back, they take hardly longer than a call of their own.
func TestSpacingCostsIdlePoolsLittle(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(5)
	bk.Set(Spec{Places: 1, Most: 34, Call: 240, Item: 6.1})
	took := load(bk, 5)
	gom.Expect(took[len(took)/2]).To(gomega.BeNumerically("<=", bk.spec.Time(4)+1))
	gom.Expect(took[len(took)*9/10]).To(gomega.BeNumerically("<", bk.spec.Time(4)+50))
}

// TestRoomOfOthers: the instance that gathered before has lost power, and its results take most
// of the room at one of two endpoints. Told so, this one has two pieces made there and not
// four, of which two would be refused; the time for which a result is held makes room again.
func TestRoomOfOthers(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	gom.Expect(bk.Told("m0", 500, 1000)).To(gomega.Equal(int64(500)))
	gom.Expect(bk.Told("nobody", 500, 1000)).To(gomega.BeZero())
	for i := range int64(4) {
		bk.Add(Piece{ID: i, Job: i, Due: 9000, Until: 100000, Bytes: 250})
	}
	bat, ok := bk.Next(1000)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Pieces).To(gomega.HaveLen(2))
	bk.Ended(bat.ID, Made, []Result{{Handle: "a", Bytes: 250}, {Handle: "b", Bytes: 250}}, 1240)
	_, ok = bk.Next(1300)
	gom.Expect(ok).To(gomega.BeFalse(), "there is no room")
	gom.Expect(bk.Told("m0", 0, 1350)).To(gomega.Equal(int64(500)), "the word is older than our own results")
	gom.Expect(bk.Told("m0", 250, 1400)).To(gomega.Equal(int64(250)), "one of the others' results was given back")
	bat, ok = bk.Next(1400)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Pieces).To(gomega.HaveLen(1))
	bk.Ended(bat.ID, Made, []Result{{Handle: "c", Bytes: 250}}, 1620)
	bk.Free("a")
	bk.Free("b")
	bk.Free("c")
	for i := range int64(4) {
		bk.Add(Piece{ID: 10 + i, Job: 10 + i, Due: 99000, Until: 100000, Bytes: 250})
	}
	bat, ok = bk.Next(1000 + 4000)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Pieces).To(gomega.HaveLen(4))
}

// TestRefusedRoomIsLearnt: results that nobody here knows of take half of an endpoint's room, and it
// says so only by refusing two of four pieces. The next calls are as large as what was given back, so that
// nothing is refused again; a second later more is tried.
func TestRefusedRoomIsLearnt(t *testing.T) {
	gom := gomega.NewWithT(t)
	bk := newBook(1)
	bk.Begin(900)
	for i := range int64(9) {
		bk.Add(Piece{ID: i, Job: i, Due: 9000, Until: 100000, Bytes: 250})
	}
	bat, _ := bk.Next(1000)
	gom.Expect(bat.Pieces).To(gomega.HaveLen(4))
	bk.Ended(bat.ID, Made, []Result{{Handle: "a", Bytes: 250}, {Handle: "b", Bytes: 250}}, 1280)
	bk.Full("m0", 1280)
	_, ok := bk.Next(1280 + fullFor)
	gom.Expect(ok).To(gomega.BeFalse())
	bk.Free("a")
	bat, ok = bk.Next(1400)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Pieces).To(gomega.HaveLen(1))
	bk.Ended(bat.ID, Made, []Result{{Handle: "c", Bytes: 250}}, 1620)
	bat, ok = bk.Next(1280 + othersFor)
	gom.Expect(ok).To(gomega.BeTrue())
	gom.Expect(bat.Pieces).To(gomega.HaveLen(2))
	bk.Ended(bat.ID, Made, []Result{{Handle: "d", Bytes: 250}}, 900+4000)
	bk.Full("m0", 900+4000)
	gom.Expect(bk.makers[0].others).To(gomega.BeZero(), "whatever was there before has lapsed")
}
