package capacity

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/session"
)

// Orders of a far side.
const (
	doControls = "controls" // start Count control instances, First the number of the first
	doSessions = "sessions" // start Count sessions of agents with control
	doAwait    = "await"    // wait until all sessions have a configuration version
	doLose     = "lose"     // end Count sessions silently and wait until the others know
	doAgents   = "agents"   // start Count agents' link servers, and nothing behind them
	doLinked   = "linked"   // wait until all of them are linked
	doRoom     = "room"     // have each of them send Rate messages about its room a second, until the next order
	doEntries  = "entries"  // start Count entries' links to the agent Name
	doEntry    = "entry"    // start an entry instance
	doServers  = "servers"  // start Count agents with a stand-in backend server each
	doEngine   = "engine"   // start a stand-in backend server that announces itself at an agent's HTTP address
	doLoad     = "load"     // call the entry at Addresses for Seconds
	doPropose  = "propose"  // have keyed requests recorded as an entry does, Rate a second for Seconds
	doUsage    = "usage"    // tell what the far side has used
)

// waitBound bounds the wait for what an order started; pollInterval is how often it looks.
const (
	waitBound    = 60 * time.Second
	pollInterval = 2 * time.Millisecond
)

// side is a far side as it sees itself.
type side struct {
	ctx      context.Context
	sessions []*session.Session
	stops    []context.CancelFunc // of sessions
	proposer *session.Session
	failure  atomic.Pointer[error] // of a proposal
	agents   []*link.EntryServer
	rooms    atomic.Int64 // messages about room that entries' links got
	stopRoom context.CancelFunc
}

func (s *side) carryOut(o Order) (Reply, error) {
	if s.stopRoom != nil {
		s.stopRoom()
		s.stopRoom = nil
	}
	switch o.Do {
	case doControls:
		return s.startControls(o)
	case doSessions:
		return s.startSessions(o)
	case doAwait:
		return s.await(o)
	case doLose:
		return s.lose(o)
	case doAgents:
		return s.startAgents(o)
	case doLinked:
		return s.linked()
	case doRoom:
		return s.sendRoom(o)
	case doEntries:
		return s.startEntryLinks(o)
	case doEntry:
		return s.startEntry(o)
	case doServers:
		return s.startServers(o)
	case doEngine:
		return s.startEngine(o)
	case doLoad:
		return s.load(o)
	case doPropose:
		return s.propose(o)
	case doUsage:
		return s.usage()
	default:
		return Reply{}, errors.Errorf("unknown order %q", o.Do)
	}
}

func (s *side) usage() (Reply, error) {
	cpu, err := CPUTime()
	return Reply{Count: int(s.rooms.Load()), CPU: int64(cpu), Memory: Memory(), UnixNano: time.Now().UnixNano()}, err
}

// run runs a daemon until the far side ends.
func (s *side) run(daemon func(context.Context) error) {
	go func() { _ = daemon(s.ctx) }()
}

// until waits until a condition holds.
func until(what string, holds func() bool) error {
	end := time.Now().Add(waitBound)
	for !holds() {
		if time.Now().After(end) {
			return errors.Errorf("never: %s", what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
