package quota_test

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/wire"
)

func (c *simControl) start() {
	s := c.s
	c.up = true
	c.incarnation++
	incarnation := c.incarnation
	c.ledger = quota.NewLedger(
		func(string, time.Duration) float64 {
			last := s.caps[len(s.caps)-1]
			return last.rate*simWindow.Seconds() + last.burst
		},
		func(from quota.Incarnation, name string) (others, ended uint64) {
			return s.state.HeldByOthers(from.Instance, from.Number, name)
		},
	)
	if c.saved != nil {
		record := new(wire.UsageRecord)
		if err := proto.Unmarshal(c.saved, record); err != nil {
			panic(err)
		}
		c.ledger.Restore(record, s.clock())
	}
	c.releaser = quota.NewReleaser(c.ledger)
	var save func()
	save = func() {
		if !c.up || c.incarnation != incarnation {
			return
		}
		if record := c.ledger.Snapshot(s.clock()); record != nil && s.now >= c.frozenUntil {
			data, err := proto.Marshal(record)
			if err != nil {
				panic(err)
			}
			c.saved = data
		}
		s.after(quota.SaveInterval, save)
	}
	s.after(s.between(0, quota.SaveInterval), save)
}

func (c *simControl) kill() {
	c.up = false
	c.incarnation++
}

// hasQuorum reports whether a majority of control instances runs.
func (s *sim) hasQuorum() bool {
	up := 0
	for _, c := range s.controls {
		if c.up && s.now >= c.frozenUntil {
			up++
		}
	}
	return up > len(s.controls)/2
}

// apply commits a command immediately.
func (s *sim) apply(command *wire.Command) *wire.CommandResult {
	s.index++
	s.commits++
	return s.state.Apply(s.index, command)
}

func (s *sim) putDesired() {
	last := s.caps[len(s.caps)-1]
	s.apply(&wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{Desired: &wire.DesiredState{
		Version:       uint64(len(s.caps)),
		Organisations: []*wire.Member{{Name: simOrg, Keys: []string{"key"}, RatePerS: uint64(last.rate), Burst: uint64(last.burst)}},
	}}}})
}

// propose commits a command of an entry if a majority of control instances runs and the entry reaches one. The outcome
// may be lost, and a proposal whose outcome was lost may be committed later.
func (e *simEntry) propose(command *wire.Command, outcome func(*wire.CommandResult)) {
	s, incarnation := e.s, e.incarnation
	reply := func(res *wire.CommandResult) {
		if e.up && e.incarnation == incarnation {
			outcome(res)
		}
	}
	if !s.hasQuorum() || !e.reachesControl() || s.now < e.frozenUntil {
		s.after(s.between(50*time.Millisecond, simProposalTimeout), func() { reply(nil) })
		return
	}
	if s.rng.Float64() < 0.002 {
		s.after(s.between(0, 3*time.Second), func() { s.apply(command) })
		s.after(simProposalTimeout, func() { reply(nil) })
		return
	}
	delay := s.between(3*time.Millisecond, 15*time.Millisecond)
	if s.rng.Float64() < 0.01 {
		delay += s.between(0, 300*time.Millisecond)
	}
	if s.rng.Float64() < 0.01 { // sent again because the outcome was late
		s.after(delay+s.between(0, time.Second), func() { s.apply(command) })
	}
	s.after(delay, func() {
		res := s.apply(command)
		s.after(s.between(time.Millisecond, 4*time.Millisecond), func() {
			if s.now < e.frozenUntil {
				s.at(e.frozenUntil, func() { reply(res) })
				return
			}
			reply(res)
		})
	})
}

// runLeader acts as the control leader: it releases the shares of entries that have ended, and ends entries that were
// silent for too long.
func (s *sim) runLeader() {
	s.after(250*time.Millisecond, s.runLeader)
	leader := -1
	for i, c := range s.controls {
		if c.up && s.now >= c.frozenUntil {
			leader = i
			break
		}
	}
	if !s.hasQuorum() {
		leader = -1
	}
	var due []*wire.ReleaseShares
	for i, c := range s.controls {
		if !c.up || s.now < c.frozenUntil {
			continue
		}
		if releases := c.releaser.Due(s.clock(), s.state.SharesOfEndedEntries()); i == leader {
			due = releases
		}
	}
	if leader != s.leader || leader >= 0 && s.controls[leader].incarnation != s.leaderIncarnation {
		s.leader = leader
		if leader >= 0 {
			s.leaderIncarnation = s.controls[leader].incarnation
			for _, e := range s.entries {
				e.lastPoll = s.now
			}
		}
		return
	}
	if leader < 0 {
		return
	}
	for _, release := range due {
		s.apply(&wire.Command{Kind: &wire.Command_ReleaseShares{ReleaseShares: release}})
	}
	for _, e := range s.entries {
		if number := s.directoryIncarnation(e); number > 0 && s.now-e.lastPoll > simEntryTimeout {
			s.apply(&wire.Command{Kind: &wire.Command_EndEntry{EndEntry: &wire.EndEntry{Entry: e.name(), Incarnation: number}}})
		}
	}
}

// directoryIncarnation returns the incarnation of an entry in the directory, 0 for none.
func (s *sim) directoryIncarnation(e *simEntry) uint64 {
	for _, listed := range s.state.Entries() {
		if listed.GetEntry() == e.name() {
			return listed.GetIncarnation()
		}
	}
	return 0
}
