package gate

import (
	"slices"

	"github.com/carawaypitch/carawaypitch/wire"
)

// maxLapses is how many offers an entry may leave unanswered before its reservation is refused.
const maxLapses = 3

// schedule resumes suspended runs, starts attempts whose body arrived early and gives room to waiting attempts, the best
// first, until there is none for the best one. Smaller attempts don't overtake it, since a large attempt could otherwise
// wait forever.
func (g *Gate) schedule() {
	g.resumeRuns()
	g.startAdmitted(firstTier)
	g.admitWaiting()
	g.startAdmitted(lowestTier)
	g.suspendForPressure()
}

func (g *Gate) admitWaiting() {
	g.blocked = notBlocked
	for g.waiting.count > 0 {
		if g.noCapacity() {
			return
		}
		a := g.nextWaiting()
		if a == nil {
			return
		}
		if g.blocked = g.blockReasonOf(a); g.blocked != notBlocked {
			if g.blocked != blockedExclusive && g.protectFirstTier(a) {
				continue
			}
			return
		}
		g.countPasses(a)
		if !g.grantRoom(a) {
			return
		}
	}
}

// noCapacity reports whether certainly nothing can be admitted. It is a cheap check that avoids ordering the
// waiting attempts.
func (g *Gate) noCapacity() bool {
	if g.serverBlock() != notBlocked {
		g.blocked = g.serverBlock()
		return true
	}
	if g.blocked = g.throttleBlock(); g.blocked != notBlocked {
		return true
	}
	if len(g.held) < g.limit.slots()+g.maxEarlyOffers() || g.firstTierWaits() {
		return false
	}
	g.blocked = blockedSlots
	return true
}

func (g *Gate) firstTierWaits() bool {
	return len(g.waiting.tiers) > 0 && g.waiting.tiers[0].tier <= firstTier && g.waiting.tiers[0].count > 0
}

func (g *Gate) nextWaiting() *attempt {
	if g.server.state == serverSuspect {
		return g.probes.candidate(g)
	}
	return g.preferFewServers(g.bestWaiting())
}

// grantRoom starts an attempt whose body is here, and offers room to one whose body is at its entry.
func (g *Gate) grantRoom(a *attempt) bool {
	if g.server.state == serverSuspect {
		g.probes.start(g)
	}
	if a.state == admitted {
		return g.fire(a, onStart, eventDetails{})
	}
	return g.fire(a, onOffer, eventDetails{})
}

// sendOffer asks the entry for the body and reserves the room until the offer times out.
func (g *Gate) sendOffer(a *attempt) {
	a.wait.offerUntil = g.now.Add(g.config.OfferTimeout)
	a.wait.offeredAt = g.now
	g.send(a.owner.id, &wire.AgentMessage{Kind: &wire.AgentMessage_Offer{
		Offer: &wire.Offer{Attempt: a.id(), Server: a.server},
	}})
}

// lapseOffers takes back the room of offers that were not answered in time. Otherwise an entry that dies between
// its reservation and the dispatch would keep the slot empty for a whole lease.
func (g *Gate) lapseOffers() {
	for _, a := range slices.Clone(g.held) {
		if a.state == offered && !g.now.Before(a.wait.offerUntil) {
			g.lapse(a)
		}
	}
}

func (g *Gate) lapse(a *attempt) {
	a.wait.lapses++
	a.wait.late = true
	if a.wait.lapses >= maxLapses {
		g.refuseWaiting(a, refuseUnanswered)
		return
	}
	g.fire(a, onLapse, eventDetails{})
}

// lapseAllOffers takes back all offers, since the server gets no new work, and refuses attempts whose body arrived
// early.
func (g *Gate) lapseAllOffers() {
	for _, a := range slices.Clone(g.held) {
		switch a.state {
		case offered:
			g.fire(a, onLapse, eventDetails{})
		case admitted:
			g.refuseWaiting(a, refuseLapsedOffer)
		}
	}
}

// roomForDispatch reports whether a body that came without a valid offer may start. It must not overtake waiting
// attempts.
func (g *Gate) roomForDispatch(a *attempt) bool {
	if g.blockReasonOf(a) != notBlocked {
		return false
	}
	others := g.waiting.count
	if a.wait.heap != nil {
		others--
	}
	if others == 0 {
		return true
	}
	return a.tier() == firstTier && g.waiting.tier(firstTier).count == 1
}
