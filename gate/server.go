package gate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// suspectReasons are the reasons for which a server is suspect, as a set.
type suspectReasons uint8

const (
	suspectSilent suspectReasons = 1 << iota
	suspectProbe
	suspectPace
)

// server is the backend server as its agent sees it.
type server struct {
	state          serverState
	suspectReasons suspectReasons
	record         *wire.ServerRecord // nil before the first announcement
	lastAnnounced  time.Time          // last announcement
	failedProbes   int                // probes failed in a row
	lastReported   *wire.ServerRecord // as control was last told
}

// cleared tells whether all that the engine ran before this incarnation is proved over.
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

// markUnreachable takes a connection that could not be made for as many failed probes as it takes, until one succeeds.
//
// A server that has crashed refuses calls within a millisecond, so its places are free at once: of all servers it looks
// like the one with room, and draws the requests of all entries. One would notice by many refusals that "never left the
// agent" with other servers idle: 309 in the 1.5 s until the second probe had failed, of four servers that crashed at
// once.
func (g *Gate) markUnreachable() {
	g.server.failedProbes = max(g.server.failedProbes, g.config.ProbeFailures)
	g.addSuspicion(suspectProbe, onProbeFailed)
}

// addSuspicion adds a reason for suspicion.
func (g *Gate) addSuspicion(reason suspectReasons, e serverEvent) {
	if g.server.suspectReasons&reason != 0 {
		return
	}
	g.server.suspectReasons |= reason
	g.fireServer(e)
}

// removeSuspicion takes a reason away.
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

// checkSilence looks for silence. A server that died says nothing: without this its slots would be filled until the
// directory notices.
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

// checkDrained ends a drain once nothing is in flight, streams and unproven attempts included.
func (g *Gate) checkDrained() {
	if g.server.state == serverDraining && g.inFlight() == 0 {
		g.fireServer(onEmptied)
	}
}

// publishCondition tells entries at once and control when the condition is another.
func (g *Gate) publishCondition() {
	g.room.dirty = true
	g.reportToControl()
}

// reportToControl passes the record on if control was told another one.
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

// serves tells whether the server has what the work needs.
func (g *Gate) serves(w *wire.Work) bool {
	for _, target := range g.server.record.GetModels() {
		if target == w.GetTarget() {
			return true
		}
	}
	return false
}
