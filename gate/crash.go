package gate

import (
	"slices"
	"strconv"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// crashWindow is the longest time between reading the broken connections of one crash. A process loses all of them
// at once; the margin is for an agent that reads them late.
const crashWindow = time.Second

// brokenRuns holds the attempts whose connection the server broke recently, until it is known whether its process
// ended.
//
// A server breaks off an answer for many reasons, and only the end of its process is evidence against the requests
// that it ran. Without the check, requests at a server that corrupts some of its answers would look like requests
// that crash servers.
type brokenRuns struct {
	attempts       []brokenAttempt // oldest first
	verifying      bool            // a VerifyServer is unanswered
	verifyIssuedAt time.Time       // when the last VerifyServer was issued
	exclusive      bool            // a request has exclusive use of the server, as of the last tick
	endedAt        time.Time       // when the process was found to have ended, zero for never
	reported       bool            // that end was reported with some of its attempts
}

type brokenAttempt struct {
	attempt   *attempt
	brokenAt  time.Time
	exclusive bool
}

// recordBroken records that the server broke off an attempt that nobody had cancelled, and requests a check of its
// process.
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

// isLeaving reports whether the server's end is planned or already known.
func (g *Gate) isLeaving() bool {
	return g.server.state != serverReady && g.server.state != serverSuspect
}

// handleVerified processes the answer to a VerifyServer.
func (g *Gate) handleVerified(e ServerVerified) {
	b := &g.brokenRuns
	b.verifying = false
	if g.isLeaving() {
		b.attempts = nil
		return
	}
	if !e.Ended {
		// An attempt that broke after the check may belong to an end that the check could not see.
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

// exclusiveTime is how long a watched request keeps exclusive use of the server after its first token. A request
// that crashes servers does so when it begins.
const exclusiveTime = 500 * time.Millisecond

// needsExclusiveRun reports whether an attempt has to have the server to itself.
//
// A watched request may have run beside another one that crashed two servers. If it ran beside that one, or another
// such one, at the third crash too, it would be refused along with it. Alone, it either crashes the server itself
// or is served.
func (g *Gate) needsExclusiveRun(a *attempt) bool {
	begun := !a.run.firstToken.IsZero() && g.now.Sub(a.run.firstToken) >= exclusiveTime
	return a.work.GetWatched() && !begun
}

// exclusiveRunHeld reports whether an attempt that holds room needs the server to itself.
func (g *Gate) exclusiveRunHeld() bool { return slices.ContainsFunc(g.held, g.needsExclusiveRun) }

// exclusivityBlock returns whether an attempt has to wait because it, or another one, needs the server to itself.
func (g *Gate) exclusivityBlock(a *attempt) blockReason {
	if a.work.GetWatched() && len(g.held)+len(g.suspended) > 0 || g.exclusiveRunHeld() {
		return blockedExclusive
	}
	return notBlocked
}

// checkExclusive schedules a room update when the exclusive use of the server begins or ends.
func (g *Gate) checkExclusive() {
	if exclusive := g.exclusiveRunHeld(); exclusive != g.brokenRuns.exclusive {
		g.brokenRuns.exclusive = exclusive
		g.room.dirty = true
	}
}

// attributeCrash reports the broken attempts as those that the server ran when it crashed.
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
	for _, broken := range g.brokenRuns.attempts {
		a := broken.attempt
		a.crash = crash
		g.sendCrashNotice(a)
		runs = append(runs, Run{
			Request:      a.record.request,
			Organisation: a.work.GetOrganisation(),
			Fingerprint:  a.fingerprint,
			Target:       a.work.GetTarget(),
			Parts:        a.parts,
		})
	}
	g.brokenRuns.attempts = nil
	g.emit(Crashed{Crash: crash, Runs: runs, Repeated: g.brokenRuns.reported})
	g.brokenRuns.reported = true
}

// sendCrashNotice informs the owner of an attempt that isn't proved over of the crash. The proof may come only once
// the server is back, and until then the entry would send the request to the next server.
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
