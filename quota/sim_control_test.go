package quota_test

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/wire"
)

func (c *simControl) begin() {
	s := c.s
	c.up = true
	c.start++
	start := c.start
	c.ledger = quota.NewLedger(
		func(string, time.Duration) float64 {
			last := s.caps[len(s.caps)-1]
			return last.rate*simWindow.Seconds() + last.burst
		},
		func(from quota.Incarnation, name string) uint64 {
			return s.state.TotalHeldUnits(name) - s.state.HeldUnits(from.Instance, from.Number, name)
		},
	)
	if c.disk != nil {
		record := new(wire.UsageRecord)
		if err := proto.Unmarshal(c.disk, record); err != nil {
			panic(err)
		}
		c.ledger.Restore(record, s.clock())
	}
	var save func()
	save = func() {
		if !c.up || c.start != start {
			return
		}
		if record := c.ledger.Snapshot(s.clock()); record != nil && s.now >= c.frozen {
			data, err := proto.Marshal(record)
			if err != nil {
				panic(err)
			}
			c.disk = data
		}
		s.after(quota.SaveInterval, save)
	}
	s.after(s.between(0, quota.SaveInterval), save)
}

func (c *simControl) kill() {
	c.up = false
	c.start++
}

// quorumNow tells whether a majority of control instances runs.
func (s *sim) quorumNow() bool {
	up := 0
	for _, c := range s.controls {
		if c.up && s.now >= c.frozen {
			up++
		}
	}
	return up > len(s.controls)/2
}

// apply commits a command at once.
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

// propose has a command of an entry committed, if a majority runs and the entry reaches one. The outcome may be lost, and a
// proposal whose outcome was lost may be committed later.
func (e *simEntry) propose(command *wire.Command, outcome func(*wire.CommandResult)) {
	s, started := e.s, e.started
	tell := func(res *wire.CommandResult) {
		if e.up && e.started == started {
			outcome(res)
		}
	}
	if !s.quorumNow() || !e.reaches() || s.now < e.frozen {
		s.after(s.between(50*time.Millisecond, simPropose), func() { tell(nil) })
		return
	}
	if s.rng.Float64() < 0.002 {
		s.after(s.between(0, 3*time.Second), func() { s.apply(command) })
		s.after(simPropose, func() { tell(nil) })
		return
	}
	slow := s.between(3*time.Millisecond, 15*time.Millisecond)
	if s.rng.Float64() < 0.01 {
		slow += s.between(0, 300*time.Millisecond)
	}
	if s.rng.Float64() < 0.01 { // sent again, since its outcome was late
		s.after(slow+s.between(0, time.Second), func() { s.apply(command) })
	}
	s.after(slow, func() {
		res := s.apply(command)
		s.after(s.between(time.Millisecond, 4*time.Millisecond), func() {
			if s.now < e.frozen {
				s.at(e.frozen, func() { tell(res) })
				return
			}
			tell(res)
		})
	})
}

// lead does what the leader does: it frees the shares of entries that have ended, and ends those that were silent.
func (s *sim) lead() {
	s.after(250*time.Millisecond, s.lead)
	leader := -1
	for i, c := range s.controls {
		if c.up && s.now >= c.frozen {
			leader = i
			break
		}
	}
	if !s.quorumNow() {
		leader = -1
	}
	if leader != s.leader || leader >= 0 && s.controls[leader].releasesFor != s.releases {
		s.leader, s.releases = leader, nil
		if leader >= 0 {
			s.releases = quota.NewReleaser(s.controls[leader].ledger)
			s.controls[leader].releasesFor = s.releases
			for _, e := range s.entries {
				e.heard = s.now
			}
		}
		return
	}
	if leader < 0 {
		return
	}
	for _, release := range s.releases.Due(s.clock(), s.state.SharesOfEndedEntries()) {
		s.apply(&wire.Command{Kind: &wire.Command_ReleaseShares{ReleaseShares: release}})
	}
	for _, e := range s.entries {
		if number := s.listed(e); number > 0 && s.now-e.heard > simSilent {
			s.apply(&wire.Command{Kind: &wire.Command_EndEntry{EndEntry: &wire.EndEntry{Entry: e.name(), Incarnation: number}}})
		}
	}
}

// listed is the start of an entry that the directory has, 0 for none.
func (s *sim) listed(e *simEntry) uint64 {
	for _, listed := range s.state.Entries() {
		if listed.GetEntry() == e.name() {
			return listed.GetIncarnation()
		}
	}
	return 0
}
