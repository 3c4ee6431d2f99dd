package state

import "amaranthvalve/pkg/clock"

// maxReadGap is the longest time without an answer of the store in which no entry of a live endpoint
// expires: endpoints renew their entries every 1.2 s, and these expire after three times that.
const maxReadGap = 2 * clock.Second

// reads is a time over which the store answered reads of the list of endpoints, of this instance or of
// others, without an outage in which entries may have expired. The zero value is empty.
//
// A failed read of this instance ends it, unless the store has answered others meanwhile. That an instance
// was paused, has just started, or has lost its readers is no outage.
type reads struct {
	known bool
	// since and until are when the first and the last of the answered reads were sent.
	since, until clock.Milli
	// failedAt is when a read of this instance last failed, zero if none has since it was answered.
	failedAt clock.Milli
}

// answered records that a read of this instance was answered.
func (rds *reads) answered(sent clock.Milli) {
	if !rds.known || rds.failedAt > rds.until {
		rds.since = sent
	}
	rds.known, rds.until, rds.failedAt = true, max(rds.until, sent), 0
}

// failed records that a read of this instance failed.
func (rds *reads) failed(now clock.Milli) { rds.failedAt = now }

// merge adds the reads that another instance knows of.
func (rds *reads) merge(oth reads) {
	switch {
	case !oth.known || rds.known && oth.until+maxReadGap < rds.since:
	case !rds.known || rds.until+maxReadGap < oth.since:
		rds.known, rds.since, rds.until = true, oth.since, oth.until
	default:
		rds.since, rds.until = min(rds.since, oth.since), max(rds.until, oth.until)
	}
}

// uptime returns for how long the store has answered, zero if it may be down.
func (rds *reads) uptime(now clock.Milli) clock.Milli {
	if !rds.known || now-rds.until > maxReadGap || rds.failedAt > rds.until {
		return 0
	}
	return now - rds.since
}
