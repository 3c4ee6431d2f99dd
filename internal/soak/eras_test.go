package soak

import (
	"time"

	"amaranthvalve/platform/fake"
)

// maxWriteAgain bounds the time within which operators and endpoints write again what a copy lacks.
const maxWriteAgain = 1900 * time.Millisecond

// restoreStore lets the store be away for a moment and come back from a copy, without what was written
// since the copy was made: a version of the document that takes a key away, and whatever else happened.
func (sr *soakRun) restoreStore() {
	if !sr.restoring.CompareAndSwap(false, true) {
		return
	}
	defer sr.restoring.Store(false)
	sr.store.Copy()
	sr.publish(true)
	time.Sleep(sr.drawFaultDuration())
	span := sr.drawDuration(minGap, maxGap)
	sr.markAllDisturbed(time.Now().Add(span))
	sr.store.SetMode([]fake.Mode{fake.Busy, fake.Silent}[sr.drawInt(2)])
	time.Sleep(span)
	writeAgain := sr.store.Restore()
	sr.store.SetMode(fake.Healthy)
	sr.markAllDisturbed(time.Now())
	if sr.drawInt(3) == 0 {
		sr.killInstance()
	}
	time.Sleep(sr.drawDuration(0, maxWriteAgain))
	writeAgain()
}
