package control

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: an operator or an entry is told that nothing was committed, though it was.
// Sequence: a proposal ends without a clear answer, such as at the stop of the replica.
// Cause: taking the refusal inside an unknown outcome for a refusal of the proposal.
func TestProposalErrors(t *testing.T) {
	cases := []struct {
		err  error
		code result.Code
		ran  result.Ran
	}{
		{quorum.ErrNotLeader, result.NotLeader, result.RanNo},
		{quorum.ErrTransferring, result.NotLeader, result.RanNo},
		{quorum.ErrQueueFull, result.ProposalQueueFull, result.RanNo},
		{quorum.ErrUncommittedFull, result.ProposalQueueFull, result.RanNo},
		{quorum.ErrTooLarge, result.EntryTooLarge, result.RanNo},
		{quorum.ErrStopped, result.Stopping, result.RanNo},
		{quorum.ErrCanceled, result.ControlUnavailable, result.RanNo},
		{&replica.UnknownOutcomeError{Cause: replica.ErrLeadershipLost}, result.ProposalUnknown, result.RanUnknown},
		{&replica.UnknownOutcomeError{Cause: quorum.ErrStopped}, result.ProposalUnknown, result.RanUnknown},
		{&replica.UnknownOutcomeError{Cause: context.Canceled}, result.ProposalUnknown, result.RanUnknown},
		{errors.New("anything else"), result.ProposalUnknown, result.RanUnknown},
	}
	for _, test := range cases {
		got := result.From(proposalError(test.err))
		require.Equal(t, test.code, got.Code, "%v", test.err)
		require.Equal(t, test.ran, got.Ran, "%v", test.err)
	}
}

// Symptom: a read is answered with what was replaced.
// Sequence: a leader's reply to one round comes so late that the next round runs.
// Cause: taking any reply for one to the present round.
func TestLateReadReply(t *testing.T) {
	r := newReads(&Control{})
	first, _ := r.begin()
	second, replies := r.begin()
	r.reply(&wire.ReadReply{Round: first, Confirmed: true})
	require.Empty(t, replies)
	r.reply(&wire.ReadReply{Round: second, Confirmed: true})
	r.reply(&wire.ReadReply{Round: second, Confirmed: true})
	require.Len(t, replies, 1)
}

// Symptom: all entries and agents are removed at once, though all are alive.
// Sequence: the platform stops the leader's process for a minute, without a new election; it goes on.
// Cause: silence that the leader itself caused.
func TestPausedLeaderRemovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(settings.Control{
			Instance: "a", DataDir: "/data", Timing: settings.DefaultControl().Timing,
			Listen: settings.ControlListen{Operators: ":0", Links: ":0"},
		}, Options{Network: memory.New().Host("10.0.0.1"), FS: journaltest.New()})
		require.NoError(t, err)
		defer c.Close()
		c.machine.state.Apply(1, &wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{
			Entry: &wire.EntryRecord{Entry: "e", Incarnation: 1},
		}}})
		bound := c.settings.Timing.ServerExpire
		l := c.leader
		l.since, l.lastRound = time.Now(), time.Now()
		time.Sleep(bound + time.Minute) // the duty didn't run
		l.notePause()
		require.Empty(t, l.ends(bound))
		for range 2 * int(bound/leaderInterval) {
			time.Sleep(leaderInterval)
			l.notePause()
		}
		require.Len(t, l.ends(bound), 1, "silent while the leader listened")
	})
}

// Symptom: an accepted change is lost when an instance fails right after a repair.
// Sequence: an instance comes with an empty disk under a new identity.
// Cause: a vote for a replica that doesn't hold the log, or taking the earlier replica away before.
func TestMemberSteps(t *testing.T) {
	hello := &wire.ReplicaHello{Instance: "b", Replica: "b/new", LinkAddress: "10.0.0.2:1"}
	voter := func(id quorum.ID) replica.Member { return replica.Member{ID: id, Voter: true} }
	learner := replica.Member{ID: "b/new"}
	caughtUp := []quorum.Progress{{ID: "b/new", Active: true, Match: 9}}
	cases := []struct {
		name     string
		hello    *wire.ReplicaHello
		members  []replica.Member
		progress []quorum.Progress
		want     *memberStep
	}{
		{"never said hello", nil, []replica.Member{voter("a/1")}, nil, nil},
		{"identity of another instance", &wire.ReplicaHello{Instance: "b", Replica: "a/1"}, []replica.Member{voter("a/1")}, nil, nil},
		{"new disk", hello, []replica.Member{voter("a/1"), voter("b/old")}, nil, &memberStep{quorum.AddLearner, "b/new", "10.0.0.2:1"}},
		{"behind", hello, []replica.Member{voter("a/1"), voter("b/old"), learner}, []quorum.Progress{{ID: "b/new", Active: true, Match: 8}}, nil},
		{"silent", hello, []replica.Member{voter("a/1"), voter("b/old"), learner}, []quorum.Progress{{ID: "b/new", Match: 9}}, nil},
		{"caught up", hello, []replica.Member{voter("a/1"), voter("b/old"), learner}, caughtUp, &memberStep{change: quorum.Remove, id: "b/old"}},
		{"earlier one gone", hello, []replica.Member{voter("a/1"), learner}, caughtUp, &memberStep{change: quorum.Promote, id: "b/new"}},
		{"done", hello, []replica.Member{voter("a/1"), voter("b/new")}, caughtUp, nil},
	}
	now := time.Unix(1_700_000_000, 0)
	for _, test := range cases {
		view := memberView{
			status: replica.Status{Commit: 9, Members: test.members, Progress: test.progress},
			known:  map[string]peerInfo{"b": {hello: test.hello, heard: now}},
			self:   "a/1", wanted: 2, since: now, now: now,
		}
		require.Equal(t, test.want, view.next(), test.name)
	}
}

// Symptom: the group is lost with the second instance that is replaced. Sequence: a voter goes for good; an empty one comes
// at another address, which no settings name; later another voter goes. Cause: members taken from the settings alone.
func TestReplacementTakesTheVoteOfASilentVoter(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	voters := []replica.Member{{ID: "a/1", Voter: true}, {ID: "b/1", Voter: true}, {ID: "c/1", Voter: true}}
	learner := append(slices.Clone(voters), replica.Member{ID: "d/1"})
	heard := func(id string, ago time.Duration) peerInfo {
		instance, _, _ := strings.Cut(id, "/")
		hello := &wire.ReplicaHello{Instance: instance, Replica: id, LinkAddress: instance + ":1"}
		return peerInfo{hello: hello, heard: now.Add(-ago)}
	}
	active := func(ids ...quorum.ID) []quorum.Progress {
		var list []quorum.Progress
		for _, id := range ids {
			list = append(list, quorum.Progress{ID: id, Active: true, Match: 9})
		}
		return list
	}
	cases := map[string]struct {
		members  []replica.Member
		progress []quorum.Progress
		silent   time.Duration // of voter c
		fresh    time.Duration // since the newcomer was heard
		leads    time.Duration
		want     *memberStep
	}{
		"newcomer becomes a learner":       {voters, active("b/1", "c/1"), 0, 0, time.Minute, &memberStep{quorum.AddLearner, "d/1", "d:1"}},
		"one heard long ago doesn't":       {voters, active("b/1", "c/1"), 0, memberHeard + 1, time.Minute, nil},
		"all voters are there":             {learner, active("b/1", "c/1", "d/1"), 0, 0, time.Minute, nil},
		"a voter is silent for a moment":   {learner, active("b/1", "d/1"), voterSilent, 0, time.Minute, nil},
		"a voter is silent":                {learner, active("b/1", "d/1"), voterSilent + 1, 0, time.Minute, &memberStep{change: quorum.Remove, id: "c/1"}},
		"the learner isn't caught up":      {learner, active("b/1"), voterSilent + 1, 0, time.Minute, nil},
		"the leader has only just begun":   {learner, active("b/1", "d/1"), time.Hour, 0, voterSilent, nil},
		"the silent voter's vote is given": {append(slices.Clone(voters[:2]), learner[3]), active("b/1", "d/1"), time.Hour, 0, time.Minute, &memberStep{change: quorum.Promote, id: "d/1"}},
	}
	for name, test := range cases {
		view := memberView{
			status: replica.Status{Commit: 9, Members: test.members, Progress: test.progress},
			known:  map[string]peerInfo{"b": heard("b/1", 0), "c": heard("c/1", test.silent), "d": heard("d/1", test.fresh)},
			self:   "a/1", wanted: 3, since: now.Add(-test.leads), now: now,
		}
		if test.silent > memberHeard {
			delete(view.known, "c") // else its hello would have it added again
		}
		require.Equal(t, test.want, view.next(), name)
	}
}

func TestSilentLearnerIsRemoved(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	view := memberView{
		status: replica.Status{Commit: 9, Members: []replica.Member{{ID: "a/1", Voter: true}, {ID: "b/1"}}},
		self:   "a/1", wanted: 1, since: now.Add(-learnerSilent), now: now,
	}
	require.Nil(t, view.next())
	view.now = now.Add(1)
	require.Equal(t, &memberStep{change: quorum.Remove, id: "b/1"}, view.next())
}

// Symptom: a class changes without an operator.
// Sequence: an entry or agent, or who took its place, proposes what isn't its business.
// Cause: a session that proposes whatever comes.
func TestWhoMayProposeWhat(t *testing.T) {
	entry := &wire.ClientHello{Instance: "x", Role: wire.Role_ROLE_ENTRY, Incarnation: 2}
	agent := &wire.ClientHello{Instance: "x", Role: wire.Role_ROLE_AGENT, Incarnation: 2}
	endEntry := func(name string, incarnation uint64) *wire.Command {
		return &wire.Command{Kind: &wire.Command_EndEntry{EndEntry: &wire.EndEntry{Entry: name, Incarnation: incarnation}}}
	}
	removeAgent := func(name string, incarnation uint64) *wire.Command {
		return &wire.Command{Kind: &wire.Command_RemoveAgent{RemoveAgent: &wire.RemoveAgent{Agent: name, Incarnation: incarnation}}}
	}
	registerEntry := func(name string) *wire.Command {
		r := &wire.RegisterEntry{Entry: &wire.EntryRecord{Entry: name}}
		return &wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: r}}
	}
	registerAgent := func(name string) *wire.Command {
		r := &wire.RegisterAgent{Agent: &wire.AgentRecord{Agent: name}}
		return &wire.Command{Kind: &wire.Command_RegisterAgent{RegisterAgent: r}}
	}
	cases := []struct {
		cmd                      *wire.Command
		byEntry, byAgent, byPeer bool
	}{
		{registerEntry("x"), true, false, false},
		{registerEntry("y"), false, false, false},
		{registerAgent("x"), false, true, false},
		{registerAgent("y"), false, false, false},
		{&wire.Command{Kind: &wire.Command_BeginOperation{}}, true, false, false},
		{&wire.Command{Kind: &wire.Command_WidenOperation{}}, true, false, false},
		{&wire.Command{Kind: &wire.Command_ReleaseOperation{}}, true, false, false},
		{&wire.Command{Kind: &wire.Command_CompleteOperation{}}, true, true, false},
		{&wire.Command{Kind: &wire.Command_PutClass{}}, false, false, true},
		{&wire.Command{Kind: &wire.Command_DeleteClass{}}, false, false, true},
		{&wire.Command{Kind: &wire.Command_DrainServer{}}, false, false, true},
		{&wire.Command{Kind: &wire.Command_InitializeClasses{}}, false, false, false},
		{endEntry("x", 2), true, false, false},
		{endEntry("x", 3), false, false, false},
		{endEntry("y", 2), false, false, false},
		{removeAgent("x", 2), false, true, false},
		{removeAgent("x", 1), false, false, false},
		{removeAgent("y", 2), false, false, false},
		{&wire.Command{Kind: &wire.Command_ExpireOperations{}}, false, false, false},
		{&wire.Command{Kind: &wire.Command_RaiseFence{}}, false, false, false},
		{&wire.Command{Kind: &wire.Command_PutOrder{}}, false, false, false},
		{&wire.Command{Kind: &wire.Command_EndOrder{}}, false, false, false},
		{&wire.Command{}, false, false, false},
	}
	for _, test := range cases {
		require.Equal(t, test.byEntry, mayPropose(entry, test.cmd), "%T by an entry", test.cmd.GetKind())
		require.Equal(t, test.byAgent, mayPropose(agent, test.cmd), "%T by an agent", test.cmd.GetKind())
		require.Equal(t, test.byPeer, mayForward(test.cmd), "%T forwarded", test.cmd.GetKind())
	}
}
