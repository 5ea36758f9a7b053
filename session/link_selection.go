package session

import (
	"context"
	"slices"
	"time"
)

// runLinkSelection opens and closes links as the selection changes, until ctx ends.
func (s *Session) runLinkSelection(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.PollInterval / 2)
	defer ticker.Stop()
	for {
		s.selectLinks(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.reselect:
		}
	}
}

// selectLinks recomputes the selection and applies it.
func (s *Session) selectLinks(now time.Time) {
	peers := s.knownPeers()
	candidates := make([]candidate, len(peers))
	for i, p := range peers {
		candidates[i] = p.candidate(now)
	}
	for i, chosen := range chooseLinks(s.cfg.Instance, s.Leader(), s.isRecentlyConfirmed(now), candidates) {
		peers[i].setWanted(chosen)
	}
	s.selectSource(now)
}

// isRecentlyConfirmed reports whether a quorum has confirmed the state recently enough for a few links to suffice.
func (s *Session) isRecentlyConfirmed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	within := time.Duration(maxUnconfirmedPolls * float64(s.cfg.PollInterval))
	return s.freshness.IsConfirmed() && now.Sub(s.freshness.LastConfirmed()) <= within
}

// triggerReselect schedules an immediate new selection of links.
func (s *Session) triggerReselect() {
	select {
	case s.reselect <- struct{}{}:
	default:
	}
}

// linkDemand holds whether a link is wanted, and a channel that is closed when that changes.
type linkDemand struct {
	wanted  bool
	changed chan struct{}
}

// setWanted sets whether a link is wanted.
func (p *peer) setWanted(wanted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demand.wanted == wanted {
		return
	}
	close(p.demand.changed)
	p.demand = linkDemand{wanted: wanted, changed: make(chan struct{})}
}

func (p *peer) currentDemand() linkDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demand
}

// run keeps a link open while one is wanted, until ctx ends.
func (p *peer) run(ctx context.Context) {
	for ctx.Err() == nil {
		demand := p.currentDemand()
		if demand.wanted {
			p.redialUntil(ctx, demand.changed)
			continue
		}
		select {
		case <-demand.changed:
		case <-ctx.Done():
		}
	}
}

// redialUntil keeps a link open until ctx ends or unwanted is closed.
func (p *peer) redialUntil(ctx context.Context, unwanted <-chan struct{}) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-unwanted:
		case <-ctx.Done():
		}
		stop()
	}()
	p.redialLoop(ctx)
}

func (p *peer) candidate(now time.Time) candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	failing := p.ring == nil && !p.failedAt.IsZero() && now.Sub(p.failedAt) < failureCooldown
	return candidate{address: p.address, name: p.instance, isSameZone: p.zone == p.session.cfg.Zone, failing: failing}
}

// recordFailure ranks this instance after the others for failureCooldown.
func (p *peer) recordFailure() {
	p.mu.Lock()
	p.failedAt = time.Now()
	p.mu.Unlock()
	p.session.triggerReselect()
}

// updateZones sets the availability zones of the control instances with the given addresses. Empty zones are ignored.
func (s *Session) updateZones(addresses, zones []string) {
	hasChanged := false
	for _, p := range s.knownPeers() {
		at := slices.Index(addresses, p.address)
		if at < 0 || at >= len(zones) || zones[at] == "" {
			continue
		}
		p.mu.Lock()
		hasChanged = hasChanged || p.zone != zones[at]
		p.zone = zones[at]
		p.mu.Unlock()
	}
	if hasChanged {
		s.triggerReselect()
	}
}
