package capacity

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

const loopback = "127.0.0.1:0"

// startAgents starts the link servers of agents that answer heartbeats and do nothing else.
func (s *side) startAgents(o Order) (Reply, error) {
	var r Reply
	for i := range o.Count {
		listener, err := network.TCP{}.Listen(loopback)
		if err != nil {
			return r, err
		}
		hello := &wire.AgentHello{Agent: agentName(i), Incarnation: 1, ConfigVersion: 1}
		server := &link.EntryServer{
			Hello:   func() *wire.AgentHello { return hello },
			Up:      func(context.Context, *wire.EntryHello) {},
			Down:    func(link.EntryID, error) {},
			Receive: func(context.Context, link.EntryID, *wire.EntryMessage) error { return nil },
		}
		s.agents = append(s.agents, server)
		s.run(func(ctx context.Context) error { return link.Serve(ctx, listener, nil, server.Register) })
		r.Addresses = append(r.Addresses, listener.Addr().String())
	}
	return r, nil
}

func (s *side) linked() (Reply, error) {
	return Reply{}, until("all agents are linked", func() bool {
		for _, server := range s.agents {
			if len(server.Entries()) == 0 {
				return false
			}
		}
		return true
	})
}

// sendRoom has each agent broadcast its room, as a gate does when it takes and ends work.
func (s *side) sendRoom(o Order) (Reply, error) {
	if o.Rate == 0 {
		return Reply{}, nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopRoom = cancel
	for i, server := range s.agents {
		go broadcastRoom(ctx, server, i, time.Duration(float64(time.Second)/o.Rate))
	}
	return Reply{}, nil
}

func broadcastRoom(ctx context.Context, server *link.EntryServer, agent int, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := uint32(0); ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			server.Broadcast(roomMessage(agent, n%roomStates))
		}
	}
}

// roomStates is after how many messages the room is as before.
const roomStates = 8

func roomMessage(agent int, free uint32) *wire.AgentMessage {
	record := serverRecord(agent)
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: &wire.Room{
		Server:            record.GetServer(),
		AddressKind:       settings.KindModel,
		Targets:           record.GetModels(),
		Free:              free,
		Running:           roomStates - free,
		LowestRunningTier: settings.LowestTier,
		PrefillTokensPerS: 8000,
		DecodeTokensPerS:  50,
		Condition:         wire.ServerCondition_SERVER_CONDITION_READY,
		Resume:            true,
		Kv:                true,
	}}}
}

// startEntryLinks registers entries and opens their links, on which they send heartbeats and do nothing else.
func (s *side) startEntryLinks(o Order) (Reply, error) {
	if err := s.registerEntries(o.Count, o.Controls); err != nil {
		return Reply{}, err
	}
	var up atomic.Int64
	for i := range o.Count {
		dialer := s.entryDialer(i, o)
		dialer.Up = func(context.Context, *wire.AgentHello) { up.Add(1) }
		dialer.Down = func(*wire.AgentHello, error) { up.Add(-1) }
		s.run(dialer.Run)
	}
	return Reply{}, until("all entries are linked", func() bool { return up.Load() == int64(o.Count) })
}

func entryName(i int) string { return fmt.Sprintf("entry-%04d", i) }

// registerEntries starts the sessions of entries: an agent takes links only of those that are in the directory.
func (s *side) registerEntries(count int, controls []string) error {
	var sessions []*session.Session
	for i := range count {
		sessions = append(sessions, s.entrySession(entryName(i), controls))
	}
	return until("all entries are registered", func() bool {
		return !slices.ContainsFunc(sessions, func(one *session.Session) bool { return one.Ready() != nil })
	})
}

// entryDialer is the link of entry i to the agent o.Name.
func (s *side) entryDialer(i int, o Order) *link.AgentDialer {
	hello := &wire.EntryHello{
		Entry:            entryName(i),
		Incarnation:      entryIncarnation,
		AvailabilityZone: "zone-1",
		ConfigVersion:    1,
	}
	return &link.AgentDialer{
		Network: network.TCP{},
		Address: o.Addresses[0],
		Agent:   o.Name,
		Hello:   func() *wire.EntryHello { return hello },
		Receive: s.countRoom,
	}
}

func (s *side) countRoom(_ context.Context, _ *wire.AgentHello, message *wire.AgentMessage) error {
	if message.GetRoom() != nil {
		s.rooms.Add(1)
	}
	return nil
}
