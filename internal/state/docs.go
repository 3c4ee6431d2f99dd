package state

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthvalve/internal/loop"
	"amaranthvalve/internal/peer"
	"amaranthvalve/internal/talk"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
	"amaranthvalve/pkg/member"
	"amaranthvalve/pkg/plan"
	"amaranthvalve/pkg/retry"
)

const (
	// holdFor is how long the store is asked to hold a read. A change ends it
	// at once; the time only sets how often a quiet store is asked and how old
	// a view becomes before it is known to be in force.
	holdFor = 700 * clock.Milli(1)
	// holdShare is the part of the time for which tokens are honoured that a read is held at
	// the most. The next answer comes after two of them, and as much later as it is passed on.
	holdShare = 0.2
	// readWait bounds a read beyond the time it is held: a slow store answers
	// in some hundred milliseconds, a silent connection never does.
	readWait = 1500 * time.Millisecond
	// slowMost is the most that a slow store is granted before it counts as silent.
	slowMost = 500 * clock.Milli(1)
	// againAfter is the pause after a failed read; it doubles with each further one up to
	// againMost. Each call is paid for, refused ones too, and while the store is down all
	// instances ask it. The longest pause is how late an instance knows that the store is back, well within the
	// two seconds in which a change must be in force.
	againAfter = 250 * clock.Milli(1)
	againMost  = clock.Second
	// askAgain is the pause between two patient questions: one that is refused takes no time.
	askAgain = 100 * time.Millisecond
	// againSteps is after how many failures the pause is at its longest.
	againSteps = 3
	// stateWait bounds the question for another instance's documents.
	stateWait = time.Second
)

// docsCtl keeps the documents in force.
type docsCtl struct {
	ctl    *Control
	plan   *plan.Plan
	doc    talk.Document
	offset int64
	// asOf is the instant at which the documents were the newest.
	asOf   clock.Milli
	asking bool
	down   bool
	silent silence
	// told is the list of endpoints that a reader told last, empty once the store was
	// read itself.
	told listed
	// heardAt is when the store answered last, slow how long it took beyond what it was
	// asked to wait.
	heardAt clock.Milli
	slow    clock.Milli
}

// watch reads the documents, and then waits in the store for newer ones, or follows
// another instance that does.
func (dct *docsCtl) watch(ctx context.Context) {
	from, fails, unanswered, waited := int64(-1), 0, 0, false
	for ctx.Err() == nil {
		who, src := dct.ctl.source(dct.ctl.set.Clock.Now())
		if src == fromOther && unanswered < unansweredMost {
			// Whoever reads the store again later starts with a whole read.
			from = -1
			switch err := dct.followOnce(ctx, who, false); {
			case err == nil:
				fails, unanswered = 0, 0
			case !errors.Is(err, errOldNews):
				unanswered++
			}
			continue
		}
		if src == fromStoreRarely && from < 0 && dct.outwait(ctx) {
			continue
		}
		next, err := dct.read(ctx, from)
		unanswered = 0
		dct.contact(ctx, err)
		if err != nil {
			// The next read is a whole one: whatever happened to the log
			// meanwhile, the newest record of a key is there.
			from = -1
			pause(ctx, againSpan(fails))
			fails++
			continue
		}
		from, fails = next, 0
		dct.ctl.met.wait(ctx, othersWait)
		if dct.ctl.View().plan == nil && !waited {
			// Nothing can be served yet. Once the others are known, most instances hear of
			// the first documents from the few that watch for them.
			waited = true
			dct.ctl.met.wait(ctx, lookEvery[0]+lookMargin)
		}
	}
}

// againSpan gives the pause after so many failures in a row.
func againSpan(fails int) time.Duration {
	return retry.Spread(min(againAfter<<min(fails, againSteps), againMost) / 2).Duration()
}

// outwait waits for news while nobody has any, before this instance reads the store for
// itself: it asks readers and deputies in turn, who answer when they hear from the store
// again. It tells whether one of them did.
func (dct *docsCtl) outwait(ctx context.Context) bool {
	vw := dct.ctl.View()
	all := slices.Concat(vw.sources.readers, vw.sources.deputies)
	from, until := rand.IntN(max(len(all), 1)), dct.ctl.set.Clock.Now()+rareSpan(len(vw.members))
	for i := 0; ctx.Err() == nil && dct.ctl.set.Clock.Now() < until; i++ {
		if len(all) > 0 && dct.followOnce(ctx, all[(from+i)%len(all)], true) == nil {
			return true
		}
		pause(ctx, askAgain)
	}
	return false
}

// followOnce follows an instance for one answer; patiently, it is told of the next word from the
// store even if that has been silent. One that fails is left alone for a while.
func (dct *docsCtl) followOnce(ctx context.Context, who ident.Incarnation, patiently bool) error {
	err := dct.follow(ctx, who, patiently)
	if err == nil {
		dct.silent.add(who, 0)
	}
	if err == nil || ctx.Err() != nil {
		return err
	}
	now := dct.ctl.set.Clock.Now()
	dct.silent.add(who, now+readerSilent)
	dct.ctl.loop.Do(ctx, func(clock.Milli) { dct.ctl.endpts.followed = 0 })
	dct.ctl.set.Log.Info().Err(err).Str("reader", string(who)).Int64("view_age_ms", int64(dct.ctl.View().Age(now))).Msg("reader of the store lost")
	return err
}

// read waits for a change if from is known, and reads the newest documents. It
// gives the offset from which to watch.
func (dct *docsCtl) read(ctx context.Context, from int64) (int64, error) {
	store, clk := dct.ctl.set.Store, dct.ctl.set.Clock
	sent := clk.Now()
	if from >= 0 {
		hold := dct.ctl.capped(holdFor, holdShare)
		wctx, cancel := context.WithTimeout(ctx, hold.Duration()+readWait)
		changed, err := store.Watch(wctx, from, hold)
		cancel()
		if err != nil {
			return 0, err
		}
		if !changed {
			took := clk.Since(sent)
			dct.ctl.loop.Do(ctx, func(clock.Milli) {
				dct.confirm(sent)
				dct.slow = min(max(took-hold, 0), slowMost)
			})
			return from, nil
		}
	}
	rctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	sent = clk.Now()
	doc, err := store.Newest(rctx)
	if err != nil {
		return 0, err
	}
	dct.ctl.loop.Do(ctx, func(now clock.Milli) {
		// Whoever sees the documents must see that the store was heard too.
		dct.heardAt = now
		dct.take(doc, sent, now, "store")
	})
	return doc.End, nil
}

// capped gives a span, or a part of the time for which tokens are honoured if that is shorter.
func (ctl *Control) capped(span clock.Milli, part float64) clock.Milli {
	if ctl.set.TokensFor == 0 {
		return span
	}
	return min(span, clock.Milli(part*float64(ctl.set.TokensFor)))
}

// errStoreDown stands for the answer of a store that didn't answer for documents.
var errStoreDown = errors.New("the store didn't answer when it was asked for documents")

// storeDown tells whether the store failed to answer when it was asked for documents last.
// It is asked for those all the while; asked for anything else it would tell the same.
func (ctl *Control) storeDown(ctx context.Context) bool {
	down, ok := loop.Get(ctx, ctl.loop, func(clock.Milli) bool { return ctl.docs.down })
	return down || !ok
}

// contact writes down a lost or regained store.
func (dct *docsCtl) contact(ctx context.Context, err error) {
	defer dct.ctl.asked.give()
	dct.ctl.loop.Do(ctx, func(now clock.Milli) {
		if err == nil {
			dct.heardAt = now
		}
		if dct.down == (err != nil) {
			return
		}
		dct.down = err != nil
		evt := dct.ctl.set.Log.Info()
		if dct.down {
			evt = dct.ctl.set.Log.Warn().Err(err)
		}
		evt.Str("dependency", "store").Bool("lost", dct.down).Int64("view_age_ms", int64(now-dct.asOf)).Msg("dependency changed")
	})
}

// confirm notes that the documents were still the newest when a read was sent.
func (dct *docsCtl) confirm(sent clock.Milli) { dct.asOf = max(dct.asOf, sent) }

// take takes documents that were the newest at an instant. Older ones than those
// in force are a late answer, and are not taken: what callers have seen in force
// must not go back.
func (dct *docsCtl) take(doc talk.Document, sent, now clock.Milli, from string) {
	if doc.Offset < dct.offset {
		return
	}
	if doc.Offset == dct.offset {
		dct.confirm(sent)
		return
	}
	pln, faults := dct.ctl.set.Dialect.Compile(doc.Text)
	for _, fault := range faults {
		dct.ctl.set.Log.Error().Err(fault).Int64("offset", doc.Offset).Msg("a part of the documents can't be used")
	}
	if pln == nil {
		return
	}
	dct.ctl.set.Log.Info().Int64("version", pln.Version()).Int64("offset", doc.Offset).Int64("offset_before", dct.offset).
		Int64("age_ms", int64(now-sent)).Str("from", from).Int("routes", len(pln.Routes())).Int("faults", len(faults)).
		Msg("documents in force")
	dct.plan, dct.doc, dct.offset = pln, doc, doc.Offset
	dct.confirm(sent)
	dct.ctl.dirty = true
}

// dress adds the age of our documents to what we tell others.
func (ctl *Control) dress(msg *peer.Message) {
	msg.Left = ctl.endpts.lately()
	msg.Up = ctl.endpts.up(ctl.set.Clock.Now())
	msg.Digest = ctl.facts.spread.Digest()
	if ctl.docs.plan != nil {
		msg.Known, msg.Applied, msg.Age = true, ctl.docs.offset, ctl.set.Clock.Since(ctl.docs.asOf)
	}
}

// heard takes what another instance told: leaving endpoints, and documents that
// are as new as ours or newer. Only an answer's age can be used, since of it we
// know how long it may have been under way.
func (ctl *Control) heard(msg peer.Message, sent, now clock.Milli) {
	for _, id := range msg.Left {
		ctl.endpts.heardLeaving(ident.Process(id), "told by another instance", now)
	}
	ctl.facts.heard(msg, sent > 0, now)
	if sent > 0 {
		ctl.endpts.heardUpFor(msg.Up, sent)
	}
	switch {
	case !msg.Known:
	case msg.Applied > ctl.docs.offset:
		ctl.docs.askState(msg.From)
	case msg.Applied == ctl.docs.offset && sent > 0:
		ctl.docs.confirm(sent - msg.Age)
	}
}

// shared is what one instance gives another that has older documents or none.
type shared struct {
	Offset    int64           `cbor:"1,keyasint"`
	Text      []byte          `cbor:"2,keyasint"`
	Age       clock.Milli     `cbor:"3,keyasint"`
	Endpoints []talk.Endpoint `cbor:"4,keyasint"`
	// Members are all that the other instance knows of.
	Members []member.News `cbor:"5,keyasint,omitempty"`
}

// askState fetches another instance's documents.
func (dct *docsCtl) askState(from ident.Incarnation) {
	if dct.asking || dct.ctl.set.Link == nil {
		return
	}
	dct.asking = true
	dct.ctl.loop.Go(func(ctx context.Context) {
		actx, cancel := context.WithTimeout(ctx, stateWait)
		defer cancel()
		sent := dct.ctl.set.Clock.Now()
		ans, err := dct.ctl.set.Link.Ask(actx, from.Addr(), peer.Message{Kind: peer.StateWanted, From: dct.ctl.set.Self, To: from})
		dct.ctl.loop.Do(ctx, func(now clock.Milli) {
			dct.asking = false
			var shr shared
			if err != nil || ans.Kind != peer.OK || cbor.Unmarshal(ans.Body, &shr) != nil {
				return
			}
			dct.take(talk.Document{Offset: shr.Offset, Text: shr.Text}, sent-shr.Age, now, string(from))
			dct.ctl.endpts.takeShared(shr.Endpoints)
			dct.ctl.list.Learn(shr.Members, now)
			dct.ctl.met.give()
		})
	})
}

// Handle answers another instance; it is given to the link.
func (ctl *Control) Handle(ctx context.Context, msg peer.Message) peer.Message {
	if msg.Kind == peer.Indirect {
		return ctl.group.ProbeFor(ctx, msg)
	}
	ans, ok := loop.Get(ctx, ctl.loop, func(now clock.Milli) peer.Message { return ctl.answer(msg, now) })
	if !ok {
		return ctl.nack()
	}
	return ans
}

// answer takes a message on the control thread.
func (ctl *Control) answer(msg peer.Message, now clock.Milli) peer.Message {
	ctl.group.Learn(msg, 0, now)
	switch msg.Kind {
	case peer.FactsTold:
		return peer.Message{Kind: peer.OK, From: ctl.set.Self}
	case peer.Probe:
		ans := ctl.group.Message(peer.OK, msg.From)
		ans.Facts = ctl.facts.spread.Missing(msg.Digest, now)
		return ans
	case peer.StateWanted:
		return ctl.shareState(now)
	case peer.Unlisted:
		ctl.announceAgain()
		return ctl.group.Message(peer.OK, msg.From)
	}
	return ctl.nack()
}

func (ctl *Control) nack() peer.Message { return peer.Message{Kind: peer.Nack, From: ctl.set.Self} }

func (ctl *Control) shareState(now clock.Milli) peer.Message {
	if ctl.docs.plan == nil {
		return peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	}
	body, err := cbor.Marshal(shared{
		Offset: ctl.docs.offset, Text: ctl.docs.doc.Text, Age: now - ctl.docs.asOf, Endpoints: ctl.endpts.list,
		Members: ctl.list.Everybody(),
	})
	if err != nil {
		return peer.Message{Kind: peer.Nack, From: ctl.set.Self}
	}
	return peer.Message{Kind: peer.OK, From: ctl.set.Self, Body: body}
}
