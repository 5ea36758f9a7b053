package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// PassedReason says why a server was passed over.
type PassedReason string

// The reasons for which a server is passed over.
const (
	PassedNotListed   PassedReason = "not in the directory, or leaving"
	PassedLinkDown    PassedReason = "link down"
	PassedNoReport    PassedReason = "no room report yet"
	PassedNotReady    PassedReason = "gate not ready"
	PassedNoCandidate PassedReason = "not allowed by the operation record"
	PassedRefused     PassedReason = "refused this request before"
	PassedNoResume    PassedReason = "can't continue the answer"
	PassedRateLimited PassedReason = "the server takes only so many requests a second"
	PassedBackoff     PassedReason = "the server asks to keep away for a while"
	PassedTrial       PassedReason = "whether the server takes work again is being tried"
	PassedNoRoom      PassedReason = "no room"
	PassedSlower      PassedReason = "slower by estimate"
)

// PassedOver is a server that a request didn't go to.
type PassedOver struct {
	Server string        `json:"server"`
	Reason PassedReason  `json:"reason"`
	Finish time.Duration `json:"finish_ns,omitempty"` // estimated, for PassedSlower
}

// AttemptExplanation is one attempt of a request.
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

// Explanation says where a request stands and how it came there.
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
	Ahead        int                  `json:"ahead"` // estimated requests that go first
	Reservations []string             `json:"reservations,omitempty"`
	PassedOver   []PassedOver         `json:"passed_over,omitempty"`
	Attempts     []AttemptExplanation `json:"attempts,omitempty"`
	Candidates   []string             `json:"candidates,omitempty"`
	// EarlierUnproved are the servers of earlier owners of the key whose proof is missing.
	EarlierUnproved []string    `json:"earlier_unproved,omitempty"`
	Delivered       uint64      `json:"delivered"` // events
	Code            result.Code `json:"code,omitempty"`
	Reason          string      `json:"reason,omitempty"` // with Code
	Ran             string      `json:"ran"`
	Ended           time.Time   `json:"ended,omitzero"`
}

// maxPassedKept bounds the servers passed over that are remembered with a request.
const maxPassedKept = 8

func (r *request) passOver(v *server, reason PassedReason, finish time.Duration) {
	if len(r.passed) < maxPassedKept {
		r.passed = append(r.passed, PassedOver{Server: v.name, Reason: reason, Finish: finish})
	}
}

// Explain tells where a request stands, or how it ended if it is among the last Options.History finished ones. False
// means that nothing is known of it.
func (s *Scheduler) Explain(requestID string) (Explanation, bool) {
	r := s.requests[requestID]
	if r == nil {
		return s.history.get(requestID)
	}
	e := s.explain(r, nil)
	e.Ended = time.Time{}
	if r.attempt == nil {
		e.PassedOver = s.passedNow(r)
	}
	return e, true
}

func (s *Scheduler) explain(r *request, err *result.Error) Explanation {
	e := Explanation{
		Request: r.ID, Organisation: r.Organisation, Class: r.Class.GetName(), Tier: r.Class.GetTier(),
		Kind: r.pool.key.kind, Target: r.Target, State: s.table.StateName(r.state), Arrived: r.Arrived,
		Deadline: r.Deadline, Urgency: s.urgency(r), Queued: r.lane != nil, Candidates: slices.Clone(r.Candidates),
		Delivered: r.delivered, Ran: r.ran().String(), Ended: s.now, PassedOver: slices.Clone(r.passed),
	}
	if r.earlier != nil {
		e.EarlierUnproved = slices.Clone(r.earlier.waiting)
	}
	if err != nil {
		e.Code, e.Reason = err.Code, err.Message
		e.Ran = err.Ran.String()
	}
	if r.lane != nil {
		e.Ahead = s.aheadOf(r)
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
	} else if a.proved {
		proof = a.reason
	}
	return AttemptExplanation{
		Number: a.number, Server: a.server, Agent: a.agent, Sent: a.sent, Over: a.over, Proof: proof,
		Proved: a.proved, Began: a.began, Frames: a.frames, Outcome: a.reason,
	}
}

// passedNow says of each server of the pool why a queued request isn't there.
func (s *Scheduler) passedNow(r *request) []PassedOver {
	var passed []PassedOver
	for _, v := range r.pool.servers {
		if reason := s.reasonAgainst(r, v); reason != "" {
			passed = append(passed, PassedOver{Server: v.name, Reason: reason})
		}
	}
	return passed
}

func (s *Scheduler) reasonAgainst(r *request, v *server) PassedReason {
	switch {
	case !v.listed:
		return PassedNotListed
	case !v.agent.up:
		return PassedLinkDown
	case v.room == nil:
		return PassedNoReport
	case v.isAway():
		return PassedBackoff
	case !v.ready:
		return PassedNotReady
	case !r.allows(v):
		return PassedNoCandidate
	case slices.Contains(r.avoid, v.name):
		return PassedRefused
	case !r.resumesOn(v):
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

// history keeps the explanations of the last finished requests.
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
