package state

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/proto"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/evac"
	"amaranthvalve/pkg/gossip"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
)

// attachState adds the state of this instance to an outgoing message: leaving endpoints, uptime of
// the store, digest of the facts, position of the evacuations, and offset and age of the documents.
func (ctl *Control) attachState(msg *peer.Message) {
	msg.Leaving = ctl.endpts.leavingIDs()
	now, rds := ctl.set.Clock.Now(), ctl.endpts.reads
	if msg.StoreUptime = rds.uptime(now); msg.StoreUptime > 0 {
		msg.StoreReadAge = now - rds.until
	}
	msg.Digest = ctl.facts.spread.Digest()
	msg.Evacuations = ctl.evacs.attached()
	if ctl.docs.plan != nil {
		msg.Known, msg.Applied, msg.Version, msg.Age = true, ctl.docs.doc.Offset, ctl.docs.version(), ctl.set.Clock.Since(ctl.docs.asOf)
	}
}

// receive applies what a message carries: leaving endpoints, facts, and documents that are as new
// as ours or newer. Ages are used only from answers, since only their time in transit is bounded.
func (ctl *Control) receive(msg peer.Message, sent, now clock.Milli) {
	for _, id := range msg.Leaving {
		ctl.endpts.markLeaving(ident.Process(id), "reported by another instance", now)
	}
	ctl.facts.receive(msg, sent > 0, now)
	if sent > 0 && msg.StoreUptime > 0 {
		ctl.endpts.reads.merge(reads{known: true, since: sent - msg.StoreUptime, until: sent - msg.StoreReadAge})
	}
	lacks := ctl.evacs.receive(msg.Evacuations)
	switch {
	case !msg.Known:
	case lacks || ctl.docs.isOlder(msg.Version, msg.Applied):
		ctl.docs.fetchSnapshot(msg.From)
	case sent > 0 && ctl.docs.isSame(msg.Version, msg.Applied):
		ctl.docs.confirmByPeer(sent - msg.Age)
	}
}

// isOlder reports whether the documents in force are older than those of another instance, isSame whether they
// are the same. Instances of earlier builds name no version, only the offset.
func (dct *docsCtl) isOlder(version, offset int64) bool {
	if version == 0 {
		return offset > dct.doc.Offset
	}
	return version > dct.version()
}

func (dct *docsCtl) isSame(version, offset int64) bool {
	if version == 0 {
		return offset == dct.doc.Offset
	}
	return version == dct.version()
}

// snapshot is the state that an instance sends to another one with older documents or none.
type snapshot struct {
	Offset    int64            `cbor:"1,keyasint"`
	Text      []byte           `cbor:"2,keyasint"`
	Age       clock.Milli      `cbor:"3,keyasint"`
	Endpoints []proto.Endpoint `cbor:"4,keyasint"`
	// Members are all members that the sender knows.
	Members []member.Update `cbor:"5,keyasint,omitempty"`
	Era     int64           `cbor:"6,keyasint,omitempty"`
	// Evacuations is the set of evacuated data centres, nil from senders of earlier builds.
	Evacuations *evac.Records `cbor:"7,keyasint,omitempty"`
	// List tells where the endpoints come from; nil from senders of earlier builds.
	List *listMark `cbor:"8,keyasint,omitempty"`
	// Cold are the facts on endpoints that are cold.
	Cold []gossip.Fact `cbor:"15,keyasint,omitempty"`
}

// fetchSnapshot fetches the state of another instance.
func (dct *docsCtl) fetchSnapshot(from ident.Incarnation) {
	if dct.fetching || dct.ctl.set.Link == nil {
		return
	}
	dct.fetching = true
	dct.ctl.loop.Go(func(ctx context.Context) {
		actx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		sent := dct.ctl.set.Clock.Now()
		ans, err := dct.ctl.set.Link.Call(actx, from.Addr(), peer.Message{Kind: peer.GetState, From: dct.ctl.set.Self, To: from})
		dct.ctl.loop.Do(ctx, func(now clock.Milli) {
			dct.fetching = false
			var snp snapshot
			if err != nil || ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &snp) != nil {
				return
			}
			if snp.Evacuations != nil {
				dct.ctl.evacs.apply(*snp.Evacuations, sent-snp.Age, now, string(from))
			}
			dct.applyPeer(proto.Document{Position: proto.Position{Era: snp.Era, Offset: snp.Offset}, Text: snp.Text}, sent-snp.Age, now, string(from))
			dct.ctl.endpts.reads.merge(snp.List.reads(sent))
			dct.ctl.endpts.applySnapshot(snp.Endpoints, snp.List.provenance(provenance{}, sent, listedByState), now)
			dct.ctl.facts.take(snp.Cold, now)
			dct.ctl.list.Merge(snp.Members, now)
			dct.ctl.membersLoaded.fire()
		})
	})
}

// Handle answers a message of another instance; it is registered with the link.
func (ctl *Control) Handle(ctx context.Context, msg peer.Message) peer.Message {
	if msg.Kind == peer.IndirectProbe {
		return ctl.group.ProbeIndirect(ctx, msg)
	}
	ans, ok := loop.Get(ctx, ctl.loop, func(now clock.Milli) peer.Message { return ctl.answer(msg, now) })
	if !ok {
		return ctl.nack()
	}
	return ans
}

// answer answers a message on the control loop.
func (ctl *Control) answer(msg peer.Message, now clock.Milli) peer.Message {
	ctl.group.Receive(msg, 0, now)
	switch msg.Kind {
	case peer.PushFacts:
		return peer.Message{Kind: peer.OK, From: ctl.set.Self}
	case peer.Probe:
		ans := ctl.group.Message(peer.OK, msg.From)
		ans.Facts = ctl.facts.spread.Delta(msg.Digest, now)
		return ans
	case peer.GetState:
		return ctl.answerSnapshot(now)
	case peer.BeginTrial:
		return ctl.answerTrial(msg, now)
	case peer.EntryMissing:
		ctl.announceAgain()
		return ctl.group.Message(peer.OK, msg.From)
	}
	return ctl.nack()
}

func (ctl *Control) nack() peer.Message { return peer.Message{Kind: peer.Nack, From: ctl.set.Self} }

func (ctl *Control) answerSnapshot(now clock.Milli) peer.Message {
	if ctl.docs.plan == nil {
		return peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	}
	rec := ctl.evacs.set.Records(now)
	body, err := cbor.Marshal(snapshot{
		Offset: ctl.docs.doc.Offset, Text: ctl.docs.doc.Text, Age: now - ctl.docs.asOf, Endpoints: ctl.endpts.list,
		Members: ctl.list.AllUpdates(), Era: ctl.docs.doc.Era, Evacuations: &rec, List: ctl.endpts.listed.mark(ctl.endpts.reads, now), Cold: ctl.cold.current(now),
	})
	if err != nil {
		return peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	}
	return peer.Message{Kind: peer.OK, From: ctl.set.Self, Body: body}
}
