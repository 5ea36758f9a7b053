package state

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// advicePrefix marks what servers ask of their senders in the directory's history.
const advicePrefix = "w/"

// noteAdvice notes what a server asks of its senders. Where the record has changed since the version that the proposer goes by,
// the record stays: its proposer hears of it and judges anew.
//
// A server tells only those whose requests it answers. Without a record, a sender that starts again, or one that another takes the
// place of, would send as if nothing had been asked until its own first answer.
func (s *State) noteAdvice(cmd *wire.NoteServerAdvice) *wire.CommandResult {
	in := cmd.GetAdvice()
	server, rate := in.GetServer(), in.GetRatePerS()
	switch {
	case server == "" || len(server) > maxName:
		return refuse(result.BadMessage, "advice of a server without a name, or with a long one")
	case math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0:
		return refuse(result.BadMessage, "advice with a rate that is no number of at least 0")
	}
	known := s.advice[server]
	switch {
	case known.GetVersion() > in.GetVersion():
		return accepted()
	case !in.GetRateLimited() && !in.GetDraining():
		s.dropAdvice(server)
		return accepted()
	case known == nil:
		s.makeRoomForAdvice()
	}
	record := proto.CloneOf(in)
	record.Version = s.index
	s.advice[server] = record
	s.raiseDirectory(advicePrefix + server)
	return accepted()
}

// dropAdvice forgets what a server asked.
func (s *State) dropAdvice(server string) {
	if s.advice[server] == nil {
		return
	}
	delete(s.advice, server)
	s.raiseDirectory(advicePrefix + server)
}

// makeRoomForAdvice forgets the oldest record where there are as many as there may be.
func (s *State) makeRoomForAdvice() {
	if len(s.advice) < s.limits.Announcements {
		return
	}
	servers := slices.Sorted(maps.Keys(s.advice))
	oldest := slices.MinFunc(servers, func(a, b string) int {
		return cmp.Compare(s.advice[a].GetVersion(), s.advice[b].GetVersion())
	})
	s.dropAdvice(oldest)
}

// ServerAdvice returns what servers ask of their senders, sorted by server.
func (s *State) ServerAdvice() []*wire.ServerAdvice { return sorted(s.advice) }

// addAdviceTo puts what is known of a server into an update.
func (s *State) addAdviceTo(out *wire.DirectoryUpdate, server string) {
	if record := s.advice[server]; record != nil {
		out.Advice = append(out.Advice, record)
		return
	}
	out.RemovedAdvice = append(out.RemovedAdvice, server)
}
