package member

import (
	"maps"
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

//go:generate go tool stringer -type=Status -linecomment -output=status_string.go

// Status is the believed state of a member.
type Status int

// The statuses, in the order in which they override one another at the same
// sequence number.
const (
	Alive   Status = iota // alive
	Leaving               // leaving
	Suspect               // suspect
	Dead                  // dead
)

// Protocol constants.
const (
	// Period is the interval between probes sent by one instance. Above MeshSize it is
	// doubled: a probe with its acknowledgement takes 1.3 KB on the wire, and an instance
	// is probed as often as it probes.
	Period = clock.Second
	// AckWait is the timeout of a direct probe.
	AckWait = 300 * clock.Milli(1)
	// SuspectFor is how long a suspected member may refute the suspicion.
	SuspectFor = 3 * clock.Second
	// ForgetAfter is the retention of a member that is proved to have ended, so that stale
	// updates can't bring it back. A member that is only unresponsive is kept until the
	// platform removes it from its list: it may be partitioned, and a publisher must take
	// it into account.
	ForgetAfter = 10 * clock.Minute
	// ReplacedFor is how long an address keeps the names that it owns while the incarnation
	// that replaced its process is unknown. When all instances restart at once, ends spread
	// faster than new incarnations.
	ReplacedFor = 3 * clock.Second
	// IndirectProbes is the number of instances asked to probe a target indirectly.
	IndirectProbes = 3
	// MeshSize is the largest number of members at which every instance probes every other.
	MeshSize = 16
	// Fanout is the number of neighbours that are probed above MeshSize.
	Fanout = 8
	// MaxUpdates is the maximum number of updates in a message, and MaxEnded that of
	// additional names of ended members. After a simultaneous restart as many ends as there
	// are members have to reach each instance, which counts the ended ones as live until
	// then.
	MaxUpdates = 6
	MaxEnded   = 24
	// ExtraProbes additional probes are sent, ExtraProbeGap apart, when a member joins,
	// leaves or ends, or is suspected in a mesh, so that the update reaches all instances within a second: each passes
	// it on to three more, 86 members in four rounds. Regular probes alone take a quarter
	// of a minute. The long-term rate of additional probes is one per ExtraProbePeriod,
	// with bursts of extraProbeBurst.
	ExtraProbes      = 3
	ExtraProbeGap    = 100 * clock.Milli(1)
	ExtraProbePeriod = clock.Second
	extraProbeBurst  = 6.0
)

// Update is an update about one member as instances exchange it.
type Update struct {
	ID     ident.Incarnation `cbor:"1,keyasint"`
	Zone   string            `cbor:"2,keyasint"`
	Caller string            `cbor:"3,keyasint"`
	Seq    uint64            `cbor:"4,keyasint"`
	Status Status            `cbor:"5,keyasint"`
	// Applied is the offset of the documents' stream that the member has applied, Beat the
	// number of its periods. Neither decreases.
	Applied int64  `cbor:"6,keyasint"`
	Beat    uint64 `cbor:"7,keyasint"`
	// Load is the number of requests in flight at the member.
	Load int `cbor:"8,keyasint"`
	// Stale reports that the member's documents may be out of date; callers are directed to
	// other members while there are any.
	Stale bool `cbor:"9,keyasint,omitempty"`
	// Capacity is the CPU capacity of the member in cores; zero counts as 1.
	Capacity float64 `cbor:"10,keyasint,omitempty"`
	// Blind reports that the member reaches no endpoint itself; it owns names only if all members are
	// blind.
	Blind bool `cbor:"12,keyasint,omitempty"`
	// Recovering reports that a blind member reaches endpoints again: it may relay connections, though it
	// doesn't own names yet.
	Recovering bool `cbor:"13,keyasint,omitempty"`
	// Ended reports that the member is proved to have ended and is not merely unresponsive.
	Ended bool `cbor:"11,keyasint,omitempty"`
}

// Member is the known state of one instance.
type Member struct {
	update Update
	// lastSeen is the time of the last sign of life, changedAt that of the last change of status.
	lastSeen  clock.Milli
	changedAt clock.Milli
	// sends counts the messages that carried the latest update about the member.
	sends int
	// replaced reports that another process is at the address; cleared after ReplacedFor.
	replaced bool
}

// ID returns the member's identity.
func (mbr Member) ID() ident.Incarnation { return mbr.update.ID }

// Zone returns the member's data centre.
func (mbr Member) Zone() string { return mbr.update.Zone }

// Caller returns the address on which the member serves callers.
func (mbr Member) Caller() string { return mbr.update.Caller }

// Status returns the member's believed state.
func (mbr Member) Status() Status { return mbr.update.Status }

// Applied returns the offset of the documents' stream that the member reported as applied.
func (mbr Member) Applied() int64 { return mbr.update.Applied }

// Load returns the number of requests in flight that the member reported.
func (mbr Member) Load() int { return mbr.update.Load }

// Stale reports whether the member declared that its documents may be out of date.
func (mbr Member) Stale() bool { return mbr.update.Stale }

// Blind reports whether the member declared that it reaches no endpoint itself, or did so a moment ago.
func (mbr Member) Blind() bool { return mbr.update.Blind }

// ReachesEndpoints reports whether the member reaches endpoints itself, as far as it has declared.
func (mbr Member) ReachesEndpoints() bool { return !mbr.update.Blind || mbr.update.Recovering }

// Capacity returns the member's capacity in cores.
func (mbr Member) Capacity() float64 { return mbr.capacity() }

// LastSeen returns the time of the last sign of life, received directly or through others.
func (mbr Member) LastSeen() clock.Milli { return mbr.lastSeen }

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of action.
const (
	SendProbe ActionKind = iota
	SendIndirect
)

// Action is a message for the caller to send: a probe of Target, or a request to Via to
// probe Target.
type Action struct {
	Kind   ActionKind
	Target ident.Incarnation
	Via    ident.Incarnation
}

// List is the membership as one instance sees it. Its zero value is not usable; see [New].
// It is owned by the control loop.
type List struct {
	self        ident.Incarnation
	members     map[ident.Incarnation]*Member
	order       []ident.Incarnation
	nextIndex   int
	pending     map[ident.Incarnation]pending
	nextProbeAt clock.Milli
	// extraProbes is the number of additional probes still to send, not before nextExtraAt.
	// extraBudget is the number that may be sent, as of extraBudgetAt.
	extraProbes   int
	extraBudget   float64
	extraBudgetAt clock.Milli
	nextExtraAt   clock.Milli
	// changes counts changes of the state from which All and Owners are derived; signs of
	// life and loads are not counted.
	changes uint64
}

type pending struct {
	sent     clock.Milli
	indirect bool
	// requested reports that the probe was requested because the member did not answer a
	// request.
	requested bool
}

// New returns the list of an instance that knows no other instance.
func New(self ident.Incarnation, zone, caller string, now clock.Milli) *List {
	lst := &List{
		self: self, members: map[ident.Incarnation]*Member{}, pending: map[ident.Incarnation]pending{},
		extraBudget: extraProbeBurst, extraBudgetAt: now,
	}
	lst.members[self] = &Member{update: Update{ID: self, Zone: zone, Caller: caller, Seq: 1}, lastSeen: now, changedAt: now}
	return lst
}

// Self returns the instance's own identity.
func (lst *List) Self() ident.Incarnation { return lst.self }

// SetSelf sets what the instance reports of itself; leaving can't be undone.
func (lst *List) SetSelf(applied int64, load int, leaving bool, now clock.Milli) {
	me := lst.members[lst.self]
	me.update.Applied = max(me.update.Applied, applied)
	me.update.Load = load
	me.lastSeen = now
	if leaving && me.update.Status == Alive {
		me.update.Status = Leaving
		me.update.Seq++
		me.sends = 0
		lst.changes++
		lst.extraProbes = ExtraProbes
	}
}

// SetCapacity sets the instance's own capacity in cores.
func (lst *List) SetCapacity(cores float64) {
	lst.members[lst.self].update.Capacity = cores
	lst.changes++
}

// SetStale sets whether the instance's own documents may be out of date.
func (lst *List) SetStale(stale bool) {
	if me := lst.members[lst.self]; me.update.Stale != stale {
		me.update.Stale = stale
		lst.changes++
	}
}

// SetBlind sets whether the instance itself reaches no endpoint, or, recovering, did so a moment ago. The
// change is spread at once: the others go on sending it orders until they know.
func (lst *List) SetBlind(blind, recovering bool) {
	me := lst.members[lst.self]
	if me.update.Blind == blind && me.update.Recovering == recovering {
		return
	}
	me.update.Blind, me.update.Recovering = blind, recovering
	me.update.Beat++
	lst.changes++
	lst.extraProbes = ExtraProbes
}

// Changes increases whenever a member joins or ends or its status, capacity, staleness or
// blindness changes. While it is unchanged, so is everything derived from the membership.
func (lst *List) Changes() uint64 { return lst.changes }

// Find returns the known state of a member.
func (lst *List) Find(who ident.Incarnation) (Member, bool) {
	mbr, ok := lst.members[who]
	if !ok {
		return Member{}, false
	}
	return *mbr, true
}

// All returns every member that is not dead, including the instance itself, ordered by
// identity.
func (lst *List) All() []Member {
	var all []Member
	for _, mbr := range lst.members {
		if mbr.update.Status != Dead {
			all = append(all, *mbr)
		}
	}
	slices.SortFunc(all, func(x, y Member) int { return compare(x.ID(), y.ID()) })
	return all
}

// IsLive reports whether a member may still act: alive, leaving or suspected. An unknown
// member is not live.
func (lst *List) IsLive(who ident.Incarnation) bool {
	mbr, ok := lst.members[who]
	return ok && mbr.update.Status != Dead
}

// Merge merges updates from another instance and reports whether any of them was new.
func (lst *List) Merge(items []Update, now clock.Milli) bool {
	changed := false
	for _, item := range items {
		changed = lst.learn(item, now) || changed
	}
	return changed
}

func (lst *List) learn(item Update, now clock.Milli) bool {
	if item.ID == lst.self {
		return lst.refute(item)
	}
	cur, ok := lst.members[item.ID]
	switch {
	case ok && cur.update.Ended:
		// Proved to have ended; any further update is stale.
		return false
	case item.Ended || item.ID.Addr() == lst.self.Addr():
		// No other process can be at this instance's own address, so that the one listed
		// there has ended. The end is spread from here: when hundreds of instances
		// restarted at once and found the ended ones by probing alone, they counted them as
		// live for half a minute and did not agree on any owner.
		lst.MarkEnded(item.ID, now)
		return true
	case !ok:
		lst.add(item, now)
		return true
	}
	fresh := item.Beat > cur.update.Beat
	if fresh {
		// The member has completed another period since the last update.
		if cur.update.Stale != item.Stale || cur.update.Capacity != item.Capacity {
			lst.changes++
		}
		cur.update.Beat, cur.update.Load, cur.update.Stale = item.Beat, item.Load, item.Stale
		cur.update.Capacity = item.Capacity
		cur.lastSeen = now
		if cur.update.Blind != item.Blind || cur.update.Recovering != item.Recovering {
			cur.update.Blind, cur.update.Recovering, cur.sends = item.Blind, item.Recovering, 0
			lst.changes++
			lst.extraProbes = ExtraProbes
		}
	}
	cur.update.Applied = max(cur.update.Applied, item.Applied)
	if !overrides(item, cur.update) {
		return fresh
	}
	if item.Status != cur.update.Status && item.Status != Suspect && cur.update.Status != Suspect {
		lst.extraProbes = ExtraProbes
	}
	cur.update.Seq, cur.update.Status = item.Seq, item.Status
	cur.changedAt, cur.sends = now, 0
	lst.changes++
	return true
}

// overrides implements the precedence rule of the paper: the higher sequence number wins,
// and the worse status at the same one. Unlike in the paper, a member declared dead may
// refute that too: after a partition between regions heals, each side has declared the
// other dead, and if that were final the system would stay split.
func overrides(item, cur Update) bool {
	if item.Seq != cur.Seq {
		return item.Seq > cur.Seq
	}
	return item.Status > cur.Status
}

// refute answers a suspicion of this instance with a higher sequence number. Otherwise a
// member whose acknowledgement was lost would be removed while it serves, and the keys that
// it holds would be answered as unknown.
func (lst *List) refute(item Update) bool {
	me := lst.members[lst.self]
	if item.Status <= Leaving || item.Seq < me.update.Seq {
		return false
	}
	me.update.Seq = item.Seq + 1
	me.sends = 0
	return true
}

// add adds an unknown member. An older incarnation at the same address is kept: an update
// about it may be the more recent of the two, and the next probe of the address proves
// which one is there (see [List.MarkReplaced]).
func (lst *List) add(item Update, now clock.Milli) {
	lst.members[item.ID] = &Member{update: item, lastSeen: now, changedAt: now}
	lst.extraProbes = ExtraProbes
	lst.changes++
}

func (lst *List) kill(mbr *Member, now clock.Milli) {
	mbr.update.Status = Dead
	mbr.changedAt, mbr.sends = now, 0
	lst.changes++
}

// Tick advances the protocol to the given time: it expires suspicions, removes ended
// members and probes one member per period.
func (lst *List) Tick(now clock.Milli) []Action {
	lst.expire(now)
	actions := lst.overdueProbes(now)
	switch {
	case now >= lst.nextProbeAt:
		lst.nextProbeAt = now + lst.period()
		lst.members[lst.self].update.Beat++
	case !lst.takeExtraProbe(now):
		return actions
	}
	if target, ok := lst.nextTarget(); ok {
		lst.pending[target] = pending{sent: now}
		actions = append(actions, Action{Kind: SendProbe, Target: target})
	}
	return actions
}

// takeExtraProbe reports whether an additional probe is to be sent now, and counts it.
func (lst *List) takeExtraProbe(now clock.Milli) bool {
	lst.extraBudget = min(lst.extraBudget+float64(now-lst.extraBudgetAt)/float64(ExtraProbePeriod), extraProbeBurst)
	lst.extraBudgetAt = now
	if lst.extraProbes == 0 || lst.extraBudget < 1 || now < lst.nextExtraAt {
		return false
	}
	lst.extraProbes--
	lst.extraBudget--
	lst.nextExtraAt = now + ExtraProbeGap
	return true
}

func (lst *List) period() clock.Milli {
	if len(lst.members) > MeshSize {
		return 2 * Period
	}
	return Period
}

func (lst *List) expire(now clock.Milli) {
	for who, mbr := range lst.members {
		switch {
		case mbr.update.Status == Suspect && now-max(mbr.changedAt, mbr.lastSeen) >= SuspectFor:
			// A sign of life since the suspicion, direct or through others, postpones the
			// expiry: with a fifth of the messages lost, a refutation often takes longer
			// than SuspectFor, and healthy members were declared dead.
			lst.kill(mbr, now)
		case mbr.update.Ended && now-mbr.changedAt >= ForgetAfter:
			delete(lst.members, who)
			lst.changes++
		case mbr.replaced && now-mbr.changedAt >= ReplacedFor:
			mbr.replaced = false
			lst.changes++
		}
	}
}

// overdueProbes starts indirect probes of members that did not acknowledge a direct one,
// and suspects those that did not acknowledge either.
func (lst *List) overdueProbes(now clock.Milli) []Action {
	var actions []Action
	for _, target := range slices.Sorted(maps.Keys(lst.pending)) {
		pnd := lst.pending[target]
		switch {
		case !pnd.indirect && now-pnd.sent >= AckWait:
			lst.pending[target] = pending{sent: pnd.sent, indirect: true, requested: pnd.requested}
			for _, via := range lst.helpers(target) {
				actions = append(actions, Action{Kind: SendIndirect, Target: target, Via: via})
			}
		case now-pnd.sent >= Period:
			delete(lst.pending, target)
			// Others may have been lost with it, and a mesh is probed in turn. In a larger system others tell of them.
			alarm := lst.suspect(target, now) && lst.IsMesh()
			if alarm {
				lst.extraBudget = max(lst.extraBudget, ExtraProbes)
			}
			if alarm || pnd.requested {
				lst.extraProbes = ExtraProbes
			}
		}
	}
	return actions
}

// suspect records that a member did not acknowledge a probe, and reports whether that is new.
func (lst *List) suspect(who ident.Incarnation, now clock.Milli) bool {
	mbr, ok := lst.members[who]
	if !ok || mbr.update.Status > Leaving {
		return false
	}
	mbr.update.Status = Suspect
	mbr.changedAt, mbr.sends = now, 0
	lst.changes++
	return true
}

// RequestProbe returns a probe of a member that did not answer a request; unless the member
// acknowledges it, it is suspected one period later. Regular probes reach a member only
// every few seconds. Until then each request that needs it would time out first, and after
// a power failure of most instances every pool would have several coordinators at once.
func (lst *List) RequestProbe(who ident.Incarnation, now clock.Milli) (Action, bool) {
	if _, waiting := lst.pending[who]; waiting || who == lst.self || !lst.IsLive(who) {
		return Action{}, false
	}
	lst.pending[who] = pending{sent: now, requested: true}
	return Action{Kind: SendProbe, Target: who}, true
}

// Ack records that a member acknowledged a direct or indirect probe.
func (lst *List) Ack(who ident.Incarnation, now clock.Milli) {
	delete(lst.pending, who)
	if mbr, ok := lst.members[who]; ok && mbr.update.Status != Dead {
		mbr.lastSeen = now
	}
}

// MarkReplaced records that another incarnation answered at the member's address, which
// proves that the member has ended.
func (lst *List) MarkReplaced(who ident.Incarnation, now clock.Milli) {
	if _, ok := lst.members[who]; ok {
		lst.MarkEnded(who, now)
	}
}

// MarkEnded records that a member is proved to have ended, including an unknown one, so that
// stale updates can't add it. The end is spread to the other instances.
func (lst *List) MarkEnded(who ident.Incarnation, now clock.Milli) {
	if who == lst.self {
		return
	}
	delete(lst.pending, who)
	mbr, ok := lst.members[who]
	if !ok {
		mbr = &Member{update: Update{ID: who}, lastSeen: now}
		lst.members[who] = mbr
	}
	if !mbr.update.Ended {
		// The end is proved by the process that is at the address now.
		mbr.replaced = ok
		mbr.update.Ended = true
		lst.kill(mbr, now)
		lst.extraProbes = ExtraProbes
	}
}

// Delist records that the platform has removed a member declared dead from its instance
// list, which proves that its process has ended.
func (lst *List) Delist(who ident.Incarnation) {
	if mbr, ok := lst.members[who]; ok && mbr.update.Status == Dead {
		mbr.update.Ended = true
	}
}

// Unconfirmed returns the members declared dead whose end is not proved. They are probed
// while the platform lists them, since they may be partitioned.
func (lst *List) Unconfirmed() []ident.Incarnation {
	var dead []ident.Incarnation
	for who, mbr := range lst.members {
		if mbr.update.Status == Dead && !mbr.update.Ended {
			dead = append(dead, who)
		}
	}
	slices.Sort(dead)
	return dead
}

// AllUpdates returns the updates about all members, for an instance that knows few. Limited
// to the usual number in a message, the instance would rank the wrong owners for a quarter
// of a minute.
func (lst *List) AllUpdates() []Update {
	all := make([]Update, 0, len(lst.members))
	for _, mbr := range lst.members {
		all = append(all, mbr.update)
	}
	slices.SortFunc(all, func(x, y Update) int { return compare(x.ID, y.ID) })
	return all
}

// Updates returns the updates for the next message to a member: the instance's own, a
// suspicion of the receiver so that it can refute it at once, the least sent ones, and in
// addition names of ended members. An update of a dead member is sent about 3·log2(n)
// times.
func (lst *List) Updates(to ident.Incarnation) []Update {
	items := []Update{lst.members[lst.self].update}
	if mbr, ok := lst.members[to]; ok && mbr.update.Status >= Suspect {
		items = append(items, mbr.update)
	}
	most := 3 * log2(len(lst.members)+1)
	var rest, ended []*Member
	for who, mbr := range lst.members {
		switch {
		case who == lst.self || who == to || mbr.sends >= most && mbr.update.Status == Dead:
		case mbr.update.Ended:
			ended = append(ended, mbr)
		default:
			rest = append(rest, mbr)
		}
	}
	for _, mbr := range leastSent(rest, MaxUpdates-1) {
		items = append(items, mbr.update)
	}
	for _, mbr := range leastSent(ended, MaxEnded) {
		items = append(items, Update{ID: mbr.update.ID, Status: Dead, Ended: true})
	}
	return items
}

// leastSent returns the members whose updates were sent the fewest times, and counts these
// updates as sent once more.
func leastSent(list []*Member, most int) []*Member {
	slices.SortFunc(list, func(x, y *Member) int {
		if x.sends != y.sends {
			return x.sends - y.sends
		}
		return compare(x.ID(), y.ID())
	})
	list = list[:min(len(list), most)]
	for _, mbr := range list {
		mbr.sends++
	}
	return list
}

func log2(n int) int {
	bits := 0
	for ; n > 0; n >>= 1 {
		bits++
	}
	return bits
}
