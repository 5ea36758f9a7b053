package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// PassedReason says why a server was passed over.
type PassedReason string

// Reasons for passing over a server.
const (
	PassedNotListed   PassedReason = "not in the directory, or leaving"
	PassedLinkDown    PassedReason = "link down"
	PassedNoReport    PassedReason = "no room report yet"
	PassedNotReady    PassedReason = "gate not ready"
	PassedNoCandidate PassedReason = "not allowed by the operation record"
	PassedRefused     PassedReason = "refused this request before"
	PassedNoResume    PassedReason = "can't continue the answer"
	PassedVersion     PassedReason = "of another software version than the answer began with"
	PassedRateLimited PassedReason = "the server takes only so many requests a second"
	PassedBackoff     PassedReason = "the server asks to keep away for a while"
	PassedTrial       PassedReason = "whether the server takes work again is being tried"
	PassedNoRoom      PassedReason = "no room"
	PassedSlower      PassedReason = "slower by estimate"
)

// PassedOver is a server that was considered for a request and not chosen.
type PassedOver struct {
	Server string        `json:"server"`
	Reason PassedReason  `json:"reason"`
	Finish time.Duration `json:"finish_ns,omitempty"` // estimated, for PassedSlower
}

// AttemptExplanation describes one attempt of a request.
type AttemptExplanation struct {
	Number  uint64    `json:"number"`
	Server  string    `json:"server"`
	Agent   string    `json:"agent"`
	Sent    time.Time `json:"sent"`
	Over    time.Time `json:"over,omitzero"`
	Proof   string    `json:"proof"`
	Proved  bool      `json:"proved"`
	Began   bool      `json:"began"`
	Frames  uint64    `json:"frames"`
	Outcome string    `json:"outcome,omitempty"`
}

// Explanation describes the state of a request and how it was reached.
type Explanation struct {
	Request      string               `json:"request"`
	Organisation string               `json:"organisation"`
	Class        string               `json:"class"`
	Tier         uint32               `json:"tier"`
	Kind         string               `json:"kind"`
	Target       string               `json:"target"`
	State        string               `json:"state"`
	Arrived      time.Time            `json:"arrived"`
	Deadline     time.Time            `json:"deadline"`
	Urgency      uint32               `json:"urgency"`
	Queued       bool                 `json:"queued"`
	Ahead        int                  `json:"ahead"` // estimated number of requests that go first
	Reservations []string             `json:"reservations,omitempty"`
	PassedOver   []PassedOver         `json:"passed_over,omitempty"`
	Attempts     []AttemptExplanation `json:"attempts,omitempty"`
	Candidates   []string             `json:"candidates,omitempty"`
	// EarlierUnproved lists the servers of earlier owners of the key whose proof is missing.
	EarlierUnproved []string `json:"earlier_unproved,omitempty"`
	Delivered       uint64   `json:"delivered"` // number of events
	// Version is the software version of the server that began the answer, empty before that or if it didn't say.
	Version string      `json:"version,omitempty"`
	Code    result.Code `json:"code,omitempty"`
	Reason  string      `json:"reason,omitempty"` // set with Code
	Ran     string      `json:"ran"`
	Ended   time.Time   `json:"ended,omitzero"`
}

// maxPassedOver bounds the passed-over servers that are kept with a request.
const maxPassedOver = 8

func (r *request) passOver(v *server, reason PassedReason, finish time.Duration) {
	if len(r.passedOver) < maxPassedOver {
		r.passedOver = append(r.passedOver, PassedOver{Server: v.name, Reason: reason, Finish: finish})
	}
}

// Explain describes a live request, or one of the last Options.HistorySize finished ones. It returns false if the
// request is unknown.
func (s *Scheduler) Explain(requestID string) (Explanation, bool) {
	r := s.requests[requestID]
	if r == nil {
		return s.history.get(requestID)
	}
	e := s.explain(r, nil)
	e.Ended = time.Time{}
	if r.attempt == nil {
		e.PassedOver = s.passedOverNow(r)
	}
	return e, true
}

func (s *Scheduler) explain(r *request, err *result.Error) Explanation {
	e := Explanation{
		Request: r.ID, Organisation: r.Organisation, Class: r.Class.GetName(), Tier: r.Class.GetTier(),
		Kind: r.pool.key.kind, Target: r.Target, State: s.table.StateName(r.state), Arrived: r.Arrived,
		Deadline: r.Deadline, Urgency: s.urgency(r), Queued: r.queue != nil, Candidates: slices.Clone(r.Candidates),
		Delivered: r.eventsReceived, Version: r.version, Ran: r.ran().String(), Ended: s.now, PassedOver: slices.Clone(r.passedOver),
	}
	if r.earlier != nil {
		e.EarlierUnproved = slices.Clone(r.earlier.unproved)
	}
	if err != nil {
		e.Code, e.Reason = err.Code, err.Message
		e.Ran = err.Ran.String()
	}
	if r.queue != nil {
		e.Ahead = s.requestsAhead(r)
	}
	for _, res := range r.reservations {
		e.Reservations = append(e.Reservations, res.server.name)
	}
	for i := range r.attempts {
		e.Attempts = append(e.Attempts, r.attempts[i].explain())
	}
	return e
}

func (a *attemptRecord) explain() AttemptExplanation {
	proof := "none"
	if a.proof != wire.Proof_PROOF_UNSPECIFIED {
		proof = a.proof.String()
	} else if a.provedOver {
		proof = a.reason
	}
	return AttemptExplanation{
		Number: a.number, Server: a.server, Agent: a.agent, Sent: a.sent, Over: a.over, Proof: proof,
		Proved: a.provedOver, Began: a.began, Frames: a.frames, Outcome: a.reason,
	}
}

// passedOverNow returns the servers of the pool that currently can't take a queued request, with the reason.
func (s *Scheduler) passedOverNow(r *request) []PassedOver {
	var passed []PassedOver
	for _, v := range r.pool.servers {
		if reason := s.passedReason(r, v); reason != "" {
			passed = append(passed, PassedOver{Server: v.name, Reason: reason})
		}
	}
	return passed
}

func (s *Scheduler) passedReason(r *request, v *server) PassedReason {
	switch {
	case !v.listed:
		return PassedNotListed
	case !v.agent.up:
		return PassedLinkDown
	case v.room == nil:
		return PassedNoReport
	case v.inBackoff():
		return PassedBackoff
	case !v.ready:
		return PassedNotReady
	case !r.isOfVersion(v):
		return PassedVersion
	case !r.allows(v):
		return PassedNoCandidate
	case slices.Contains(r.avoided, v.name):
		return PassedRefused
	case !r.canResumeOn(v):
		return PassedNoResume
	case !v.hasRoom && v.room.GetThrottle() == wire.Throttle_THROTTLE_RATE_LIMIT:
		return PassedRateLimited
	case !v.hasRoom && v.room.GetThrottle() == wire.Throttle_THROTTLE_TRIAL:
		return PassedTrial
	case !v.hasRoom:
		return PassedNoRoom
	default:
		return ""
	}
}

// history is a ring buffer of the explanations of the last finished requests.
type history struct {
	ring []Explanation
	next int
	byID map[string]int
}

func newHistory(size int) *history {
	return &history{ring: make([]Explanation, 0, size), byID: map[string]int{}}
}

func (h *history) add(e Explanation) {
	if len(h.ring) < cap(h.ring) {
		h.byID[e.Request] = len(h.ring)
		h.ring = append(h.ring, e)
		return
	}
	if old := h.ring[h.next].Request; h.byID[old] == h.next {
		delete(h.byID, old)
	}
	h.ring[h.next] = e
	h.byID[e.Request] = h.next
	h.next = (h.next + 1) % len(h.ring)
}

func (h *history) get(id string) (Explanation, bool) {
	at, ok := h.byID[id]
	if !ok {
		return Explanation{}, false
	}
	return h.ring[at], true
}
