package gate

import "time"

// An engine computes prompts between the tokens of running answers, so a long prompt of a low tier slows down the
// answers of higher tiers. Without the bounds in this file, work of those tiers would be refused because it can't
// finish in time at that pace, while the low tier is served.

// delaysHigherTier reports whether a long prompt would make a running answer of a higher tier late that could be in
// time without it. The remaining time of that answer is computed from the present pace, which other prompts
// influence.
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

// tokenTimeFor returns the time between two tokens that work of a tier can expect. Prompts of lower tiers are kept
// from slowing it down too much, see delaysHigherTier.
func (g *Gate) tokenTimeFor(tier uint32) time.Duration {
	if g.hasLowerTierPrompts(tier) {
		return g.pace.decodeOnlyTokenTime(len(g.runs) + 1)
	}
	return g.pace.tokenTime(len(g.runs)+1, g.now)
}

// hasLowerTierPrompts reports whether a prompt of a lower tier runs or waits.
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
