package quorum_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

const (
	preVote        = quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE
	preVoteReply   = quorumpb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY
	vote           = quorumpb.MessageType_MESSAGE_TYPE_VOTE
	voteReply      = quorumpb.MessageType_MESSAGE_TYPE_VOTE_REPLY
	appendEntries  = quorumpb.MessageType_MESSAGE_TYPE_APPEND
	appendReply    = quorumpb.MessageType_MESSAGE_TYPE_APPEND_REPLY
	heartbeat      = quorumpb.MessageType_MESSAGE_TYPE_HEARTBEAT
	heartbeatReply = quorumpb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY
	snapshot       = quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT
	timeoutNow     = quorumpb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW
)

// newEntries returns consecutive entries that start at index first, one for
// each term.
func newEntries(first uint64, terms ...uint64) []*quorumpb.Entry {
	var es []*quorumpb.Entry
	for i, term := range terms {
		es = append(es, &quorumpb.Entry{Index: first + uint64(i), Term: term, Data: []byte("x")})
	}
	return es
}

// newFollower returns replica a of a group of three in term 5. Its log has
// entries of terms 1 (the membership), 2, 3 and 5. If leaderKnown, its leader
// is b.
func newFollower(t *testing.T, leaderKnown bool) *quorum.Node {
	c := newCluster(t, 3, 1)
	first := c.replicas[0].disk.entries[0]
	log := append([]*quorumpb.Entry{first}, newEntries(2, 2, 3, 5)...)
	n, err := quorum.New(quorum.Config{ID: replicaID(0), Rand: rand.New(rand.NewPCG(1, 1))},
		&quorumpb.HardState{Term: 5, Commit: 2}, nil, log)
	require.NoError(t, err)
	if leaderKnown {
		require.NoError(t, n.Step(newMessage(heartbeat, 5, &quorumpb.Message{})))
		processAll(n)
	}
	return n
}

// newMessage returns a copy of m with the given type and term, sent from b to a
// unless m has other addresses.
func newMessage(kind quorumpb.MessageType, term uint64, m *quorumpb.Message) *quorumpb.Message {
	m = proto.CloneOf(m)
	m.Type, m.Term = kind, term
	if m.From == "" {
		m.From = string(replicaID(1))
	}
	if m.To == "" {
		m.To = string(replicaID(0))
	}
	return m
}

// processAll persists and applies all batches and returns their messages.
func processAll(n *quorum.Node) []*quorumpb.Message {
	var out []*quorumpb.Message
	for b, ok := n.Ready(); ok; b, ok = n.Ready() {
		out = append(append(out, b.Early...), b.Messages...)
		n.Advance(b)
		if len(b.Committed) > 0 {
			n.AppliedTo(b.Committed[len(b.Committed)-1].GetIndex())
		}
	}
	return out
}

// Each message to a follower must produce the reply, term and last index that
// the protocol requires.
func TestFollowerReplies(t *testing.T) {
	meta := &quorumpb.SnapshotMeta{Index: 9, Term: 5, Membership: &quorumpb.Membership{Group: "group"}}
	cases := []struct {
		name string
		// noLeader is true for a follower that knows no leader.
		noLeader bool
		in       *quorumpb.Message
		// want is nil if no reply is expected.
		want       *quorumpb.Message
		term, last uint64
	}{
		{"pre-vote, newer log", true, newMessage(preVote, 6, &quorumpb.Message{Index: 4, IndexTerm: 5}), newMessage(preVoteReply, 6, &quorumpb.Message{}), 5, 4},
		{"pre-vote, shorter log", true, newMessage(preVote, 6, &quorumpb.Message{Index: 3, IndexTerm: 5}), newMessage(preVoteReply, 5, &quorumpb.Message{Reject: true}), 5, 4},
		{"pre-vote, longer log of an older term", true, newMessage(preVote, 6, &quorumpb.Message{Index: 9, IndexTerm: 4}), newMessage(preVoteReply, 5, &quorumpb.Message{Reject: true}), 5, 4},
		{"pre-vote, own term", true, newMessage(preVote, 5, &quorumpb.Message{Index: 4, IndexTerm: 5}), newMessage(preVoteReply, 5, &quorumpb.Message{Reject: true}), 5, 4},
		{"pre-vote while a leader is active", false, newMessage(preVote, 6, &quorumpb.Message{Index: 4, IndexTerm: 5}), newMessage(preVoteReply, 5, &quorumpb.Message{Reject: true}), 5, 4},
		{"pre-vote of an older term", true, newMessage(preVote, 4, &quorumpb.Message{Index: 4, IndexTerm: 5}), newMessage(preVoteReply, 5, &quorumpb.Message{Reject: true}), 5, 4},
		{"vote", true, newMessage(vote, 6, &quorumpb.Message{Index: 4, IndexTerm: 5}), newMessage(voteReply, 6, &quorumpb.Message{}), 6, 4},
		{"vote, shorter log", true, newMessage(vote, 6, &quorumpb.Message{Index: 3, IndexTerm: 5}), newMessage(voteReply, 6, &quorumpb.Message{Reject: true}), 6, 4},
		{"vote, longer log of an older term", true, newMessage(vote, 6, &quorumpb.Message{Index: 9, IndexTerm: 3}), newMessage(voteReply, 6, &quorumpb.Message{Reject: true}), 6, 4},
		{"vote while a leader is active", false, newMessage(vote, 6, &quorumpb.Message{Index: 4, IndexTerm: 5}), nil, 5, 4},
		{"vote for a leadership transfer", false, newMessage(vote, 6, &quorumpb.Message{Index: 4, IndexTerm: 5, Transfer: true}), newMessage(voteReply, 6, &quorumpb.Message{}), 6, 4},
		{"vote of an older term", true, newMessage(vote, 4, &quorumpb.Message{Index: 4, IndexTerm: 5}), newMessage(voteReply, 5, &quorumpb.Message{Reject: true}), 5, 4},
		{"append", false, newMessage(appendEntries, 5, &quorumpb.Message{Index: 4, IndexTerm: 5, Entries: newEntries(5, 5, 5)}), newMessage(appendReply, 5, &quorumpb.Message{Index: 6}), 5, 6},
		{"append already in the log", false, newMessage(appendEntries, 5, &quorumpb.Message{Index: 2, IndexTerm: 2, Entries: newEntries(3, 3)}), newMessage(appendReply, 5, &quorumpb.Message{Index: 3}), 5, 4},
		{"append that replaces conflicting entries", false, newMessage(appendEntries, 5, &quorumpb.Message{Index: 2, IndexTerm: 2, Entries: newEntries(3, 4)}), newMessage(appendReply, 5, &quorumpb.Message{Index: 3}), 5, 3},
		{"append before the commit index", false, newMessage(appendEntries, 5, &quorumpb.Message{Index: 1, IndexTerm: 1, Entries: newEntries(2, 2)}), newMessage(appendReply, 5, &quorumpb.Message{Index: 2}), 5, 4},
		{"append after a gap", false, newMessage(appendEntries, 5, &quorumpb.Message{Index: 8, IndexTerm: 5, Entries: newEntries(9, 5)}), newMessage(appendReply, 5, &quorumpb.Message{Index: 8, Reject: true, HintIndex: 4, HintTerm: 5}), 5, 4},
		{"append after another term", false, newMessage(appendEntries, 5, &quorumpb.Message{Index: 4, IndexTerm: 4}), newMessage(appendReply, 5, &quorumpb.Message{Index: 4, Reject: true, HintIndex: 3, HintTerm: 3}), 5, 4},
		{"append of a newer term", false, newMessage(appendEntries, 7, &quorumpb.Message{Index: 4, IndexTerm: 5}), newMessage(appendReply, 7, &quorumpb.Message{Index: 4}), 7, 4},
		{"append of an older term", false, newMessage(appendEntries, 4, &quorumpb.Message{Index: 4, IndexTerm: 5}), newMessage(heartbeatReply, 5, &quorumpb.Message{Reject: true}), 5, 4},
		{"heartbeat", false, newMessage(heartbeat, 5, &quorumpb.Message{ReadRound: 3}), newMessage(heartbeatReply, 5, &quorumpb.Message{ReadRound: 3}), 5, 4},
		{"heartbeat of an older term", false, newMessage(heartbeat, 4, &quorumpb.Message{ReadRound: 3}), newMessage(heartbeatReply, 5, &quorumpb.Message{Reject: true}), 5, 4},
		{"snapshot", false, newMessage(snapshot, 5, &quorumpb.Message{Snapshot: &quorumpb.Snapshot{Meta: meta}}), newMessage(appendReply, 5, &quorumpb.Message{Index: 9}), 5, 9},
		{"snapshot already in the log", false, newMessage(snapshot, 5, &quorumpb.Message{Snapshot: &quorumpb.Snapshot{Meta: &quorumpb.SnapshotMeta{Index: 4, Term: 5}}}), newMessage(appendReply, 5, &quorumpb.Message{Index: 4}), 5, 4},
		{"append reply to a follower", false, newMessage(appendReply, 5, &quorumpb.Message{Index: 4}), nil, 5, 4},
		{"timeout now from a replica that is not the leader", true, newMessage(timeoutNow, 5, &quorumpb.Message{}), nil, 5, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newFollower(t, !c.noLeader)
			require.NoError(t, n.Step(c.in))
			out := processAll(n)
			require.Equal(t, c.term, n.Status().Term)
			require.Equal(t, c.last, n.Status().Last)
			if c.want == nil {
				require.Empty(t, out)
				return
			}
			require.Len(t, out, 1)
			want := proto.CloneOf(c.want)
			want.From, want.To, want.Group = c.in.GetTo(), c.in.GetFrom(), "group"
			if out[0].GetIndex() == meta.GetIndex() {
				want.Group = out[0].GetGroup()
			}
			require.True(t, proto.Equal(want, out[0]), "want %v\ngot  %v", want, out[0])
		})
	}
}

// Step must reject messages that are misaddressed, violate the protocol or show
// that the log lost entries; accepting one could corrupt the log.
func TestStepRejectsInvalidMessages(t *testing.T) {
	cases := []struct {
		name string
		in   *quorumpb.Message
		want error
	}{
		{"another replica", newMessage(heartbeat, 5, &quorumpb.Message{To: "c/disk1"}), quorum.ErrMisaddressed},
		{"an earlier disk", newMessage(heartbeat, 5, &quorumpb.Message{To: "a/disk0"}), quorum.ErrMisaddressed},
		{"another group", newMessage(heartbeat, 5, &quorumpb.Message{Group: "other"}), quorum.ErrMisaddressed},
		{"from itself", newMessage(heartbeat, 5, &quorumpb.Message{From: "a/disk1"}), quorum.ErrMalformed},
		{"no term", newMessage(heartbeat, 0, &quorumpb.Message{}), quorum.ErrMalformed},
		{"no type", newMessage(0, 5, &quorumpb.Message{}), quorum.ErrMalformed},
		{"second leader of a term", newMessage(heartbeat, 5, &quorumpb.Message{From: "c/disk1"}), quorum.ErrMalformed},
		{"gap in the entries", newMessage(appendEntries, 5, &quorumpb.Message{Index: 4, IndexTerm: 5, Entries: newEntries(6, 5)}), quorum.ErrMalformed},
		{"decreasing terms", newMessage(appendEntries, 5, &quorumpb.Message{Index: 4, IndexTerm: 5, Entries: newEntries(5, 4)}), quorum.ErrMalformed},
		{"entry of a later term", newMessage(appendEntries, 5, &quorumpb.Message{Index: 4, IndexTerm: 5, Entries: newEntries(5, 6)}), quorum.ErrMalformed},
		{"malformed membership", newMessage(appendEntries, 5, &quorumpb.Message{Index: 4, IndexTerm: 5, Entries: []*quorumpb.Entry{
			{Index: 5, Term: 5, Type: quorumpb.EntryType_ENTRY_TYPE_MEMBERSHIP, Data: []byte{0xff}},
		}}), quorum.ErrMalformed},
		{"snapshot without metadata", newMessage(snapshot, 5, &quorumpb.Message{}), quorum.ErrMalformed},
		{"commit index beyond the log", newMessage(heartbeat, 5, &quorumpb.Message{Commit: 5}), quorum.ErrLostLog},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newFollower(t, true)
			require.ErrorIs(t, n.Step(c.in), c.want)
		})
	}
}

// A leader must advance its commit index only on a valid acknowledgement, and
// step down only for a leader or a rejection of a later term.
func TestLeaderHandlesMessages(t *testing.T) {
	cases := []struct {
		name string
		in   *quorumpb.Message
		// commit and role are the state after the message; the entry of the
		// leader's term has index 2.
		commit uint64
		role   quorum.Role
	}{
		{"acknowledgement", &quorumpb.Message{Type: appendReply, Index: 2}, 2, quorum.RoleLeader},
		{"acknowledgement of an older entry", &quorumpb.Message{Type: appendReply, Index: 1}, 1, quorum.RoleLeader},
		{"acknowledgement beyond the log", &quorumpb.Message{Type: appendReply, Index: 9}, 1, quorum.RoleLeader},
		{"rejection", &quorumpb.Message{Type: appendReply, Index: 1, Reject: true}, 1, quorum.RoleLeader},
		{"heartbeat reply", &quorumpb.Message{Type: heartbeatReply}, 1, quorum.RoleLeader},
		{"vote reply of an earlier election", &quorumpb.Message{Type: voteReply}, 1, quorum.RoleLeader},
		{"pre-vote reply of an earlier election", &quorumpb.Message{Type: preVoteReply}, 1, quorum.RoleLeader},
		{"old term", &quorumpb.Message{Type: appendReply, Index: 2, Term: 1}, 1, quorum.RoleLeader},
		{"newer term", &quorumpb.Message{Type: heartbeatReply, Term: 9, Reject: true}, 1, quorum.RoleFollower},
		{"newer leader", &quorumpb.Message{Type: heartbeat, Term: 9}, 1, quorum.RoleFollower},
		{"vote request of another candidate", &quorumpb.Message{Type: vote, Term: 9, Index: 9, IndexTerm: 8}, 1, quorum.RoleLeader},
		{"pre-vote request of another candidate", &quorumpb.Message{Type: preVote, Term: 9, Index: 9, IndexTerm: 8}, 1, quorum.RoleLeader},
		{"reply from a replica outside the group", &quorumpb.Message{Type: appendReply, Index: 2, From: "x/disk1"}, 1, quorum.RoleLeader},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			l := c.replicas[0]
			for l.node.Status().Role != quorum.RoleLeader {
				l.node.Tick()
				c.processReady(l)
				for len(c.network) > 0 && l.node.Status().Role != quorum.RoleLeader {
					c.deliver(0)
				}
			}
			term := tc.in.GetTerm()
			if term == 0 {
				term = l.node.Status().Term
			}
			require.NoError(t, l.node.Step(newMessage(tc.in.GetType(), term, tc.in)))
			require.Equal(t, tc.commit, l.node.Status().Commit)
			require.Equal(t, tc.role, l.node.Status().Role)
		})
	}
}
