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

// brokenRuns holds the attempts whose connection the server broke off lately, until it is known whether its process ended.
//
// A server breaks off an answer for many reasons. Only the end of its process is evidence against what it ran: without the
// question, requests at a server that spoils some of its answers would look like those that crash servers.
type brokenRuns struct {
	attempts       []brokenAttempt // oldest first
	verifying      bool            // a VerifyServer has no answer yet
	verifyIssuedAt time.Time       // when the last one was asked for
	exclusive      bool            // a request has the server for itself, as of the last tick
	endedAt        time.Time       // when the process was found to have ended, zero if it wasn't
	reported       bool            // that end was reported with some of its attempts
}

type brokenAttempt struct {
	attempt   *attempt
	brokenAt  time.Time
	exclusive bool
}

// recordBroken notes that the server broke off an attempt that nobody had cancelled, and has its process looked for.
func (g *Gate) recordBroken(a *attempt) {
	if g.isLeaving() {
		return
	}
	b := &g.brokenRuns
	b.attempts = slices.DeleteFunc(b.attempts, func(one brokenAttempt) bool { return g.now.Sub(one.brokenAt) > crashWindow })
	b.attempts = append(b.attempts, brokenAttempt{a, g.now, g.needsExclusiveRun(a)})
	if !b.endedAt.IsZero() && g.now.Sub(b.endedAt) <= crashWindow {
		g.attributeCrash()
		return
	}
	if !b.verifying {
		g.requestVerify()
	}
}

func (g *Gate) requestVerify() {
	g.brokenRuns.verifying, g.brokenRuns.verifyIssuedAt = true, g.now
	g.emit(VerifyServer{})
}

// isLeaving tells whether the server's end is planned, or seen already.
func (g *Gate) isLeaving() bool {
	return g.server.state != serverReady && g.server.state != serverSuspect
}

// handleVerified takes the answer to VerifyServer.
func (g *Gate) handleVerified(e ServerVerified) {
	b := &g.brokenRuns
	b.verifying = false
	if g.isLeaving() {
		b.attempts = nil
		return
	}
	if !e.Ended {
		// What broke later may be of an end that came after the look.
		b.attempts = slices.DeleteFunc(b.attempts, func(one brokenAttempt) bool { return !one.brokenAt.After(b.verifyIssuedAt) })
		if len(b.attempts) > 0 {
			g.requestVerify()
		}
		return
	}
	b.endedAt, b.reported = g.now, false
	g.markUnreachable()
	g.attributeCrash()
}

// exclusiveTime is how long a watched request stays alone after its first token. One that crashes servers does so as it begins.
const exclusiveTime = 500 * time.Millisecond

// needsExclusiveRun tells whether an attempt is to have the server for itself.
//
// A request may have been beside another one that crashed two servers. Were it beside that one, or a further such one, at the third
// crash too, it would be refused with it. Alone it either crashes the server itself or is served.
func (g *Gate) needsExclusiveRun(a *attempt) bool {
	begun := !a.run.firstToken.IsZero() && g.now.Sub(a.run.firstToken) >= exclusiveTime
	return a.work.GetWatched() && !begun
}

// exclusiveRunHeld tells whether a request is to have the server for itself now.
func (g *Gate) exclusiveRunHeld() bool { return slices.ContainsFunc(g.held, g.needsExclusiveRun) }

// exclusivityBlock says whether an attempt has to wait until it, or another one, has had the server for itself.
func (g *Gate) exclusivityBlock(a *attempt) blockReason {
	if a.work.GetWatched() && len(g.held) > 0 || g.exclusiveRunHeld() {
		return blockedExclusive
	}
	return notBlocked
}

// checkExclusive has entries hear when the server takes others again.
func (g *Gate) checkExclusive() {
	if exclusive := g.exclusiveRunHeld(); exclusive != g.brokenRuns.exclusive {
		g.brokenRuns.exclusive = exclusive
		g.room.dirty = true
	}
}

// attributeCrash reports the broken attempts as what the server ran when it crashed.
func (g *Gate) attributeCrash() {
	if len(g.brokenRuns.attempts) == 0 {
		return
	}
	crash := &wire.Crash{
		Id:       g.serverName() + "@" + strconv.FormatInt(g.brokenRuns.endedAt.UnixNano(), 10),
		Server:   g.serverName(),
		Alone:    len(g.brokenRuns.attempts) == 1 && g.brokenRuns.attempts[0].exclusive,
		Reporter: g.config.Reporter,
		Once:     g.config.UniqueNamePerStart,
	}
	var runs []Run
	for _, one := range g.brokenRuns.attempts {
		a := one.attempt
		a.crash = crash
		g.sendCrashNotice(a)
		runs = append(runs, Run{
			Request:      a.record.request,
			Organisation: a.work.GetOrganisation(),
			Fingerprint:  a.fingerprint,
		})
	}
	g.brokenRuns.attempts = nil
	g.emit(Crashed{Crash: crash, Runs: runs, Repeated: g.brokenRuns.reported})
	g.brokenRuns.reported = true
}

// sendCrashNotice tells the owner of an attempt that isn't proved over of the crash. The proof may have to wait until the server is back,
// and meanwhile the entry would send the request to the next one.
func (g *Gate) sendCrashNotice(a *attempt) {
	if a.state != cancelling {
		return
	}
	g.reply(inquirer{entry: a.owner.id, number: a.number, server: a.server}, a.record.request, &wire.Over{
		Proof:   wire.Proof_PROOF_UNPROVEN,
		Code:    uint32(result.EngineLost),
		Message: "the backend server crashed",
		Crash:   a.crash,
	})
}
