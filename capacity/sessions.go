package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// agentPoll and agentSilence are the timing of an agent's session, see packages agent and settings.
const (
	agentPoll    = 500 * time.Millisecond
	agentSilence = 2 * time.Second
)

func agentName(i int) string { return fmt.Sprintf("agent-%04d", i) }

// serverRecord is a backend server as an agent registers it.
func serverRecord(i int) *wire.ServerRecord {
	return &wire.ServerRecord{
		Server:    fmt.Sprintf("server-%04d", i),
		Kind:      settings.KindModel,
		Models:    []string{"model-a", "model-b"},
		Address:   "10.20.30.40:9000",
		Slots:     64,
		Condition: wire.ServerCondition_SERVER_CONDITION_READY,
		Capabilities: &wire.Capabilities{
			Fencing: "refuses", Kv: true, Resume: true, OnDisconnect: "cancels",
		},
	}
}

// agentRecord is an agent with one backend server in the directory.
func agentRecord(i int, address string) *wire.AgentRecord {
	return &wire.AgentRecord{
		Agent:            agentName(i),
		Incarnation:      uint64(time.Now().UnixNano()),
		AvailabilityZone: fmt.Sprintf("zone-%d", i%target().Zones+1),
		LinkAddress:      address,
		Servers:          []*wire.ServerRecord{serverRecord(i)},
	}
}

// startSessions starts sessions of agents that register one backend server each, and waits until all may take work.
func (s *side) startSessions(o Order) (Reply, error) {
	for i := range o.Count {
		one := session.New(session.Config{
			Instance:     agentName(o.First + i),
			Role:         wire.Role_ROLE_AGENT,
			Incarnation:  uint64(time.Now().UnixNano()),
			Zone:         fmt.Sprintf("zone-%d", i%target().Zones+1),
			LinkAddress:  "10.20.30.40:7100",
			Controls:     o.Controls,
			Network:      network.TCP{},
			PollInterval: agentPoll,
			SilenceBound: agentSilence,
		})
		one.SetServers([]*wire.ServerRecord{serverRecord(o.First + i)})
		ctx, stop := context.WithCancel(s.ctx)
		s.sessions = append(s.sessions, one)
		s.stops = append(s.stops, stop)
		go func() { _ = one.Run(ctx) }()
	}
	return Reply{}, until("all sessions are ready", func() bool { return s.allSessions(isReady) })
}

func isReady(one *session.Session) bool { return one.Ready() == nil }

func (s *side) allSessions(holds func(*session.Session) bool) bool {
	for _, one := range s.sessions {
		if !holds(one) {
			return false
		}
	}
	return true
}

// await tells when the last session had the version, to within pollInterval.
func (s *side) await(o Order) (Reply, error) {
	err := until("all sessions have the version", func() bool {
		return s.allSessions(func(one *session.Session) bool { return one.View().ConfigVersion >= o.Version })
	})
	return Reply{UnixNano: time.Now().UnixNano()}, err
}

// lose ends the newest sessions without a word, as the loss of an availability zone does, and tells when the last of
// the others had a directory without them.
func (s *side) lose(o Order) (Reply, error) {
	left := len(s.sessions) - o.Count
	for _, stop := range s.stops[left:] {
		stop()
	}
	s.sessions, s.stops = s.sessions[:left], s.stops[:left]
	err := until("the directory lost them", func() bool {
		return s.allSessions(func(one *session.Session) bool { return len(one.View().Agents) <= left })
	})
	return Reply{UnixNano: time.Now().UnixNano()}, err
}

// propose has keyed requests recorded: one command before the dispatch and one with the answer, as an entry does.
func (s *side) propose(o Order) (Reply, error) {
	if err := s.startProposer(o.Controls); err != nil {
		return Reply{}, err
	}
	run := newPacer(o.Rate, o.Seconds)
	run.each(func(n int) bool { return s.recordOne(o.First + n) })
	return Reply{Count: run.done(), Failed: run.failed()}, s.firstFailure(run)
}

// firstFailure returns an error if not all was recorded.
func (s *side) firstFailure(run *pacer) error {
	if run.failed() == 0 {
		return nil
	}
	return errors.Wrapf(*s.failure.Load(), "%d of %d", run.failed(), run.failed()+run.done())
}

const (
	proposer         = "entry-of-records"
	entryIncarnation = 1
	recordedAnswer   = 400 // bytes
	recordedDigest   = 32  // bytes
)

// entrySession starts the session of an entry, which registers it.
func (s *side) entrySession(name string, controls []string) *session.Session {
	one := session.New(session.Config{
		Instance:    name,
		Role:        wire.Role_ROLE_ENTRY,
		Incarnation: entryIncarnation,
		Zone:        "zone-1",
		Controls:    controls,
		Network:     network.TCP{},
	})
	s.run(one.Run)
	return one
}

// startProposer registers the entry in whose name requests are recorded, and keeps it registered.
func (s *side) startProposer(controls []string) error {
	if s.proposer != nil {
		return nil
	}
	s.proposer = s.entrySession(proposer, controls)
	return until("the proposer is ready", func() bool { return s.proposer.Ready() == nil })
}

func (s *side) recordOne(n int) bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	for _, command := range recordCommands(n) {
		reply, err := s.proposer.Propose(ctx, command)
		if err == nil && reply.GetCode() != 0 {
			err = errors.New(reply.GetMessage())
		}
		if err != nil {
			s.failure.Store(&err)
			return false
		}
	}
	return true
}

// recordCommands are the two commands of a keyed request.
func recordCommands(n int) []*wire.Command {
	key := fmt.Sprintf("0190a5b4-3c2d-7abc-8def-%012d", n)
	request := fmt.Sprintf("request-%012d", n)
	begin := &wire.BeginOperation{
		Organisation: "union", Key: key, Request: request, Class: "pass-issue", Digest: make([]byte, recordedDigest),
		Entry: proposer, EntryIncarnation: entryIncarnation, Candidates: []string{"server-0001"},
	}
	complete := &wire.CompleteOperation{
		Organisation: "union", Key: key, Request: request, Epoch: 1,
		Answer: &wire.Answer{Status: 200, Body: make([]byte, recordedAnswer)},
	}
	return []*wire.Command{
		{Kind: &wire.Command_BeginOperation{BeginOperation: begin}},
		{Kind: &wire.Command_CompleteOperation{CompleteOperation: complete}},
	}
}
