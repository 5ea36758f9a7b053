package sched

import (
	"cmp"
	"slices"
	"time"
)

// Status is a summary for operators.
type Status struct {
	Live          int            `json:"live"`           // requests without a final answer
	Queued        []int          `json:"queued_by_tier"` // tier 1 first
	Dispatched    int            `json:"dispatched"`
	AwaitingProof int            `json:"awaiting_proof"` // attempts that may be running and aren't reported on
	Lingering     int            `json:"lingering"`      // the same, for requests that have their final answer
	ChartErrors   uint64         `json:"chart_errors"`
	Servers       []ServerStatus `json:"servers"`
	Classes       []ClassStatus  `json:"classes"`

	Rollouts []RolloutStatus `json:"rollouts,omitempty"`
}

// ServerStatus is what this entry knows about a backend server.
type ServerStatus struct {
	Server   string        `json:"server"`
	Agent    string        `json:"agent"`
	Listed   bool          `json:"listed"` // in the directory and in service
	LinkUp   bool          `json:"link_up"`
	Ready    bool          `json:"ready"` // may have new work
	Usable   int           `json:"usable"`
	Inflight int           `json:"inflight"`
	Waiting  int           `json:"waiting"` // requests of this entry with a reservation
	RoomAge  time.Duration `json:"room_age_ns"`
}

// ClassStatus compares a class with its targets.
type ClassStatus struct {
	Class   string  `json:"class"`
	Late    float64 `json:"late"` // share over the window
	Lost    float64 `json:"lost"`
	LateMax float64 `json:"late_max"`
	LostMax float64 `json:"lost_max"`
}

// Status returns a summary as of the last Step.
func (s *Scheduler) Status() Status {
	st := Status{
		Live:        len(s.requests),
		Queued:      slices.Clone(s.queued[:]),
		Lingering:   len(s.orphans.items),
		ChartErrors: s.table.Refused(),
	}
	for _, r := range s.requests {
		if r.attempt == nil {
			continue
		}
		st.Dispatched++
		if r.state == awaitingProof {
			st.AwaitingProof++
		}
	}
	for _, v := range s.sortedServers() {
		st.Servers = append(st.Servers, s.serverStatus(v))
	}
	st.Classes = s.classStatus()
	st.Rollouts = s.Rollouts()
	return st
}

func (s *Scheduler) serverStatus(v *server) ServerStatus {
	st := ServerStatus{
		Server: v.name, Agent: v.agent.name, Listed: v.listed, LinkUp: v.agent.up, Ready: v.ready,
		Usable: max(s.usableRoom(v), 0), Inflight: v.inflight, Waiting: len(v.reservedBy),
	}
	if v.room != nil {
		st.RoomAge = s.now.Sub(v.roomAt)
	}
	return st
}

func (s *Scheduler) classStatus() []ClassStatus {
	var all []ClassStatus
	for _, c := range s.classes {
		if c.name == baselineClass {
			continue
		}
		late, lost := c.window.shares(s.now)
		all = append(all, ClassStatus{
			Class: c.name, Late: late, Lost: lost, LateMax: c.spec.GetLateMax(), LostMax: c.spec.GetLostMax(),
		})
	}
	slices.SortFunc(all, func(a, b ClassStatus) int { return cmp.Compare(a.Class, b.Class) })
	return all
}
