package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Shares of organisations over all entries.
const (
	// shareMargin and shareAllowance are how far beyond its share an organisation must be for its requests to be ordered behind
	// others, in square roots of the share and in attempts. The attempts of an organisation at its usual rate vary by about the
	// square root of their number, so that a smaller margin would order many of them behind others in a burst.
	shareMargin, shareAllowance = 3, 2
	// shareGain is the part of the deviation from its share by which the part of an organisation's requests that go behind is
	// corrected with each view. A view is half a second old and attempts last as long, so that a full correction overshoots.
	shareGain = 0.5
	// minWithheld and maxWithheld bound the part of an organisation's requests that go behind. Below the first the organisation
	// counts as within its share.
	minWithheld, maxWithheld = 0.02, 0.95
	// shareMemory is the time without a shortage after which all organisations count as within their shares.
	shareMemory = 2 * time.Second
	// excessPrecedence is added to the precedence that gates receive for excess requests, and excessRank to their rank. Both are
	// larger than those of late requests.
	excessPrecedence = 2 * latePrecedence
	excessRank       = 2 * lateRank
)

// An organisation that holds more than its share has a part of its further requests ordered behind all others' requests of their
// tier, such that the rest gets about its share. If instead all of them went behind until it held no more than its share, they would
// queue for as long as a view takes to arrive, and then go ahead of other classes together: in the load test of forty entries the
// organisations at their usual rate had a fiftieth fewer answers in time than without any shares.

// holding is what an organisation has at all entries together.
type holding struct {
	organisation    string
	running, queued float64
}

// excessShare is an organisation beyond its share, and the part of its requests that goes behind others.
type excessShare struct {
	organisation string
	withheld     float64
}

func (p *pool) excessOf(tier int, organisation string) *excessShare {
	for i := range p.excess[tier] {
		if p.excess[tier][i].organisation == organisation {
			return &p.excess[tier][i]
		}
	}
	return nil
}

// markExcess decides whether a request that arrives goes behind those of others.
func (s *Scheduler) markExcess(r *request) {
	if e := r.pool.excessOf(r.tier, r.Organisation); e != nil && s.random.Float64() < e.withheld {
		r.excess, r.arrivedInExcess = true, 1
	}
}

// refreshShares determines anew which organisations hold more than their share of a pool.
func (s *Scheduler) refreshShares() {
	s.sharesAt = s.now
	for _, key := range s.sortedPoolKeys() {
		for tier := range tierCount {
			s.refreshPoolShares(s.pools[key], tier)
		}
	}
}

// expireShares ends all excess if no view has come for shareMemory.
func (s *Scheduler) expireShares() {
	if s.sharesAt.IsZero() || s.now.Sub(s.sharesAt) < shareMemory {
		return
	}
	s.sharesAt = time.Time{}
	for _, key := range s.sortedPoolKeys() {
		for tier := range tierCount {
			s.setExcess(s.pools[key], tier, nil)
		}
	}
}

func (s *Scheduler) sortedPoolKeys() []poolKey {
	keys := make([]poolKey, 0, len(s.pools))
	for key := range s.pools {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b poolKey) int { return cmp.Compare(a.poolName(), b.poolName()) })
	return keys
}

// refreshPoolShares corrects the parts of the organisations that hold more than their equal share of what the tier runs in the
// pool, while requests wait. Shares that others don't need are divided among those that do.
func (s *Scheduler) refreshPoolShares(p *pool, tier int) {
	others, _ := s.fleetFor(p)
	var holdings []holding
	running, queued := 0.0, 0.0
	if others != nil {
		holdings = s.holdings(p, tier, others)
		for _, h := range holdings {
			running += h.running
			queued += h.queued
		}
	}
	if others == nil || p.withRoom > 0 || queued < 1 {
		if len(p.excess[tier]) > 0 && s.now.Sub(p.shortAt[tier]) > shareMemory {
			s.setExcess(p, tier, nil)
		}
		return
	}
	p.shortAt[tier] = s.now
	share := equalShare(holdings, running)
	var excess []excessShare
	for _, h := range holdings {
		if withheld := withheldPart(p.excessOf(tier, h.organisation), h.running, share); withheld > 0 {
			excess = append(excess, excessShare{h.organisation, withheld})
		}
	}
	s.setExcess(p, tier, excess)
}

// withheldPart returns the part of an organisation's requests that goes behind others, given the part up to now.
func withheldPart(last *excessShare, running, share float64) float64 {
	if last == nil {
		if running <= share+shareMargin*math.Sqrt(share)+shareAllowance {
			return 0
		}
		return min(1-share/running, maxWithheld)
	}
	ratio := maxShareRatio
	if running > 0 {
		ratio = min(share/running, maxShareRatio)
	}
	withheld := min(1-(1-last.withheld)*math.Pow(ratio, shareGain), maxWithheld)
	if withheld < minWithheld {
		return 0
	}
	return withheld
}

// maxShareRatio bounds the correction by one view of an organisation that holds less than its share.
const maxShareRatio = 2.0

// holdings returns what each organisation has of a tier of the pool over all entries.
func (s *Scheduler) holdings(p *pool, tier int, others *fleetPool) []holding {
	var all []holding
	at := make(map[string]int)
	of := func(organisation string) *holding {
		i, ok := at[organisation]
		if !ok {
			i = len(all)
			at[organisation] = i
			all = append(all, holding{organisation: organisation})
		}
		return &all[i]
	}
	for _, o := range others.organisations {
		if tierIndex(o.GetTier()) == tier {
			h := of(o.GetOrganisation())
			h.running += float64(o.GetRunning())
			h.queued += float64(o.GetQueued())
		}
	}
	for _, r := range s.requests {
		if r.pool != p || r.tier != tier {
			continue
		}
		if h := of(r.Organisation); r.attempt != nil {
			h.running++
		} else {
			h.queued++
		}
	}
	return all
}

// equalShare returns the largest share such that the organisations, each of which gets no more than it needs, together get no more
// than the slots.
func equalShare(holdings []holding, slots float64) float64 {
	needs := make([]float64, 0, len(holdings))
	for _, h := range holdings {
		needs = append(needs, h.running+h.queued)
	}
	slices.Sort(needs)
	for i, need := range needs {
		share := slots / float64(len(needs)-i)
		if need >= share {
			return share
		}
		slots -= need
	}
	return slots + math.MaxInt32 // nobody needs more
}

// setExcess replaces the organisations that hold more than their share. Waiting requests of those that no longer do take their
// usual place, and gates are told.
func (s *Scheduler) setExcess(p *pool, tier int, excess []excessShare) {
	before := p.excess[tier]
	p.excess[tier] = excess
	for _, e := range excess {
		if !slices.ContainsFunc(before, func(b excessShare) bool { return b.organisation == e.organisation }) {
			s.emit(Count{Counter: OverShare, Tier: uint32(tier) + 1, Label: e.organisation, Add: 1})
			s.emit(ShareChanged{Pool: p.key.poolName(), Tier: uint32(tier) + 1, Organisation: e.organisation, Over: true})
		}
	}
	for _, e := range before {
		if p.excessOf(tier, e.organisation) == nil {
			s.endExcess(p, tier, e.organisation)
			s.emit(ShareChanged{Pool: p.key.poolName(), Tier: uint32(tier) + 1, Organisation: e.organisation})
		}
	}
}

// endExcess gives the waiting requests of an organisation their usual place.
func (s *Scheduler) endExcess(p *pool, tier int, organisation string) {
	var ended []*request
	for _, c := range p.tiers[tier].classes {
		for _, q := range c.organisations {
			if q.organisation != organisation {
				continue
			}
			for _, list := range []*requestList{&q.unreserved, &q.reserved} {
				for _, r := range list.elements() {
					if r.excess {
						ended = append(ended, r)
					}
				}
			}
		}
	}
	for _, r := range ended {
		s.removeFromQueue(r)
		r.excess = false
		s.addToQueue(r)
		for _, res := range r.reservations {
			s.sendReserve(r, res.server)
		}
	}
}
