package gate

import (
	"math"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// lowestTier stands for the lowest possible tier.
const lowestTier = math.MaxUint32

// resourceUsage counts the resources of the server that are in use.
type resourceUsage struct {
	prefillTokens  int64 // uncached prompt tokens in flight that are not computed yet
	memoryTokens   int64 // tokens of cache memory
	memoryVariance int64 // sum of the squares of their uncertainties
	memoryCapacity int64 // in tokens, 0 if not known
}

// memoryShare is the share of the cache memory that is given out, because estimates of output are often too low.
const memoryShare = 0.95

// blockReason states why an attempt has no room, empty if it has.
type blockReason string

const (
	notBlocked       blockReason = ""
	blockedStarting  blockReason = "the engine is not proved free of earlier attempts"
	blockedLeaving   blockReason = "the server is leaving or gone"
	blockedSuspect   blockReason = "the server is suspect"
	blockedSlots     blockReason = "all slots are taken"
	blockedHeadroom  blockReason = "the last slots are kept for the first tier"
	blockedPrefill   blockReason = "too many prompt tokens are in flight"
	blockedMemory    blockReason = "the cache memory is full"
	blockedPace      blockReason = "its prompt would make running answers of a higher tier late"
	blockedRate      blockReason = "the server takes only so many requests a second"
	blockedBackoff   blockReason = "the server asks to keep away for a while"
	blockedTrial     blockReason = "the first answer since the server may have asked to keep away is awaited"
	blockedExclusive blockReason = "a request under which servers crashed runs alone"
)

// blockReasonOf returns why an attempt can't start at this time.
func (g *Gate) blockReasonOf(a *attempt) blockReason {
	if reason := g.serverBlock(); reason != notBlocked {
		return reason
	}
	if reason := g.exclusivityBlock(a); reason != notBlocked {
		return reason
	}
	if reason := g.throttleBlock(); reason != notBlocked && !a.run.holdsPermit {
		return reason
	}
	if g.server.state == serverSuspect {
		return g.probes.block(g, a)
	}
	slots := g.limit.slots()
	slots += g.earlyOffers(a)
	held := g.heldAheadOf(a)
	if held >= slots {
		return blockedSlots
	}
	if a.tier() > firstTier && held >= slots-g.headroom.slots() {
		return blockedHeadroom
	}
	if reason := g.memoryBlock(a); reason != notBlocked {
		return reason
	}
	if g.delaysHigherTier(a) {
		return blockedPace
	}
	return g.prefillBlock(a)
}

// serverBlock returns why nothing at all can start.
func (g *Gate) serverBlock() blockReason {
	switch g.server.state {
	case serverReady, serverSuspect:
		return notBlocked
	case serverAnnounced, serverLeaving:
		return blockedStarting
	default:
		return blockedLeaving
	}
}

// memoryBlock compares the memory that all attempts need at their end with the cache memory. An engine out of
// memory evicts the prompts of running attempts and computes them again.
func (g *Gate) memoryBlock(a *attempt) blockReason {
	if g.usage.memoryCapacity <= 0 || len(g.held) == 0 || a.work.GetService() {
		return notBlocked
	}
	if g.memoryAtEnd(a.work) > memoryShare*float64(g.usage.memoryCapacity) {
		return blockedMemory
	}
	return notBlocked
}

// memoryDeviations is how many deviations of the sum are added to the expected memory. The lengths of answers are
// independent of each other, so their deviations add up as squares: the sum of n answers is much less uncertain than n
// times one of them.
const memoryDeviations = 2

// memoryAtEnd returns the memory that all attempts and one more need at their end.
func (g *Gate) memoryAtEnd(w *wire.Work) float64 {
	expected := float64(g.usage.memoryTokens + memoryNeed(w))
	return expected + memoryDeviations*math.Sqrt(float64(g.usage.memoryVariance+g.memoryVariance(w)))
}

// maxUncertainty bounds the uncertainty of one answer in tokens, so that the sum of the squares doesn't overflow.
const maxUncertainty = 1 << 24

// memoryVariance returns the square of the uncertainty of an attempt's memory. Without an upper length the expected one
// counts as certain.
func (g *Gate) memoryVariance(w *wire.Work) int64 {
	upper, expected := int64(w.GetOutputTokensUpper()), int64(w.GetOutputTokens())
	if !g.config.UpperOutput || upper <= expected {
		return 0
	}
	uncertainty := min(upper-expected, maxUncertainty)
	return uncertainty * uncertainty
}

// exceedsServer reports whether a request is larger than the server's whole memory. It would never have room.
func (g *Gate) exceedsServer(w *wire.Work) bool {
	capacity := g.usage.memoryCapacity
	return g.config.UpperOutput && capacity > 0 && !w.GetService() && memoryNeed(w) > capacity
}

// prefillBlock bounds the prompt tokens in flight that the next prompt would wait for. Engines compute prompts in
// order of arrival: beyond the bound, further prompts would only wait inside the engine, regardless of their tier.
// The first tier is admitted if it still ends in time.
func (g *Gate) prefillBlock(a *attempt) blockReason {
	if a.work.GetService() || g.usage.prefillTokens < g.pace.prefillBound() {
		return notBlocked
	}
	if a.tier() == firstTier && !g.missesDeadline(a, g.pace.prefillTime(g.usage.prefillTokens)) {
		return notBlocked
	}
	return blockedPrefill
}

// memoryNeed returns the cache memory of an attempt at its end, in tokens.
func memoryNeed(w *wire.Work) int64 {
	return int64(w.GetPromptTokens()) + int64(w.GetOutputTokens())
}

// holdRoom reserves room for an attempt and charges its organisation. It has no effect if the attempt holds room
// already.
func (g *Gate) holdRoom(a *attempt) {
	if a.run.holdsRoom {
		return
	}
	a.run.holdsRoom = true
	a.run.pendingPrefill = a.uncachedTokens()
	a.run.cacheTokens = memoryNeed(a.work)
	a.run.cacheVariance = g.memoryVariance(a.work)
	a.run.chargedCost = g.estimateCost(a.work)
	g.usage.prefillTokens += a.run.pendingPrefill
	g.usage.memoryTokens += a.run.cacheTokens
	g.usage.memoryVariance += a.run.cacheVariance
	g.held = append(g.held, a)
	g.room.used = true
	g.takePermit(a)
	if a.tier() <= firstTier && len(g.held) > g.limit.slots()-g.headroom.slots() {
		g.headroom.recordUse()
	}
	g.waiting.tier(a.tier()).clock.Start(a.work.GetOrganisation(), a.run.chargedCost)
	g.room.dirty = true
}

// releaseRoom returns the room of an attempt and settles its cost.
func (g *Gate) releaseRoom(a *attempt, o *eventDetails) {
	cost := int64(0)
	if a.hasStarted() {
		g.runs = slices.DeleteFunc(g.runs, func(other *attempt) bool { return other == a })
		if g.removeSuspended(a) {
			g.freeMemory(a)
			g.room.dirty = true
		}
		cost = g.settleRun(a, o)
	}
	if a.run.chargedCost != 0 {
		g.waiting.tier(a.tier()).clock.Reconcile(a.work.GetOrganisation(), a.run.chargedCost, cost)
		a.run.chargedCost = 0
	}
	g.releaseSlot(a)
}

func (g *Gate) releaseSlot(a *attempt) {
	if !a.run.holdsRoom {
		return
	}
	a.run.holdsRoom = false
	g.returnPermit(a)
	g.endPrefill(a)
	g.freeMemory(a)
	g.held = slices.DeleteFunc(g.held, func(other *attempt) bool { return other == a })
	g.room.dirty = true
}

func (g *Gate) freeMemory(a *attempt) {
	g.usage.memoryTokens -= a.run.cacheTokens
	g.usage.memoryVariance -= a.run.cacheVariance
}

func (g *Gate) endPrefill(a *attempt) {
	if a.run.pendingPrefill == 0 {
		return
	}
	g.usage.prefillTokens -= a.run.pendingPrefill
	a.run.pendingPrefill = 0
	if g.usage.prefillTokens == 0 {
		g.pace.decodeOnlySince = g.now
	}
}

// Bounds of how often Room is broadcast, and of which differences count as a change.
const (
	roomInterval     = 20 * time.Millisecond
	roomTolerance    = 0.25
	backlogTolerance = 50 // ms
)

// roomBroadcast tracks the room that was last broadcast to entries.
type roomBroadcast struct {
	dirty    bool
	used     bool // by attempts since the last broadcast; entries count these against it
	lastSent *wire.Room
	sentAt   time.Time
}

// broadcastRoom broadcasts the room if it changed or was used, at most once in roomInterval. A new condition is sent at once.
func (g *Gate) broadcastRoom() {
	if !g.room.dirty || !g.cleared() || g.server.record == nil {
		return
	}
	if g.now.Sub(g.room.sentAt) < roomInterval && g.room.lastSent != nil && g.room.lastSent.Condition == g.condition() {
		return
	}
	g.room.dirty = false
	room := g.currentRoom()
	if g.room.lastSent != nil && !g.room.used && !roomChanged(room, g.room.lastSent) {
		return
	}
	g.room.used = false
	g.room.lastSent = room
	g.room.sentAt = g.now
	g.emit(Broadcast{Message: &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}}})
}

func (g *Gate) roomMessage() *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: g.currentRoom()}}
}

func (g *Gate) currentRoom() *wire.Room {
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
		Throttle:          throttleReasons[g.throttle.Blocked(g.now)].wire,
		Resume:            r.GetCapabilities().GetResume(),
		Kv:                r.GetCapabilities().GetKv(),
		Suspended:         uint32(len(g.suspended)),
	}
}

// free returns how many attempts may be dispatched without an offer.
func (g *Gate) free() int {
	if g.waiting.count > 0 || g.serverBlock() != notBlocked || g.throttleBlock() != notBlocked || g.exclusiveRunHeld() {
		return 0
	}
	if g.server.state == serverSuspect {
		return g.probes.free(g)
	}
	if g.usage.prefillTokens >= g.pace.prefillBound() {
		return 0
	}
	return max(min(g.limit.slots()-g.headroom.slots()-len(g.held), g.throttle.Available(g.now)), 0)
}

func (g *Gate) lowestRunning() uint32 {
	lowest := uint32(0)
	for _, a := range g.runs {
		lowest = max(lowest, a.tier())
	}
	for _, a := range g.suspended {
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

// roomChanged reports whether the two rooms differ enough for an entry to decide differently.
func roomChanged(a, b *wire.Room) bool {
	same := a.Server == b.Server && a.Condition == b.Condition && a.Throttle == b.Throttle && a.Free == b.Free && a.Waiting == b.Waiting &&
		a.Running == b.Running && a.LowestRunningTier == b.LowestRunningTier &&
		a.LowestWaitingTier == b.LowestWaitingTier && a.Resume == b.Resume && a.Kv == b.Kv && a.Suspended == b.Suspended &&
		slices.Equal(a.Targets, b.Targets)
	return !same || outsideTolerance(a.PrefillTokensPerS, b.PrefillTokensPerS) || outsideTolerance(a.PrefillFixedMs, b.PrefillFixedMs) ||
		outsideTolerance(a.DecodeTokensPerS, b.DecodeTokensPerS) || backlogChanged(a.BacklogMs, b.BacklogMs)
}

func outsideTolerance(a, b float32) bool {
	return math.Abs(float64(a-b)) > roomTolerance*math.Abs(float64(b))
}

func backlogChanged(a, b uint32) bool {
	return math.Abs(float64(a)-float64(b)) > max(backlogTolerance, roomTolerance*float64(b))
}
