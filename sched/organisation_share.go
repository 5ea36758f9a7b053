package sched

import (
	"math"
	"slices"
)

// Shares of organisations over all entries.
const (
	// shareMargin and shareAllowance are how far beyond its share an organisation must be to be ordered behind others, in square
	// roots of the share and in attempts. The attempts of an organisation at its usual rate vary by about the square root of their
	// number. With a margin of two square roots, ten of 16 organisations at their usual rate were ordered behind others in a burst.
	shareMargin, shareAllowance = 3, 2
	// excessPrecedence is added to the precedence that gates receive for requests of organisations beyond their share. It is
	// larger than that of late requests.
	excessPrecedence = 2 * latePrecedence
)

// holding is what an organisation has at all entries together.
type holding struct {
	organisation    string
	running, queued float64
}

// overShare reports whether the request's organisation holds more than its share of the pool.
func (s *Scheduler) overShare(r *request) bool {
	return r.pool.isOverShare(r.tier, r.Organisation)
}

func (p *pool) isOverShare(tier int, organisation string) bool {
	return len(p.excess[tier]) > 0 && slices.Contains(p.excess[tier], organisation)
}

// refreshShares determines anew which organisations hold more than their share of a pool, and sends the reservations of their
// requests again.
func (s *Scheduler) refreshShares() {
	for _, key := range s.sortedPoolKeys() {
		p := s.pools[key]
		for tier := range tierCount {
			excess := s.organisationsInExcess(p, tier)
			if !slices.Equal(excess, p.excess[tier]) {
				s.setExcess(p, tier, excess)
			}
		}
	}
}

func (s *Scheduler) sortedPoolKeys() []poolKey {
	keys := make([]poolKey, 0, len(s.pools))
	for key := range s.pools {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b poolKey) int {
		if a.poolName() < b.poolName() {
			return -1
		}
		return 1
	})
	return keys
}

// organisationsInExcess returns the organisations, sorted, that hold more than their equal share of what the tier runs in the pool,
// while requests wait. Shares that others don't need are divided among those that do.
//
// An organisation is beyond its share only once it holds clearly more, and stays so until it holds no more than its share.
// Otherwise half of the organisations would be beyond it by chance in any overload.
func (s *Scheduler) organisationsInExcess(p *pool, tier int) []string {
	others, _ := s.fleetFor(p)
	if others == nil || p.withRoom > 0 {
		return nil
	}
	holdings := s.holdings(p, tier, others)
	running, queued := 0.0, 0.0
	for _, h := range holdings {
		running += h.running
		queued += h.queued
	}
	if queued < 1 {
		return nil
	}
	share := equalShare(holdings, running)
	var excess []string
	for _, h := range holdings {
		limit := share + shareMargin*math.Sqrt(share) + shareAllowance
		if p.isOverShare(tier, h.organisation) {
			limit = share
		}
		if h.running > limit {
			excess = append(excess, h.organisation)
		}
	}
	slices.Sort(excess)
	return excess
}

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

// setExcess replaces the organisations that hold more than their share. Gates are told of the new order of the requests that they
// have.
func (s *Scheduler) setExcess(p *pool, tier int, excess []string) {
	before := p.excess[tier]
	p.excess[tier] = excess
	p.excessAt[tier] = s.now
	for _, c := range p.tiers[tier].classes {
		for _, q := range c.organisations {
			was, is := slices.Contains(before, q.organisation), slices.Contains(excess, q.organisation)
			if was == is {
				continue
			}
			for _, r := range q.reserved.elements() {
				for _, res := range r.reservations {
					s.sendReserve(r, res.server)
				}
			}
		}
	}
	for _, organisation := range excess {
		if !slices.Contains(before, organisation) {
			s.emit(Count{Counter: OverShare, Tier: uint32(tier) + 1, Label: organisation, Add: 1})
		}
	}
	s.markDirty(p)
}
