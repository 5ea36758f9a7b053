package gate

import "time"

// Bounds of the work that a slow server gets, to learn whether it has recovered.
const (
	probeInterval = time.Second
	probePrompt   = 1024 // longest uncached prompt, tokens
	// probeIdle is how long a slow server may go without any work before it is tried again: entries send no work to
	// a suspect server, so no token would ever tell that its pace is back.
	// A server that is still slow is found out again within a second, by the few requests that it got; one that was busy
	// and not slow must not be missing for longer than a burst lasts.
	probeIdle = 2 * time.Second
)

// probeWork rations work to a server that is suspect for its pace only.
type probeWork struct {
	last time.Time // start of the last probe
	idle time.Time // since when nothing ran
}

func (p *probeWork) allowed(g *Gate) bool {
	return g.server.doubts == doubtPace && len(g.held) == 0 && g.now.Sub(p.last) >= probeInterval
}

// room says why an attempt may not serve as a probe.
func (p *probeWork) room(g *Gate, a *attempt) why {
	if !p.allowed(g) || a.uncached() > probePrompt {
		return whySuspect
	}
	return roomEnough
}

func (p *probeWork) free(g *Gate) int {
	if p.allowed(g) {
		return 1
	}
	return 0
}

func (p *probeWork) begin(g *Gate) { p.last = g.now }

// candidate is the waiting attempt that risks least: of the lowest tier, repeatable, with the shortest prompt.
func (p *probeWork) candidate(g *Gate) *attempt {
	if !p.allowed(g) {
		g.blocked = whySuspect
		return nil
	}
	var best *attempt
	g.waiting.each(func(a *attempt) {
		if a.work.GetRepeatable() && a.uncached() <= probePrompt && (best == nil || risksLess(a, best)) {
			best = a
		}
	})
	return best
}

func risksLess(a, b *attempt) bool {
	if a.tier() != b.tier() {
		return a.tier() > b.tier()
	}
	if a.uncached() != b.uncached() {
		return a.uncached() < b.uncached()
	}
	return a.sequence < b.sequence
}

// retryIdle tries a slow server again that got no work at all for some time.
func (p *probeWork) retryIdle(g *Gate) {
	if g.server.doubts != doubtPace || len(g.held) > 0 || p.idle.IsZero() {
		p.idle = g.now
		return
	}
	if g.now.Sub(p.idle) >= probeIdle {
		p.idle = g.now
		g.pace.ratio = 1
		g.trust(doubtPace, onRecovered)
	}
}
