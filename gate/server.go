package gate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// suspectReasons is the set of reasons for which a server is suspect.
type suspectReasons uint8

const (
	suspectSilent suspectReasons = 1 << iota
	suspectProbe
	suspectPace
)

// server is the state of the backend server as its agent knows it.
type server struct {
	state          serverState
	suspectReasons suspectReasons
	record         *wire.ServerRecord // nil before the first announcement
	lastAnnounced  time.Time          // time of the last announcement
	failedProbes   int                // consecutive failed probes
	lastReported   *wire.ServerRecord // record last sent to control
}

// cleared reports whether everything that the engine ran before this incarnation is proved over.
func (g *Gate) cleared() bool {
	return g.server.state != serverAnnounced && g.server.state != serverLeaving
}

func (g *Gate) condition() wire.ServerCondition {
	switch g.server.state {
	case serverReady:
		return wire.ServerCondition_SERVER_CONDITION_READY
	case serverSuspect:
		return wire.ServerCondition_SERVER_CONDITION_SUSPECT
	case serverDraining, serverLeaving:
		return wire.ServerCondition_SERVER_CONDITION_DRAINING
	case serverDrained:
		return wire.ServerCondition_SERVER_CONDITION_DRAINED
	case serverGone:
		return wire.ServerCondition_SERVER_CONDITION_GONE
	default:
		return wire.ServerCondition_SERVER_CONDITION_UNSPECIFIED
	}
}

func (g *Gate) handleAnnounced(record *wire.ServerRecord) {
	g.server.lastAnnounced = g.now
	g.server.record = proto.CloneOf(record)
	g.limit.announce(int(record.GetSlots()))
	g.server.suspectReasons &^= suspectSilent
	g.fireServer(onAnnounce)
	g.room.dirty = true
	g.reportToControl()
	g.clearing.start(g)
}

func (g *Gate) handleProbed(e Probed) {
	if !e.OK {
		g.server.failedProbes++
		if g.server.failedProbes >= g.config.ProbeFailures {
			g.addSuspicion(suspectProbe, onProbeFailed)
		}
		return
	}
	g.server.failedProbes = 0
	g.removeSuspicion(suspectProbe, onProbeSucceeded)
}

// markUnreachable treats a failed connection attempt like the number of failed probes that makes the server
// suspect, until a probe succeeds.
//
// A server that has crashed refuses calls within a millisecond, so its slots are free at once. It looks like the
// server with the most room and attracts the requests of all entries, which are refused as never sent while other
// servers are idle: with four crashed servers, 309 such refusals in the 1.5 s until the second probe has failed.
func (g *Gate) markUnreachable() {
	g.server.failedProbes = max(g.server.failedProbes, g.config.ProbeFailures)
	g.addSuspicion(suspectProbe, onProbeFailed)
}

// addSuspicion adds a reason why the server is suspect.
func (g *Gate) addSuspicion(reason suspectReasons, e serverEvent) {
	if g.server.suspectReasons&reason != 0 {
		return
	}
	g.server.suspectReasons |= reason
	g.fireServer(e)
}

// removeSuspicion removes a reason why the server is suspect.
func (g *Gate) removeSuspicion(reason suspectReasons, e serverEvent) {
	if g.server.suspectReasons&reason == 0 {
		return
	}
	g.server.suspectReasons &^= reason
	if reason == suspectPace {
		g.limit.restart()
	}
	g.fireServer(e)
}

// checkSilence detects a server without announcements. A server that died sends nothing, and without the check its
// slots would be filled until the directory notices.
func (g *Gate) checkSilence() {
	if g.server.record == nil {
		return
	}
	silence := g.now.Sub(g.server.lastAnnounced)
	if silence >= g.config.SilentAfter {
		g.addSuspicion(suspectSilent, onSilent)
	}
	if silence >= g.config.GoneAfter && g.server.state == serverSuspect {
		g.fireServer(onGone)
	}
}

// checkDrained ends a drain once nothing is in flight, including streams and unproven attempts.
func (g *Gate) checkDrained() {
	if g.server.state == serverDraining && g.inFlight() == 0 {
		g.fireServer(onEmptied)
	}
}

// publishCondition sends a changed condition to control, and to entries at once.
func (g *Gate) publishCondition() {
	g.room.dirty = true
	g.reportToControl()
}

// reportToControl sends the server's record to control if it differs from the one sent last.
func (g *Gate) reportToControl() {
	if !g.cleared() || g.server.record == nil {
		return
	}
	record := proto.CloneOf(g.server.record)
	record.Condition = g.condition()
	if proto.Equal(record, g.server.lastReported) {
		return
	}
	g.server.lastReported = record
	g.emit(ServerChanged{Server: proto.CloneOf(record)})
}

// serves reports whether the server offers the target of the work.
func (g *Gate) serves(w *wire.Work) bool {
	for _, target := range g.server.record.GetModels() {
		if target == w.GetTarget() {
			return true
		}
	}
	return false
}
