package gate

import "time"

// An engine computes prompts between the tokens of the answers that run, so that a long prompt of a low tier slows the
// answers of higher tiers down. Without the bounds here those tiers are refused, because they can't finish in time at
// that pace, while the low tier is served. One would notice by refusals of a tier whose lower tiers have goodput.

// delaysHigherTier tells whether a long prompt would make a running answer of a higher tier late that can be in time without it.
// How fast that answer goes on is taken from the present pace, which other prompts have a part in.
func (g *Gate) delaysHigherTier(a *attempt) bool {
	if a.work.GetService() || a.uncachedTokens() < minSlownessPrompt {
		return false
	}
	prompts := g.pace.prefillTime(g.usage.prefillTokens + a.uncachedTokens())
	decodeOnly := g.pace.decodeOnlyTokenTime(len(g.runs) + 1)
	present := g.pace.tokenTime(len(g.runs)+1, g.now)
	for _, run := range g.runs {
		if run.tier() >= a.tier() || run.deadline.IsZero() || run.state != running {
			continue
		}
		left := time.Duration(max(int64(run.work.GetOutputTokens())-int64(run.run.tokens), 0))
		remaining := run.deadline.Sub(g.now)
		if remaining > left*decodeOnly && remaining < left*present+prompts {
			return true
		}
	}
	return false
}

// tokenTimeFor is the time between two tokens that work of a tier can count on: prompts of lower tiers are kept from
// slowing it down too much, see slowsHigher.
func (g *Gate) tokenTimeFor(tier uint32) time.Duration {
	if g.hasLowerTierPrompts(tier) {
		return g.pace.decodeOnlyTokenTime(len(g.runs) + 1)
	}
	return g.pace.tokenTime(len(g.runs)+1, g.now)
}

// hasLowerTierPrompts tells whether a prompt of a lower tier runs or waits.
func (g *Gate) hasLowerTierPrompts(tier uint32) bool {
	if g.lowestWaiting() > tier {
		return true
	}
	for _, run := range g.runs {
		if run.tier() > tier && run.run.pendingPrefill > 0 {
			return true
		}
	}
	return false
}
