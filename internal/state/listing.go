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

// isBefore reports whether a list is older than another one.
func (prv provenance) isBefore(oth provenance) bool {
	return prv.pos.Era < oth.pos.Era || prv.pos.Before(oth.pos)
}

// listMark is a [provenance] on the wire.
type listMark struct {
	Era    int64       `cbor:"1,keyasint"`
	Offset int64       `cbor:"2,keyasint"`
	Age    clock.Milli `cbor:"3,keyasint"`
}

// mark returns the provenance for another instance, nil if no list is known.
func (prv provenance) mark(now clock.Milli) *listMark {
	if prv.from == "" {
		return nil
	}
	return &listMark{Era: prv.pos.Era, Offset: prv.pos.Offset, Age: now - prv.asOf}
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
