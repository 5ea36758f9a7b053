package gate

import (
	"slices"
	"strconv"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
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
	askedAt  time.Time       // when the last one was asked for
	alone    bool            // a request has the server for itself, as of the last tick
	endedAt  time.Time       // when the process was found to have ended, zero if it wasn't
	told     bool            // that end was reported with some of its attempts
}

type brokenAttempt struct {
	attempt *attempt
	at      time.Time
	alone   bool
}

// noteBroken notes that the server broke off an attempt that nobody had cancelled, and has its process looked for.
func (g *Gate) noteBroken(a *attempt) {
	if g.isLeaving() {
		return
	}
	b := &g.broken
	b.attempts = slices.DeleteFunc(b.attempts, func(one brokenAttempt) bool { return g.now.Sub(one.at) > crashWindow })
	b.attempts = append(b.attempts, brokenAttempt{a, g.now, g.isAlone(a)})
	if !b.endedAt.IsZero() && g.now.Sub(b.endedAt) <= crashWindow {
		g.attributeCrash()
		return
	}
	if !b.asked {
		g.askVerify()
	}
}

func (g *Gate) askVerify() {
	g.broken.asked, g.broken.askedAt = true, g.now
	g.emit(VerifyServer{})
}

// isLeaving tells whether the server's end is planned, or seen already.
func (g *Gate) isLeaving() bool {
	return g.server.state != serverReady && g.server.state != serverSuspect
}

// verified takes the answer to VerifyServer.
func (g *Gate) verified(e ServerVerified) {
	b := &g.broken
	b.asked = false
	if g.isLeaving() {
		b.attempts = nil
		return
	}
	if !e.Ended {
		// What broke later may be of an end that came after the look.
		b.attempts = slices.DeleteFunc(b.attempts, func(one brokenAttempt) bool { return !one.at.After(b.askedAt) })
		if len(b.attempts) > 0 {
			g.askVerify()
		}
		return
	}
	b.endedAt, b.told = g.now, false
	g.unreachable()
	g.attributeCrash()
}

// aloneTime is how long a watched request stays alone after its first token. One that crashes servers does so as it begins.
const aloneTime = 500 * time.Millisecond

// isAlone tells whether an attempt is to have the server for itself.
//
// A request may have been beside another one that crashed two servers. Were it beside that one, or a further such one, at the third
// crash too, it would be refused with it. Alone it either crashes the server itself or is served.
func (g *Gate) isAlone(a *attempt) bool {
	begun := !a.run.firstToken.IsZero() && g.now.Sub(a.run.firstToken) >= aloneTime
	return a.work.GetWatched() && !begun
}

// holdsAlone tells whether a request is to have the server for itself now.
func (g *Gate) holdsAlone() bool { return slices.ContainsFunc(g.held, g.isAlone) }

// notAlone says whether an attempt has to wait until it, or another one, has had the server for itself.
func (g *Gate) notAlone(a *attempt) why {
	if a.work.GetWatched() && len(g.held) > 0 || g.holdsAlone() {
		return whyAlone
	}
	return roomEnough
}

// noteAlone has entries hear when the server takes others again.
func (g *Gate) noteAlone() {
	if alone := g.holdsAlone(); alone != g.broken.alone {
		g.broken.alone = alone
		g.room.dirty = true
	}
}

// attributeCrash reports the broken attempts as what the server ran when it crashed.
func (g *Gate) attributeCrash() {
	if len(g.broken.attempts) == 0 {
		return
	}
	crash := &wire.Crash{
		Id:       g.serverName() + "@" + strconv.FormatInt(g.broken.endedAt.UnixNano(), 10),
		Server:   g.serverName(),
		Alone:    len(g.broken.attempts) == 1 && g.broken.attempts[0].alone,
		Reporter: g.config.Reporter,
		Once:     g.config.UniqueNamePerStart,
	}
	var runs []Run
	for _, one := range g.broken.attempts {
		a := one.attempt
		a.crash = crash
		g.tellCrash(a)
		runs = append(runs, Run{
			Request:      a.record.request,
			Organisation: a.work.GetOrganisation(),
			Fingerprint:  a.fingerprint,
		})
	}
	g.broken.attempts = nil
	g.emit(Crashed{Crash: crash, Runs: runs, Repeated: g.broken.told})
	g.broken.told = true
}

// tellCrash tells the owner of an attempt that isn't proved over of the crash. The proof may have to wait until the server is back,
// and meanwhile the entry would send the request to the next one.
func (g *Gate) tellCrash(a *attempt) {
	if a.state != cancelling {
		return
	}
	g.reply(asker{entry: a.owner.id, number: a.number, server: a.server}, a.record.request, &wire.Over{
		Proof:   wire.Proof_PROOF_UNPROVEN,
		Code:    uint32(result.EngineLost),
		Message: "the backend server crashed",
		Crash:   a.crash,
	})
}
