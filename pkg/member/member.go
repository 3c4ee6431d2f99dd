package member

import (
	"maps"
	"slices"

	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/ident"
)

//go:generate go tool stringer -type=Status -linecomment -output=status_string.go

// Status is what is believed of a member.
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
	// Period is the time between two probes of one instance; above MeshSize it
	// is twice that, for a probe with its answer is 1.3 KB on the wire, and an
	// instance is probed as often as it probes.
	Period = clock.Second
	// AckWait is how long a direct probe may take.
	AckWait = 300 * clock.Milli(1)
	// SuspectFor is how long a suspected member may clear itself.
	SuspectFor = 3 * clock.Second
	// ForgetAfter is how long a member that is proved to have ended is
	// remembered, so that late news can't bring it back. One that is only
	// silent is remembered until the platform takes it off its list: it may be
	// cut off, and a publisher must count on it.
	ForgetAfter = 10 * clock.Minute
	// SucceedFor is how long the name of who succeeded a member at its address may be
	// unknown while the address looks after names as before. When all restart at once, ends
	// are told faster than names.
	SucceedFor = 3 * clock.Second
	// IndirectProbes is how many others are asked to probe for us.
	IndirectProbes = 3
	// MeshSize is the number of members up to which everybody is probed.
	MeshSize = 16
	// Fanout is how many neighbours are probed above that.
	Fanout = 8
	// MaxNews is how many items ride on one message, and MaxEnded how many names of
	// ended members beside them: when all instances restart at once, each must hear of
	// as many ends as there are members, and until then counts the dead among the living.
	MaxNews  = 6
	MaxEnded = 24
	// When a member came, left or ended, SpreadEach probes more are sent, SpreadGap
	// apart, so that the news is everywhere within a second: three more hear of it from
	// each, 86 members in four rounds. With usual probes alone it takes a quarter of a
	// minute. In the long run such probes come no more often than one in SpreadPeriod,
	// with spreadMost at once.
	SpreadEach   = 3
	SpreadGap    = 100 * clock.Milli(1)
	SpreadPeriod = clock.Second
	spreadMost   = 6.0
)

// News is one item about a member, as it travels between instances.
type News struct {
	Who    ident.Incarnation `cbor:"1,keyasint"`
	Zone   string            `cbor:"2,keyasint"`
	Caller string            `cbor:"3,keyasint"`
	Seq    uint64            `cbor:"4,keyasint"`
	Status Status            `cbor:"5,keyasint"`
	// Applied is what the member has applied of the documents' stream, and
	// Beat grows with each period of it; both only grow.
	Applied int64  `cbor:"6,keyasint"`
	Beat    uint64 `cbor:"7,keyasint"`
	// Load is the requests under way at the member.
	Load int `cbor:"8,keyasint"`
	// Stale tells that the member may go by old documents; callers are sent to
	// others while there are any.
	Stale bool `cbor:"9,keyasint,omitempty"`
	// Capacity is how strong the member is, in cores; zero counts 1.
	Capacity float64 `cbor:"10,keyasint,omitempty"`
	// Gone tells that the member is proved to have ended, not merely silent.
	Gone bool `cbor:"11,keyasint,omitempty"`
}

// Member is what is known of one instance.
type Member struct {
	news  News
	heard clock.Milli
	since clock.Milli
	told  int
	// succeeded tells that another process is at its address, for some time.
	succeeded bool
}

// Who gives the member's identity.
func (mbr Member) Who() ident.Incarnation { return mbr.news.Who }

// Zone gives the member's data centre.
func (mbr Member) Zone() string { return mbr.news.Zone }

// Caller gives the address on which it serves callers.
func (mbr Member) Caller() string { return mbr.news.Caller }

// Status gives what is believed of it.
func (mbr Member) Status() Status { return mbr.news.Status }

// Applied gives what it said it has applied of the documents' stream.
func (mbr Member) Applied() int64 { return mbr.news.Applied }

// Load gives the requests that it said were under way.
func (mbr Member) Load() int { return mbr.news.Load }

// Stale tells that the member said it may go by old documents.
func (mbr Member) Stale() bool { return mbr.news.Stale }

// Heard gives the instant of the last sign of life, direct or by others.
func (mbr Member) Heard() clock.Milli { return mbr.heard }

// ActionKind tells what an [Action] asks for.
type ActionKind int

// The kinds of action.
const (
	SendProbe ActionKind = iota
	SendIndirect
)

// Action is what the caller must do: probe a member, or ask Via to probe it.
type Action struct {
	Kind   ActionKind
	Target ident.Incarnation
	Via    ident.Incarnation
}

// List is the membership as one instance sees it. Its zero value is not
// usable; see [New]. The control thread owns it.
type List struct {
	self    ident.Incarnation
	members map[ident.Incarnation]*Member
	order   []ident.Incarnation
	turn    int
	pending map[ident.Incarnation]pending
	due     clock.Milli
	// spread is how many probes more are to be sent for news, allowed how many may be,
	// as of allowedAt; after spreadDue.
	spread    int
	allowed   float64
	allowedAt clock.Milli
	spreadDue clock.Milli
	// changes counts what All and Homes follow from, signs of life and loads left out.
	changes uint64
}

type pending struct {
	sent     clock.Milli
	indirect bool
	// doubted tells that the member gave no answer to something else before.
	doubted bool
}

// New returns the list of an instance that knows only itself.
func New(self ident.Incarnation, zone, caller string, now clock.Milli) *List {
	lst := &List{
		self: self, members: map[ident.Incarnation]*Member{}, pending: map[ident.Incarnation]pending{},
		allowed: spreadMost, allowedAt: now,
	}
	lst.members[self] = &Member{news: News{Who: self, Zone: zone, Caller: caller, Seq: 1}, heard: now, since: now}
	return lst
}

// Self gives the instance's own identity.
func (lst *List) Self() ident.Incarnation { return lst.self }

// SetSelf notes what the instance tells of itself; leaving can't be undone.
func (lst *List) SetSelf(applied int64, load int, leaving bool, now clock.Milli) {
	me := lst.members[lst.self]
	me.news.Applied = max(me.news.Applied, applied)
	me.news.Load = load
	me.heard = now
	if leaving && me.news.Status == Alive {
		me.news.Status = Leaving
		me.news.Seq++
		me.told = 0
		lst.changes++
		lst.spread = SpreadEach
	}
}

// SetCapacity notes how strong the instance is, in cores.
func (lst *List) SetCapacity(cores float64) {
	lst.members[lst.self].news.Capacity = cores
	lst.changes++
}

// SetStale notes whether the instance's own documents may be old.
func (lst *List) SetStale(stale bool) {
	if me := lst.members[lst.self]; me.news.Stale != stale {
		me.news.Stale = stale
		lst.changes++
	}
}

// Changes grows whenever a member comes or goes or its status, strength or staleness
// changes. While it stays the same, whatever follows from who is there does too.
func (lst *List) Changes() uint64 { return lst.changes }

// Find gives what is known of a member.
func (lst *List) Find(who ident.Incarnation) (Member, bool) {
	mbr, ok := lst.members[who]
	if !ok {
		return Member{}, false
	}
	return *mbr, true
}

// All gives every member that is not dead, the instance itself included, in
// the order of their names.
func (lst *List) All() []Member {
	var all []Member
	for _, mbr := range lst.members {
		if mbr.news.Status != Dead {
			all = append(all, *mbr)
		}
	}
	slices.SortFunc(all, func(x, y Member) int { return compare(x.Who(), y.Who()) })
	return all
}

// IsLive tells whether a member may still act: alive, leaving or suspected.
// One that was never heard of is not live.
func (lst *List) IsLive(who ident.Incarnation) bool {
	mbr, ok := lst.members[who]
	return ok && mbr.news.Status != Dead
}

// Learn takes news from another instance and tells whether any of it was new.
func (lst *List) Learn(items []News, now clock.Milli) bool {
	changed := false
	for _, item := range items {
		changed = lst.learn(item, now) || changed
	}
	return changed
}

func (lst *List) learn(item News, now clock.Milli) bool {
	if item.Who == lst.self {
		return lst.refute(item)
	}
	cur, ok := lst.members[item.Who]
	switch {
	case ok && cur.news.Gone:
		// Proved to have ended; late news of it is only late.
		return false
	case item.Gone || item.Who.Addr() == lst.self.Addr():
		// Nobody else can be at our own address: whoever was there has ended. The
		// others hear it from us; left to find out by probing, hundreds that were
		// all restarted at once counted those before them among the living for half
		// a minute, and agreed on nothing that follows from who is alive.
		lst.End(item.Who, now)
		return true
	case !ok:
		lst.add(item, now)
		return true
	}
	fresh := item.Beat > cur.news.Beat
	if fresh {
		// The member itself took another turn since we last heard of it.
		if cur.news.Stale != item.Stale || cur.news.Capacity != item.Capacity {
			lst.changes++
		}
		cur.news.Beat, cur.news.Load, cur.news.Stale = item.Beat, item.Load, item.Stale
		cur.news.Capacity = item.Capacity
		cur.heard = now
	}
	cur.news.Applied = max(cur.news.Applied, item.Applied)
	if !overrides(item, cur.news) {
		return fresh
	}
	if item.Status != cur.news.Status && item.Status != Suspect && cur.news.Status != Suspect {
		lst.spread = SpreadEach
	}
	cur.news.Seq, cur.news.Status = item.Seq, item.Status
	cur.since, cur.told = now, 0
	lst.changes++
	return true
}

// overrides is the paper's rule: a higher sequence number wins, at the same one
// the worse status does. Unlike in the paper a member taken for dead may refute
// that too: when a cut between regions heals, each side takes the other for
// dead, and were that final the system would stay in two halves for good.
func overrides(item, cur News) bool {
	if item.Seq != cur.Seq {
		return item.Seq > cur.Seq
	}
	return item.Status > cur.Status
}

// refute answers a suspicion of ourselves with a higher sequence number.
// Without it a member whose acknowledgement was lost is thrown out while it
// serves, and its callers' keys are declared unknown.
func (lst *List) refute(item News) bool {
	me := lst.members[lst.self]
	if item.Status <= Leaving || item.Seq < me.news.Seq {
		return false
	}
	me.news.Seq = item.Seq + 1
	me.told = 0
	return true
}

// add takes in a member that was not known. An older incarnation at the same
// address is left alone: news of it may be the later of the two, and the next
// probe of that address tells for certain which one is there (see Drop).
func (lst *List) add(item News, now clock.Milli) {
	lst.members[item.Who] = &Member{news: item, heard: now, since: now}
	lst.spread = SpreadEach
	lst.changes++
}

func (lst *List) kill(mbr *Member, now clock.Milli) {
	mbr.news.Status = Dead
	mbr.since, mbr.told = now, 0
	lst.changes++
}

// Tick makes time pass: suspicions mature, the dead are forgotten, and once a
// period a member is probed.
func (lst *List) Tick(now clock.Milli) []Action {
	lst.age(now)
	actions := lst.lateProbes(now)
	switch {
	case now >= lst.due:
		lst.due = now + lst.period()
		lst.members[lst.self].news.Beat++
	case !lst.spreads(now):
		return actions
	}
	if target, ok := lst.nextTarget(); ok {
		lst.pending[target] = pending{sent: now}
		actions = append(actions, Action{Kind: SendProbe, Target: target})
	}
	return actions
}

// spreads tells whether a probe is to be sent now for the news that it carries.
func (lst *List) spreads(now clock.Milli) bool {
	lst.allowed = min(lst.allowed+float64(now-lst.allowedAt)/float64(SpreadPeriod), spreadMost)
	lst.allowedAt = now
	if lst.spread == 0 || lst.allowed < 1 || now < lst.spreadDue {
		return false
	}
	lst.spread--
	lst.allowed--
	lst.spreadDue = now + SpreadGap
	return true
}

func (lst *List) period() clock.Milli {
	if len(lst.members) > MeshSize {
		return 2 * Period
	}
	return Period
}

func (lst *List) age(now clock.Milli) {
	for who, mbr := range lst.members {
		switch {
		case mbr.news.Status == Suspect && now-max(mbr.since, mbr.heard) >= SuspectFor:
			// A sign of life since the suspicion, direct or passed on, puts
			// the end off: where a fifth of the messages is lost, a refutation
			// often takes longer than SuspectFor, and members that served well
			// were taken for dead.
			lst.kill(mbr, now)
		case mbr.news.Gone && now-mbr.since >= ForgetAfter:
			delete(lst.members, who)
			lst.changes++
		case mbr.succeeded && now-mbr.since >= SucceedFor:
			mbr.succeeded = false
			lst.changes++
		}
	}
}

// lateProbes asks others to probe what did not answer us, then suspects it.
func (lst *List) lateProbes(now clock.Milli) []Action {
	var actions []Action
	for _, target := range slices.Sorted(maps.Keys(lst.pending)) {
		pnd := lst.pending[target]
		switch {
		case !pnd.indirect && now-pnd.sent >= AckWait:
			lst.pending[target] = pending{sent: pnd.sent, indirect: true, doubted: pnd.doubted}
			for _, via := range lst.helpers(target) {
				actions = append(actions, Action{Kind: SendIndirect, Target: target, Via: via})
			}
		case now-pnd.sent >= Period:
			delete(lst.pending, target)
			lst.suspect(target, now)
			if pnd.doubted {
				// The others are about to ask it too.
				lst.spread = SpreadEach
			}
		}
	}
	return actions
}

func (lst *List) suspect(who ident.Incarnation, now clock.Milli) {
	mbr, ok := lst.members[who]
	if ok && mbr.news.Status <= Leaving {
		mbr.news.Status = Suspect
		mbr.since, mbr.told = now, 0
		lst.changes++
	}
}

// Doubt asks for a probe of a member that gave no answer when it was asked for something.
// It is suspected a period later unless it answers. By turn it is probed once in some
// seconds; meanwhile each request that needs it waits in vain and goes elsewhere, and
// where most instances lost power together every pool of endpoints is looked after by
// many at once.
func (lst *List) Doubt(who ident.Incarnation, now clock.Milli) (Action, bool) {
	if _, waiting := lst.pending[who]; waiting || who == lst.self || !lst.IsLive(who) {
		return Action{}, false
	}
	lst.pending[who] = pending{sent: now, doubted: true}
	return Action{Kind: SendProbe, Target: who}, true
}

// Ack notes that a member answered a probe, ours or one made for us.
func (lst *List) Ack(who ident.Incarnation, now clock.Milli) {
	delete(lst.pending, who)
	if mbr, ok := lst.members[who]; ok && mbr.news.Status != Dead {
		mbr.heard = now
	}
}

// Drop notes that an address answered as another incarnation, so that this one
// is gone for certain.
func (lst *List) Drop(who ident.Incarnation, now clock.Milli) {
	if _, ok := lst.members[who]; ok {
		lst.End(who, now)
	}
}

// End notes that a member is proved to have ended, also one that was not known, so that
// late news doesn't make it one. It is passed on.
func (lst *List) End(who ident.Incarnation, now clock.Milli) {
	if who == lst.self {
		return
	}
	delete(lst.pending, who)
	mbr, ok := lst.members[who]
	if !ok {
		mbr = &Member{news: News{Who: who}, heard: now}
		lst.members[who] = mbr
	}
	if !mbr.news.Gone {
		// The end is proved by whoever is at the address now.
		mbr.succeeded = ok
		mbr.news.Gone = true
		lst.kill(mbr, now)
		lst.spread = SpreadEach
	}
}

// Delist notes that the platform has taken a member that is already taken for
// dead off its instance list: the silent process has ended for certain.
func (lst *List) Delist(who ident.Incarnation) {
	if mbr, ok := lst.members[who]; ok && mbr.news.Status == Dead {
		mbr.news.Gone = true
	}
}

// Dead lists the members taken for dead whose end is not proved. They are
// greeted while the platform lists them, for they may be cut off and not dead.
func (lst *List) Dead() []ident.Incarnation {
	var dead []ident.Incarnation
	for who, mbr := range lst.members {
		if mbr.news.Status == Dead && !mbr.news.Gone {
			dead = append(dead, who)
		}
	}
	slices.Sort(dead)
	return dead
}

// Everybody gives the news of all members, for an instance that knows few: told some at a
// time it would rank the wrong ones for a quarter of a minute.
func (lst *List) Everybody() []News {
	all := make([]News, 0, len(lst.members))
	for _, mbr := range lst.members {
		all = append(all, mbr.news)
	}
	slices.SortFunc(all, func(x, y News) int { return compare(x.Who, y.Who) })
	return all
}

// Gossip gives the news for the next message to a member: the instance's own, a
// suspicion of the receiver, so that it can clear itself at once, then what was
// told the fewest times, and beside that the names of ended members. Each item is told
// to about 3·log2(n) others.
func (lst *List) Gossip(to ident.Incarnation) []News {
	items := []News{lst.members[lst.self].news}
	if mbr, ok := lst.members[to]; ok && mbr.news.Status >= Suspect {
		items = append(items, mbr.news)
	}
	most := 3 * log2(len(lst.members)+1)
	var rest, ended []*Member
	for who, mbr := range lst.members {
		switch {
		case who == lst.self || who == to || mbr.told >= most && mbr.news.Status == Dead:
		case mbr.news.Gone:
			ended = append(ended, mbr)
		default:
			rest = append(rest, mbr)
		}
	}
	for _, mbr := range leastTold(rest, MaxNews-1) {
		items = append(items, mbr.news)
	}
	for _, mbr := range leastTold(ended, MaxEnded) {
		items = append(items, News{Who: mbr.news.Who, Status: Dead, Gone: true})
	}
	return items
}

// leastTold gives the members that were told the fewest times, and counts them as told.
func leastTold(list []*Member, most int) []*Member {
	slices.SortFunc(list, func(x, y *Member) int {
		if x.told != y.told {
			return x.told - y.told
		}
		return compare(x.Who(), y.Who())
	})
	list = list[:min(len(list), most)]
	for _, mbr := range list {
		mbr.told++
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
