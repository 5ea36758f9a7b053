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

// advise applies what a sender heard of a server, by the version of the record that it goes by.
func advise(s *State, advice *wire.ServerAdvice) *wire.CommandResult {
	return s.Apply(s.Index()+1, &wire.Command{UnixMs: s.LeaderUnixMS() + 1, Kind: &wire.Command_NoteServerAdvice{
		NoteServerAdvice: &wire.NoteServerAdvice{Advice: advice},
	}})
}

func limited(server string, rate float64, version uint64) *wire.ServerAdvice {
	return &wire.ServerAdvice{Server: server, RateLimited: true, RatePerS: rate, Version: version}
}

func TestAdviceIsToldToClientsAndKeptInSnapshots(t *testing.T) {
	s := New()
	advise(s, limited("a", 2.5, 0))
	before := s.DirectoryVersion()
	advise(s, limited("b", 0, 0))
	update := s.DirectorySince(before)
	require.Len(t, update.GetAdvice(), 1)
	require.Equal(t, "b", update.GetAdvice()[0].GetServer())

	restored := Restore(s.Snapshot())
	require.True(t, proto.Equal(s.Snapshot(), restored.Snapshot()))
	require.Equal(t, 2.5, restored.ServerAdvice()[0].GetRatePerS())

	before = s.DirectoryVersion()
	advise(s, &wire.ServerAdvice{Server: "a", Version: s.ServerAdvice()[0].GetVersion()})
	require.Equal(t, []string{"a"}, s.DirectorySince(before).GetRemovedAdvice())
	require.Len(t, s.ServerAdvice(), 1)
}

// A word that was delayed, or proposed again after its outcome was lost, must not undo a later one.
func TestDelayedAdviceDoesNotUndoALaterOne(t *testing.T) {
	s := New()
	first := limited("a", 2, 0)
	advise(s, first)
	advise(s, limited("a", 1, s.ServerAdvice()[0].GetVersion()))
	advise(s, first)
	require.Equal(t, 1.0, s.ServerAdvice()[0].GetRatePerS())
	advise(s, &wire.ServerAdvice{Server: "a", Version: 1})
	require.Len(t, s.ServerAdvice(), 1)
}

func TestAdviceWithoutMeaningIsRefused(t *testing.T) {
	s := New()
	for _, advice := range []*wire.ServerAdvice{
		nil, limited("", 1, 0), limited("a", -1, 0), limited("a", math.NaN(), 0), limited("a", math.Inf(1), 0),
		limited(string(make([]byte, maxName+1)), 1, 0),
	} {
		require.EqualValues(t, result.BadMessage, advise(s, advice).GetCode(), "%v", advice)
	}
	require.Empty(t, s.ServerAdvice())
}

func TestAdviceIsBounded(t *testing.T) {
	limits := DefaultLimits
	limits.Announcements = 3
	s := newState(limits)
	for i := range 5 {
		advise(s, limited(fmt.Sprint("server-", i), 1, 0))
	}
	require.Len(t, s.ServerAdvice(), 3)
	require.Equal(t, "server-2", s.ServerAdvice()[0].GetServer())
}

// Another run at the address has asked nothing yet.
func TestAdviceEndsWithTheRunOfItsServer(t *testing.T) {
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
	advise(s, limited(run, 1, 0))
	require.Len(t, s.ServerAdvice(), 1)
	announce(200, 1)
	require.Empty(t, s.ServerAdvice())
}
