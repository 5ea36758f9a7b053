package state

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// applyAdvice applies server advice whose version is that of the record its proposer has seen.
func applyAdvice(s *State, advice *wire.ServerAdvice) *wire.CommandResult {
	return s.Apply(s.Index()+1, &wire.Command{UnixMs: s.LeaderUnixMS() + 1, Kind: &wire.Command_NoteServerAdvice{
		NoteServerAdvice: &wire.NoteServerAdvice{Advice: advice},
	}})
}

func rateLimited(server string, rate float64, version uint64) *wire.ServerAdvice {
	return &wire.ServerAdvice{Server: server, RateLimited: true, RatePerS: rate, Version: version}
}

// Advice missing from a delta or a snapshot would leave clients and restored replicas without the rate limits of
// servers.
func TestAdviceIsInDeltasAndSnapshots(t *testing.T) {
	s := New()
	applyAdvice(s, rateLimited("a", 2.5, 0))
	before := s.DirectoryVersion()
	applyAdvice(s, rateLimited("b", 0, 0))
	update := s.DirectorySince(before)
	require.Len(t, update.GetAdvice(), 1)
	require.Equal(t, "b", update.GetAdvice()[0].GetServer())

	restored := Restore(s.Snapshot())
	require.True(t, proto.Equal(s.Snapshot(), restored.Snapshot()))
	require.Equal(t, 2.5, restored.ServerAdvice()[0].GetRatePerS())

	before = s.DirectoryVersion()
	applyAdvice(s, &wire.ServerAdvice{Server: "a", Version: s.ServerAdvice()[0].GetVersion()})
	require.Equal(t, []string{"a"}, s.DirectorySince(before).GetRemovedAdvice())
	require.Len(t, s.ServerAdvice(), 1)
}

// A command that is delayed, or proposed again after its outcome was lost, must not replace newer advice.
func TestDelayedAdviceDoesNotReplaceNewerAdvice(t *testing.T) {
	s := New()
	first := rateLimited("a", 2, 0)
	applyAdvice(s, first)
	applyAdvice(s, rateLimited("a", 1, s.ServerAdvice()[0].GetVersion()))
	applyAdvice(s, first)
	require.Equal(t, 1.0, s.ServerAdvice()[0].GetRatePerS())
	applyAdvice(s, &wire.ServerAdvice{Server: "a", Version: 1})
	require.Len(t, s.ServerAdvice(), 1)
}

// Advice without a valid server name, or with a rate that is negative or not finite, must not enter the state.
func TestInvalidAdviceIsRefused(t *testing.T) {
	s := New()
	for _, advice := range []*wire.ServerAdvice{
		nil, rateLimited("", 1, 0), rateLimited("a", -1, 0), rateLimited("a", math.NaN(), 0), rateLimited("a", math.Inf(1), 0),
		rateLimited(string(make([]byte, maxName+1)), 1, 0),
	} {
		require.EqualValues(t, result.BadMessage, applyAdvice(s, advice).GetCode(), "%v", advice)
	}
	require.Empty(t, s.ServerAdvice())
}

// Without a bound, advice of ever new server names would grow the state indefinitely. The oldest records are evicted
// first.
func TestAdviceIsBounded(t *testing.T) {
	limits := DefaultLimits
	limits.Announcements = 3
	s := newState(limits)
	for i := range 5 {
		applyAdvice(s, rateLimited(fmt.Sprint("server-", i), 1, 0))
	}
	require.Len(t, s.ServerAdvice(), 3)
	require.Equal(t, "server-2", s.ServerAdvice()[0].GetServer())
}

// Advice of an earlier run must not limit a server that has restarted at the address and has not asked for anything.
func TestAdviceIsRemovedWhenServerRestarts(t *testing.T) {
	s := New()
	announce := func(started, sequence uint64) {
		s.Apply(s.Index()+1, &wire.Command{Kind: &wire.Command_AnnounceServers{AnnounceServers: &wire.AnnounceServers{
			Announcements: []*wire.Announcement{{
				Server: "i-1", Pool: "pool", Address: "10.0.0.1:80", StartedUnixMs: started, Sequence: sequence,
			}},
		}}})
	}
	announce(100, 1)
	run := s.Announcements()[0].Run().String()
	applyAdvice(s, rateLimited(run, 1, 0))
	require.Len(t, s.ServerAdvice(), 1)
	announce(200, 1)
	require.Empty(t, s.ServerAdvice())
}
