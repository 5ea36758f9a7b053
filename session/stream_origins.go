package session

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Versions is what the control instances say of the software versions of pools.
type Versions struct {
	// Mixed holds the pools of which servers of several versions have been in the directory within origin.Retention.
	Mixed map[string]bool
	// Complete reports whether an instance has seen all of them.
	Complete bool
}

// maxVouchAge is how much older than the newest confirmed answer one may be and still show that all versions are known. Instances
// are polled each second.
const maxVouchAge = 2 * time.Second

// VersionAnswers merges what the control instances say of software versions. It does no I/O, and callers pass in the times. The zero
// value is empty.
type VersionAnswers struct {
	byInstance map[string]versionAnswer
	confirmed  time.Time // when the last poll was sent whose answer a quorum confirmed
}

// versionAnswer is what one control instance has said.
type versionAnswer struct {
	mixed    []string
	mixedAt  time.Time // when the poll was sent that it answers
	vouching time.Time // the same for the last confirmed answer, zero if that one said that versions may be unknown
}

// Note records the answer of an instance to a poll. An instance whose answer no quorum confirmed may not know of all versions, but
// what it knows is true.
func (a *VersionAnswers) Note(instance string, sent time.Time, confirmed bool, versions *wire.PoolVersions) {
	if a.byInstance == nil {
		a.byInstance = make(map[string]versionAnswer)
	}
	answer := a.byInstance[instance]
	if confirmed {
		answer.vouching = time.Time{}
		if versions.GetComplete() {
			answer.vouching = sent
		}
		if sent.After(a.confirmed) {
			a.confirmed = sent
		}
	}
	if confirmed || len(versions.GetMixed()) > 0 {
		answer.mixed, answer.mixedAt = versions.GetMixed(), sent
	}
	a.byInstance[instance] = answer
}

// Merged returns what the instances say at the given time. One of them is enough to know of a version.
func (a *VersionAnswers) Merged(now time.Time) Versions {
	merged := Versions{Mixed: make(map[string]bool)}
	for _, answer := range a.byInstance {
		merged.Complete = merged.Complete || !answer.vouching.IsZero() && a.confirmed.Sub(answer.vouching) <= maxVouchAge
		if now.Sub(answer.mixedAt) > origin.Retention {
			continue
		}
		for _, pool := range answer.mixed {
			merged.Mixed[pool] = true
		}
	}
	return merged
}

// noteVersions records what an answer says of versions, and passes on what all instances say.
func (s *Session) noteVersions(p *peer, f *wire.Fresh, sent time.Time) {
	versions := f.GetVersions()
	if versions == nil || s.cfg.OnVersions == nil || !f.GetConfirmed() && len(versions.GetMixed()) == 0 {
		return
	}
	s.versionsMu.Lock()
	defer s.versionsMu.Unlock()
	s.versions.Note(p.address, sent, f.GetConfirmed(), versions)
	s.cfg.OnVersions(s.versions.Merged(sent))
}

// HeardAt returns until when control can't have changed the directory unknown to this process, but for what is on its way:
// when the last poll was sent that a quorum confirmed, or that a majority of the instances answered or refused.
func (s *Session) HeardAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.HeardAt()
}

// Intervals of ConfirmSince.
const (
	confirmCheckInterval = 2 * time.Millisecond
	// confirmPollInterval is the shortest interval between two polls, however many calls wait for one.
	confirmPollInterval = 10 * time.Millisecond
)

// ConfirmSince reports whether control can't have changed the directory unknown to this process before a time, see HeardAt. If
// that isn't known, it polls, and waits until it is or ctx ends.
func (s *Session) ConfirmSince(ctx context.Context, since time.Time) bool {
	for s.HeardAt().Before(since) {
		if s.mustPoll(since, time.Now()) {
			s.Refresh()
		}
		if !pause.For(ctx, confirmCheckInterval) {
			return false
		}
	}
	return true
}

// mustPoll reports whether no poll was sent since a time, and notes that one is sent now.
func (s *Session) mustPoll(since, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.refreshedAt.Before(since) || now.Sub(s.refreshedAt) < confirmPollInterval {
		return false
	}
	s.refreshedAt = now
	return true
}

// ReportStreamOrigins tells all linked control instances which versions began streams. What is lost on the way is told again
// over the next link, see Config.StreamOrigins.
func (s *Session) ReportStreamOrigins(origins *wire.StreamOrigins) {
	for _, p := range s.knownPeers() {
		p.send(&wire.ClientMessage{Kind: &wire.ClientMessage_StreamOrigins{StreamOrigins: origins}})
	}
}

// LookUpStreamOrigin asks the linked control instances which version began a stream. It returns nil if none of them knows, or
// none has answered when ctx ends.
func (s *Session) LookUpStreamOrigin(ctx context.Context, stream origin.Key) *wire.StreamOriginReply {
	id := s.ids.Add(1)
	peers := s.knownPeers()
	replies := make(chan *wire.StreamOriginReply, len(peers))
	s.originQueries.Store(id, replies)
	defer s.originQueries.Delete(id)
	asked := 0
	for _, p := range peers {
		query := &wire.StreamOriginQuery{Id: id, Stream: uint64(stream)}
		if p.send(&wire.ClientMessage{Kind: &wire.ClientMessage_StreamOriginQuery{StreamOriginQuery: query}}) {
			asked++
		}
	}
	for range asked {
		select {
		case reply := <-replies:
			if reply.GetKnown() {
				return reply
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// handleOriginReply passes a reply to the query that waits for it.
func (s *Session) handleOriginReply(reply *wire.StreamOriginReply) {
	waiting, ok := s.originQueries.Load(reply.GetId())
	if !ok {
		return
	}
	select {
	case waiting.(chan *wire.StreamOriginReply) <- reply:
	default: // a second reply of one instance
	}
}

// sendOrigins tells a control instance that was just linked the origins that this process keeps.
func (p *peer) sendOrigins() {
	source := p.session.cfg.StreamOrigins
	if source == nil {
		return
	}
	if origins := source(); origins != nil {
		p.send(&wire.ClientMessage{Kind: &wire.ClientMessage_StreamOrigins{StreamOrigins: origins}})
	}
}
