package state

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/plan"
)

// compileNumber compiles documents whose text is their version.
func compileNumber(text []byte) (*plan.Plan, []error) {
	version, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return nil, []error{err}
	}
	return plan.Compile(plan.Draft{Version: version})
}

func numbered(era, offset, version int64) proto.Document {
	return proto.Document{Position: proto.Position{Era: era, Offset: offset}, Text: []byte(strconv.FormatInt(version, 10))}
}

func newDocs() *docsCtl {
	dct := &newEndpts().ctl.docs
	dct.ctl.set.Dialect = &proto.Dialect{Compile: compileNumber}
	return dct
}

// Guards against a store that confirms documents while it may lack newer ones, and against one that never
// does again.
func TestStoreConfirmsOnceItHasWhatItHad(t *testing.T) {
	const now = 10 * clock.Day
	gom := gomega.NewWithT(t)
	dct := newDocs()
	dct.applyRead(numbered(0, 5, 20), now, now)
	gom.Expect(dct.asOf).To(gomega.Equal(now), "a store that never came back from a copy")
	dct.applyRead(numbered(1, 2, 9), now+100, now+100)
	gom.Expect(dct.version()).To(gomega.BeEquivalentTo(20))
	gom.Expect(dct.asOf).To(gomega.Equal(now), "the store is behind")
	dct.applyRead(numbered(0, 6, 21), now+50, now+200)
	gom.Expect(dct.version()).To(gomega.BeEquivalentTo(21), "a late answer of the era before")
	gom.Expect(dct.asOf).To(gomega.Equal(now))
	dct.applyRead(numbered(1, 3, 20), now+250, now+250)
	gom.Expect(dct.asOf).To(gomega.Equal(now), "the store lacks what the late answer had")
	dct.applyRead(numbered(1, 4, 21), now+300, now+300)
	gom.Expect(dct.asOf).To(gomega.Equal(now+300), "the store has what was in force when it came back")
	dct.applyRead(numbered(1, 5, 23), now+400, now+400)
	gom.Expect(dct.version()).To(gomega.BeEquivalentTo(23))
	dct.applyRead(numbered(2, 1, 9), now+500, now+500)
	dct.confirmByStore(now+500+settleTime-1, now+500+settleTime-1)
	gom.Expect(dct.asOf).To(gomega.Equal(now + 400))
	dct.confirmByStore(now+500+settleTime, now+500+settleTime)
	gom.Expect(dct.asOf).To(gomega.Equal(now + 500 + settleTime))
}

// Guards against an instance that starts from a copy and accepts tokens by it before another instance or
// time has confirmed it.
func TestStartFromCopyIsUnconfirmed(t *testing.T) {
	const now = 10 * clock.Day
	gom := gomega.NewWithT(t)
	dct := newDocs()
	dct.applyRead(numbered(3, 2, 9), now, now)
	dct.applyRead(numbered(3, 3, 10), now+10, now+10)
	gom.Expect(dct.version()).To(gomega.BeEquivalentTo(10))
	gom.Expect(dct.asOf).To(gomega.BeZero())
	dct.confirmByPeer(100)
	dct.applyRead(numbered(3, 3, 10), now+30, now+30)
	gom.Expect(dct.asOf).To(gomega.BeEquivalentTo(100), "the other instance has it from the copy, too")
	dct.confirmByPeer(now + 20)
	dct.applyRead(numbered(3, 3, 10), now+50, now+50)
	gom.Expect(dct.asOf).To(gomega.Equal(now + 50))
}

// Guards against a copy that counts as complete because it has documents that were confirmed long before the
// store went away, here or at an instance that was partitioned off since.
func TestOldConfirmationProvesNothing(t *testing.T) {
	const now = 10 * clock.Day
	gom := gomega.NewWithT(t)
	dct := newDocs()
	dct.applyRead(numbered(0, 5, 20), now-clock.Minute, now-clock.Minute)
	dct.applyRead(numbered(1, 5, 20), now, now)
	gom.Expect(dct.asOf).To(gomega.Equal(now - clock.Minute))
	dct = newDocs()
	dct.applyRead(numbered(1, 5, 20), now, now)
	dct.confirmByPeer(now - clock.Minute)
	dct.applyRead(numbered(1, 5, 20), now+20, now+20)
	gom.Expect(dct.asOf).To(gomega.Equal(now - clock.Minute))
}

// Guards against documents that go back, and against a store whose newest documents are not taken.
func TestDocumentsAcrossEras(t *testing.T) {
	rapid.Check(t, func(rpd *rapid.T) {
		gom := gomega.NewWithT(rpd)
		dct := newDocs()
		var log, saved []int64
		era, version, highest := int64(0), int64(0), int64(noVersion)
		var answers []proto.Document
		now := 10 * clock.Day
		for range rapid.IntRange(1, 60).Draw(rpd, "steps") {
			now += clock.Milli(rapid.IntRange(1, 900).Draw(rpd, "pass"))
			before := dct.asOf
			switch rapid.IntRange(0, 4).Draw(rpd, "step") {
			case 0:
				version += int64(rapid.IntRange(1, 4).Draw(rpd, "rise"))
				log = append(log, version)
			case 1:
				saved = append([]int64(nil), log...)
			case 2:
				log, era = append([]int64(nil), saved...), era+1
			case 3:
				if len(answers) > 0 {
					doc := answers[rapid.IntRange(0, len(answers)-1).Draw(rpd, "late")]
					dct.applyRead(doc, now-500, now)
				}
			default:
				doc := proto.Document{Position: proto.Position{Era: era, Offset: -1}}
				if len(log) > 0 {
					doc = numbered(era, int64(len(log)-1), log[len(log)-1])
				}
				answers = append(answers, doc)
				dct.applyRead(doc, now, now)
				if len(log) > 0 {
					gom.Expect(dct.version()).To(gomega.BeNumerically(">=", log[len(log)-1]))
				}
				if dct.eras.since > 0 {
					gom.Expect(dct.asOf).To(gomega.Equal(before))
				} else {
					gom.Expect(dct.asOf).To(gomega.Equal(now))
				}
			}
			gom.Expect(dct.version()).To(gomega.BeNumerically(">=", highest))
			highest = dct.version()
		}
	})
}
