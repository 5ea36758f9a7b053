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

// advicePrefix marks server advice in the directory history.
const advicePrefix = "w/"

// noteServerAdvice stores the rate limit or drain state that a server has asked its senders to observe. A command
// whose version is older than the stored record changes nothing; its proposer receives the newer record and decides
// again. Advice that asks for nothing removes the record.
//
// A server sends its advice only with answers to requests. The replicated record lets a sender that starts or takes
// over respect the advice before it has received an answer of its own.
func (s *State) noteServerAdvice(cmd *wire.NoteServerAdvice) *wire.CommandResult {
	in := cmd.GetAdvice()
	server, rate := in.GetServer(), in.GetRatePerS()
	switch {
	case server == "" || len(server) > maxName:
		return refuse(result.BadMessage, "advice of a server without a name, or with a long one")
	case math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0:
		return refuse(result.BadMessage, "advice with a rate that is no number of at least 0")
	}
	current := s.advice[server]
	switch {
	case current.GetVersion() > in.GetVersion():
		return accepted()
	case !in.GetRateLimited() && !in.GetDraining():
		s.removeAdvice(server)
		return accepted()
	case current == nil:
		s.evictAdviceIfFull()
	}
	record := proto.CloneOf(in)
	record.Version = s.index
	s.advice[server] = record
	s.advanceDirectoryVersion(advicePrefix + server)
	return accepted()
}

// removeAdvice deletes the advice of a server, if any.
func (s *State) removeAdvice(server string) {
	if s.advice[server] == nil {
		return
	}
	delete(s.advice, server)
	s.advanceDirectoryVersion(advicePrefix + server)
}

// evictAdviceIfFull deletes the record with the lowest version if the number of records has reached
// Limits.Announcements.
func (s *State) evictAdviceIfFull() {
	if len(s.advice) < s.limits.Announcements {
		return
	}
	servers := slices.Sorted(maps.Keys(s.advice))
	oldest := slices.MinFunc(servers, func(a, b string) int {
		return cmp.Compare(s.advice[a].GetVersion(), s.advice[b].GetVersion())
	})
	s.removeAdvice(oldest)
}

// ServerAdvice returns the current advice of all servers, sorted by server.
func (s *State) ServerAdvice() []*wire.ServerAdvice { return sortedValues(s.advice) }

// appendAdviceUpdate adds the advice of a server, or its removal, to a directory update.
func (s *State) appendAdviceUpdate(out *wire.DirectoryUpdate, server string) {
	if record := s.advice[server]; record != nil {
		out.Advice = append(out.Advice, record)
		return
	}
	out.RemovedAdvice = append(out.RemovedAdvice, server)
}
