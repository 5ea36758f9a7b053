package gate

import "time"

// Bounds of the work that a slow server gets as probes of its recovery.
const (
	probeInterval  = time.Second
	maxProbePrompt = 1024 // longest uncached prompt of a probe, in tokens
	// probeIdleTime is how long a slow server may go without any work before it is tried again: entries send no
	// work to a suspect server, so no token would ever show that its pace has recovered. A server that is still
	// slow is detected again within a second, by the few requests that it got. One that was busy and not slow must
	// not be excluded for longer than a burst lasts.
	probeIdleTime = 2 * time.Second
)

// recoveryProbes rations work to a server that is suspect only because of its pace.
type recoveryProbes struct {
	lastStart time.Time // start of the last probe
	idleSince time.Time // since when nothing ran
}

func (p *recoveryProbes) allowed(g *Gate) bool {
	return g.server.suspectReasons == suspectPace && len(g.held) == 0 && g.now.Sub(p.lastStart) >= probeInterval
}

// block returns why an attempt may not serve as a probe.
func (p *recoveryProbes) block(g *Gate, a *attempt) blockReason {
	if !p.allowed(g) || a.uncachedTokens() > maxProbePrompt {
		return blockedSuspect
	}
	return notBlocked
}

func (p *recoveryProbes) free(g *Gate) int {
	if p.allowed(g) {
		return 1
	}
	return 0
}

func (p *recoveryProbes) start(g *Gate) { p.lastStart = g.now }

// candidate returns the waiting attempt with the least risk: of the lowest tier, repeatable, with the shortest
// prompt. It returns nil if there is none.
func (p *recoveryProbes) candidate(g *Gate) *attempt {
	if !p.allowed(g) {
		g.blocked = blockedSuspect
		return nil
	}
	var best *attempt
	g.waiting.each(func(a *attempt) {
		if a.work.GetRepeatable() && a.uncachedTokens() <= maxProbePrompt && (best == nil || lessRisky(a, best)) {
			best = a
		}
	})
	return best
}

func lessRisky(a, b *attempt) bool {
	if a.tier() != b.tier() {
		return a.tier() > b.tier()
	}
	if a.uncachedTokens() != b.uncachedTokens() {
		return a.uncachedTokens() < b.uncachedTokens()
	}
	return a.sequence < b.sequence
}

// retryIdle clears the suspicion of a slow server that got no work at all for probeIdleTime.
func (p *recoveryProbes) retryIdle(g *Gate) {
	if g.server.suspectReasons != suspectPace || len(g.held) > 0 || p.idleSince.IsZero() {
		p.idleSince = g.now
		return
	}
	if g.now.Sub(p.idleSince) >= probeIdleTime {
		p.idleSince = g.now
		g.pace.ratio = 1
		g.removeSuspicion(suspectPace, onRecovered)
	}
}
