package gate

import (
	"slices"
	"time"
)

// crashWindow is how far apart the broken connections of one crash may be noticed. A process loses all of them at once; the rest
// is for an agent that reads them late.
const crashWindow = time.Second

// broken holds the attempts whose connection the server broke off lately, until it is known whether its process ended.
//
// A server breaks off an answer for many reasons. Only the end of its process is evidence against what it ran: without the
// question, requests at a server that spoils some of its answers would look like those that crash servers.
type broken struct {
	attempts []brokenAttempt // oldest first
	asked    bool            // a VerifyServer has no answer yet
	endedAt  time.Time       // when the process was found to have ended, zero if it wasn't
}

type brokenAttempt struct {
	attempt *attempt
	at      time.Time
}

// noteBroken notes that the server broke off an attempt that nobody had cancelled, and has its process looked for.
func (g *Gate) noteBroken(a *attempt) {
	if g.isLeaving() {
		return
	}
	b := &g.broken
	b.attempts = slices.DeleteFunc(b.attempts, func(one brokenAttempt) bool { return g.now.Sub(one.at) > crashWindow })
	b.attempts = append(b.attempts, brokenAttempt{a, g.now})
	if !b.endedAt.IsZero() && g.now.Sub(b.endedAt) <= crashWindow {
		g.blameBroken()
		return
	}
	if !b.asked {
		b.asked = true
		g.emit(VerifyServer{})
	}
}

// isLeaving tells whether the server's end is planned, or seen already.
func (g *Gate) isLeaving() bool {
	return g.server.state != serverReady && g.server.state != serverSuspect
}

// verified takes the answer to VerifyServer.
func (g *Gate) verified(e Verified) {
	b := &g.broken
	b.asked = false
	if !e.Ended || g.isLeaving() {
		b.attempts = nil
		return
	}
	b.endedAt = g.now
	g.unreachable()
	g.blameBroken()
}

// holdsWatched tells whether a watched request has room here.
//
// Watched requests run apart from each other. Two that have each been under two crashes would otherwise share the third, and the one
// that was only beside the other would be refused with it.
func (g *Gate) holdsWatched() bool {
	return slices.ContainsFunc(g.held, func(a *attempt) bool { return a.work.GetWatched() })
}

// blameBroken reports the broken attempts as run by a server that crashed.
func (g *Gate) blameBroken() {
	var runs []Run
	for _, one := range g.broken.attempts {
		a := one.attempt
		a.crashed = true
		runs = append(runs, Run{
			Request:      a.record.request,
			Organisation: a.work.GetOrganisation(),
			Fingerprint:  a.fingerprint,
		})
	}
	g.broken.attempts = nil
	if len(runs) > 0 {
		g.emit(Crashed{Runs: runs})
	}
}
