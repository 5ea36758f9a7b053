package gate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// doubts are the reasons for which a server is suspect, as a set.
type doubts uint8

const (
	doubtSilent doubts = 1 << iota
	doubtProbe
	doubtPace
)

// server is the backend server as its agent sees it.
type server struct {
	state    serverState
	doubts   doubts
	record   *wire.ServerRecord // nil before the first announcement
	heard    time.Time          // last announcement
	failures int                // probes failed in a row
	changed  *wire.ServerRecord // as control was last told
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

func (g *Gate) announced(record *wire.ServerRecord) {
	g.server.heard = g.now
	g.server.record = proto.CloneOf(record)
	g.limit.announce(int(record.GetSlots()))
	g.server.doubts &^= doubtSilent
	g.fireServer(onAnnounce)
	g.room.dirty = true
	g.tellControl()
	g.clearing.begin(g)
}

func (g *Gate) probed(e Probed) {
	if !e.OK {
		g.server.failures++
		if g.server.failures >= g.config.ProbeFailures {
			g.doubt(doubtProbe, onProbeFailed)
		}
		return
	}
	g.server.failures = 0
	g.trust(doubtProbe, onProbeSucceeded)
}

// unreachable takes a connection that could not be made for as many failed probes as it takes, until one succeeds.
//
// A server that has crashed refuses calls within a millisecond, so its places are free at once: of all servers it looks
// like the one with room, and draws the requests of all entries. One would notice by many refusals that "never left the
// agent" with other servers idle: 309 in the 1.5 s until the second probe had failed, of four servers that crashed at
// once.
func (g *Gate) unreachable() {
	g.server.failures = max(g.server.failures, g.config.ProbeFailures)
	g.doubt(doubtProbe, onProbeFailed)
}

// doubt adds a reason for suspicion.
func (g *Gate) doubt(reason doubts, e serverEvent) {
	if g.server.doubts&reason != 0 {
		return
	}
	g.server.doubts |= reason
	g.fireServer(e)
}

// trust takes a reason away.
func (g *Gate) trust(reason doubts, e serverEvent) {
	if g.server.doubts&reason == 0 {
		return
	}
	g.server.doubts &^= reason
	if reason == doubtPace {
		g.limit.restart()
	}
	g.fireServer(e)
}

// checkServer looks for silence. A server that died says nothing: without this its slots would be filled until the
// directory notices.
func (g *Gate) checkServer() {
	if g.server.record == nil {
		return
	}
	silence := g.now.Sub(g.server.heard)
	if silence >= g.config.SilentAfter {
		g.doubt(doubtSilent, onSilent)
	}
	if silence >= g.config.GoneAfter && g.server.state == serverSuspect {
		g.fireServer(onGone)
	}
}

// checkEmptied ends a drain once nothing is in flight, streams and unproven attempts included.
func (g *Gate) checkEmptied() {
	if g.server.state == serverDraining && g.inFlight() == 0 {
		g.fireServer(onEmptied)
	}
}

// tellCondition tells entries at once and control when the condition is another.
func (g *Gate) tellCondition() {
	g.room.dirty = true
	g.tellControl()
}

// tellControl passes the record on if control was told another one.
func (g *Gate) tellControl() {
	if !g.cleared() || g.server.record == nil {
		return
	}
	record := proto.CloneOf(g.server.record)
	record.Condition = g.condition()
	if proto.Equal(record, g.server.changed) {
		return
	}
	g.server.changed = record
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
