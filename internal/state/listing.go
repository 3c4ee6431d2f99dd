package state

import (
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
)

// listedByStore and listedByState name the sources of lists that come from no reader.
const (
	listedByStore = "store"
	listedByState = "state of another instance"
)

// provenance tells where a list of endpoints comes from.
type provenance struct {
	// pos is the end of the endpoints' log when the list was read. It orders lists, whichever
	// instance read them.
	pos proto.Position
	// asOf is the instant just before that read was sent.
	asOf clock.Milli
	// from is the instance that sent the list, or listedByStore.
	from string
}

// isBefore reports whether a list is older than another one. One that was read long after the other is not:
// if its position is lower nevertheless, the log has begun anew.
func (prv provenance) isBefore(oth provenance) bool {
	return (prv.pos.Era < oth.pos.Era || prv.pos.Before(oth.pos)) && prv.asOf <= oth.asOf+staleAfter
}

// listMark is a [provenance] on the wire, with the [reads] that the sender knows of.
type listMark struct {
	Era    int64       `cbor:"1,keyasint"`
	Offset int64       `cbor:"2,keyasint"`
	Age    clock.Milli `cbor:"3,keyasint"`
	// Since and Until are how long ago the first and the last of the reads were sent.
	Since clock.Milli `cbor:"4,keyasint,omitempty"`
	Until clock.Milli `cbor:"5,keyasint,omitempty"`
}

// mark returns the provenance for another instance, nil if no list is known.
func (prv provenance) mark(rds reads, now clock.Milli) *listMark {
	if prv.from == "" {
		return nil
	}
	mrk := &listMark{Era: prv.pos.Era, Offset: prv.pos.Offset, Age: now - prv.asOf}
	if rds.known {
		mrk.Since, mrk.Until = now-rds.since, now-rds.until
	}
	return mrk
}

// reads returns the reads that a mark tells of which was made at an instant or later.
func (mrk *listMark) reads(made clock.Milli) reads {
	if mrk == nil || mrk.Since == 0 {
		return reads{}
	}
	return reads{known: true, since: made - mrk.Since, until: made - mrk.Until}
}

// provenance returns what a mark says that was made at an instant or later. Instances of earlier
// builds send none: their lists count as those of the instant, at the position known.
func (mrk *listMark) provenance(known provenance, made clock.Milli, from string) provenance {
	if mrk == nil {
		return provenance{pos: known.pos, asOf: made, from: from}
	}
	return provenance{pos: proto.Position{Era: mrk.Era, Offset: mrk.Offset}, asOf: made - mrk.Age, from: from}
}

// ListAge returns how long ago the list of endpoints was read from the store, by this instance or
// by the one that sent it.
func (vw *View) ListAge(now clock.Milli) clock.Milli { return now - vw.listed.asOf }

// ListSource returns the instance that sent the list of endpoints, or "store".
func (vw *View) ListSource() string { return vw.listed.from }
