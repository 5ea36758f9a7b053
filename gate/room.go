package gate

import (
	"math"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// lowestTier stands for the lowest tier there may be.
const lowestTier = math.MaxUint32

// usage is what of the server is held.
type usage struct {
	prefill        int64 // uncached prompt tokens in flight that are not computed yet
	memory         int64 // tokens of cache memory
	memoryCapacity int64 // 0 if not known
}

// memoryShare is how much of the cache memory is given out: estimates of output are often too low.
const memoryShare = 0.95

// why says why an attempt has no room. The empty one says that it has.
type why string

const (
	roomEnough  why = ""
	whyStarting why = "the engine is not proved free of earlier attempts"
	whyLeaving  why = "the server is leaving or gone"
	whySuspect  why = "the server is suspect"
	whySlots    why = "all slots are taken"
	whyHeadroom why = "the last slots are kept for the first tier"
	whyPrefill  why = "too many prompt tokens are in flight"
	whyMemory   why = "the cache memory is full"
	whyPace     why = "its prompt would make running answers of a higher tier late"
	whyRate     why = "the server takes only so many requests a second"
	whyBackoff  why = "the server asks to keep away for a while"
	whyTrial    why = "the first answer since the server may have asked to keep away is awaited"
	whyAlone    why = "a request under which servers crashed runs alone"
)

// noRoom says why an attempt can't start now.
func (g *Gate) noRoom(a *attempt) why {
	if reason := g.closed(); reason != roomEnough {
		return reason
	}
	if reason := g.notAlone(a); reason != roomEnough {
		return reason
	}
	if reason := g.throttled(); reason != roomEnough && !a.run.permitted {
		return reason
	}
	if g.server.state == serverSuspect {
		return g.probes.room(g, a)
	}
	slots := g.limit.slots()
	slots += g.offersAhead(a)
	held := g.heldBefore(a)
	if held >= slots {
		return whySlots
	}
	if a.tier() > firstTier && held >= slots-g.headroom.slots() {
		return whyHeadroom
	}
	if reason := g.noMemory(a); reason != roomEnough {
		return reason
	}
	if g.slowsHigher(a) {
		return whyPace
	}
	return g.noPrefill(a)
}

// closed says why nothing at all can start.
func (g *Gate) closed() why {
	switch g.server.state {
	case serverReady, serverSuspect:
		return roomEnough
	case serverAnnounced, serverLeaving:
		return whyStarting
	default:
		return whyLeaving
	}
}

// noMemory compares what all attempts need at their end with the cache memory. An engine out of memory evicts the
// prompts of running attempts and computes them again.
func (g *Gate) noMemory(a *attempt) why {
	if g.use.memoryCapacity <= 0 || len(g.held) == 0 || a.work.GetService() {
		return roomEnough
	}
	if float64(g.use.memory+need(a.work)) > memoryShare*float64(g.use.memoryCapacity) {
		return whyMemory
	}
	return roomEnough
}

// noPrefill bounds the prompt tokens in flight that the next prompt would wait for. Engines compute prompts in order
// of arrival: beyond the bound more of them only wait inside the engine, where no tier counts. The first tier is let
// in if it still ends in time.
func (g *Gate) noPrefill(a *attempt) why {
	if a.work.GetService() || g.use.prefill < g.pace.prefillBound() {
		return roomEnough
	}
	if a.tier() == firstTier && !g.misses(a, g.pace.prefillTime(g.use.prefill)) {
		return roomEnough
	}
	return whyPrefill
}

// need is the cache memory of an attempt at its end, in tokens.
func need(w *wire.Work) int64 {
	return int64(w.GetPromptTokens()) + int64(w.GetOutputTokens())
}

// holdRoom takes room and charges the organisation. An attempt that holds room already keeps it.
func (g *Gate) holdRoom(a *attempt) {
	if a.run.holds {
		return
	}
	a.run.holds = true
	a.run.prefill = a.uncached()
	a.run.memory = need(a.work)
	a.run.estimate = g.estimate(a.work)
	g.use.prefill += a.run.prefill
	g.use.memory += a.run.memory
	g.held = append(g.held, a)
	g.takePermit(a)
	if a.tier() <= firstTier && len(g.held) > g.limit.slots()-g.headroom.slots() {
		g.headroom.took()
	}
	g.waiting.tier(a.tier()).clock.Start(a.work.GetOrganisation(), a.run.estimate)
	g.room.dirty = true
}

// releaseRoom gives room back and settles what the attempt has cost.
func (g *Gate) releaseRoom(a *attempt, o *occasion) {
	cost := int64(0)
	if a.begun() {
		g.runs = slices.DeleteFunc(g.runs, func(other *attempt) bool { return other == a })
		cost = g.settle(a, o)
	}
	if a.run.estimate != 0 {
		g.waiting.tier(a.tier()).clock.Reconcile(a.work.GetOrganisation(), a.run.estimate, cost)
		a.run.estimate = 0
	}
	g.giveSlotBack(a)
}

func (g *Gate) giveSlotBack(a *attempt) {
	if !a.run.holds {
		return
	}
	a.run.holds = false
	g.returnPermit(a)
	g.prefillDone(a)
	g.use.memory -= a.run.memory
	g.held = slices.DeleteFunc(g.held, func(other *attempt) bool { return other == a })
	g.room.dirty = true
}

func (g *Gate) prefillDone(a *attempt) {
	if a.run.prefill == 0 {
		return
	}
	g.use.prefill -= a.run.prefill
	a.run.prefill = 0
	if g.use.prefill == 0 {
		g.pace.quietSince = g.now
	}
}

// Bounds of how often Room is broadcast, and of what counts as a change.
const (
	roomInterval  = 20 * time.Millisecond
	roomTolerance = 0.25
	roomBacklog   = 50 // ms
)

// roomState is what entries were told of the room.
type roomState struct {
	dirty bool
	told  *wire.Room
	sent  time.Time
}

// shareRoom broadcasts the room if it changed, at most once in roomInterval. A new condition goes at once.
func (g *Gate) shareRoom() {
	if !g.room.dirty || !g.cleared() || g.server.record == nil {
		return
	}
	if g.now.Sub(g.room.sent) < roomInterval && g.room.told != nil && g.room.told.Condition == g.condition() {
		return
	}
	g.room.dirty = false
	room := g.roomNow()
	if g.room.told != nil && !differs(room, g.room.told) {
		return
	}
	g.room.told = room
	g.room.sent = g.now
	g.emit(Broadcast{Message: &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}}})
}

func (g *Gate) roomMessage() *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: g.roomNow()}}
}

func (g *Gate) roomNow() *wire.Room {
	r := g.server.record
	return &wire.Room{
		Server:            r.GetServer(),
		AddressKind:       r.GetKind(),
		Targets:           r.GetModels(),
		Free:              uint32(g.free()),
		Waiting:           uint32(g.waiting.count),
		Running:           uint32(len(g.runs)),
		LowestRunningTier: g.lowestRunning(),
		LowestWaitingTier: g.lowestWaiting(),
		PrefillTokensPerS: float32(g.pace.prefill.rate),
		PrefillFixedMs:    float32(g.pace.prefill.fixed * 1000),
		DecodeTokensPerS:  float32(g.pace.decodeRate()),
		BacklogMs:         uint32(min(g.backlog(), time.Hour) / time.Millisecond),
		Condition:         g.condition(),
		Throttle:          throttles[g.throttle.Blocked(g.now)].wire,
		Resume:            r.GetCapabilities().GetResume(),
		Kv:                r.GetCapabilities().GetKv(),
	}
}

// free is how many attempts may be dispatched without an offer.
func (g *Gate) free() int {
	if g.waiting.count > 0 || g.closed() != roomEnough || g.throttled() != roomEnough || g.holdsAlone() {
		return 0
	}
	if g.server.state == serverSuspect {
		return g.probes.free(g)
	}
	if g.use.prefill >= g.pace.prefillBound() {
		return 0
	}
	return max(min(g.limit.slots()-g.headroom.slots()-len(g.held), g.throttle.Available(g.now)), 0)
}

func (g *Gate) lowestRunning() uint32 {
	lowest := uint32(0)
	for _, a := range g.runs {
		lowest = max(lowest, a.tier())
	}
	return lowest
}

func (g *Gate) lowestWaiting() uint32 {
	for _, t := range slices.Backward(g.waiting.tiers) {
		if t.count > 0 {
			return t.tier
		}
	}
	return 0
}

// differs tells whether an entry would decide differently.
func differs(a, b *wire.Room) bool {
	same := a.Server == b.Server && a.Condition == b.Condition && a.Throttle == b.Throttle && a.Free == b.Free && a.Waiting == b.Waiting &&
		a.Running == b.Running && a.LowestRunningTier == b.LowestRunningTier &&
		a.LowestWaitingTier == b.LowestWaitingTier && a.Resume == b.Resume && a.Kv == b.Kv &&
		slices.Equal(a.Targets, b.Targets)
	return !same || apart(a.PrefillTokensPerS, b.PrefillTokensPerS) || apart(a.PrefillFixedMs, b.PrefillFixedMs) ||
		apart(a.DecodeTokensPerS, b.DecodeTokensPerS) || backlogApart(a.BacklogMs, b.BacklogMs)
}

func apart(a, b float32) bool {
	return math.Abs(float64(a-b)) > roomTolerance*math.Abs(float64(b))
}

func backlogApart(a, b uint32) bool {
	return math.Abs(float64(a)-float64(b)) > max(roomBacklog, roomTolerance*float64(b))
}
