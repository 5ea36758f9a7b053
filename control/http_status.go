package control

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// statusJSON is the answer of GET /v1/status. Confirmed is false when no quorum confirmed it; it then tells what this
// instance knows.
type statusJSON struct {
	Instance         string         `json:"instance"`
	AvailabilityZone string         `json:"availability_zone"`
	Confirmed        bool           `json:"confirmed"`
	Role             string         `json:"role"`
	Leader           string         `json:"leader"`
	Term             uint64         `json:"term"`
	Index            uint64         `json:"index"`
	Fence            uint64         `json:"fence"`
	ConfigVersion    uint64         `json:"config_version"`
	DirectoryVersion uint64         `json:"directory_version"`
	Replicas         []replicaJSON  `json:"replicas"`
	Controls         []instanceJSON `json:"controls"`
	Entries          []instanceJSON `json:"entries"`
	Agents           []instanceJSON `json:"agents"`
	Operations       operationsJSON `json:"operations"`
	Orders           int            `json:"orders"`
	// WindowMS is how far back the counts of the classes reach, and EntriesHeard how many entries they cover.
	WindowMS     int64             `json:"window_ms"`
	EntriesHeard int               `json:"entries_heard"`
	Classes      []classStatusJSON `json:"classes"`
	Targets      []targetJSON      `json:"targets"`
	// Poison are the requests under which servers crashed twice or more.
	Poison []poisonJSON `json:"poison"`
	// Advice is what backend servers ask of their senders.
	Advice []adviceJSON `json:"advice"`
}

type replicaJSON struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
}

// instanceJSON is an instance and what it last said. A change is in force everywhere once all of them have its
// version. An instance that is registered but wasn't heard by this control instance has version 0.
type instanceJSON struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	Registered       bool   `json:"registered"`
	Connected        bool   `json:"connected"`
	ConfigVersion    uint64 `json:"config_version"`
	SilentMS         int64  `json:"silent_ms"`
}

type operationsJSON struct {
	Records     int `json:"records"`
	AnswerBytes int `json:"answer_bytes"`
	ExpiredKeys int `json:"expired_keys"`
}

// statusReadTimeout bounds the wait for a quorum: without one, operators need the status all the more.
const statusReadTimeout = 500 * time.Millisecond

// getStatus serves GET /v1/status.
func (c *Control) getStatus(call echo.Context) error {
	ctx, cancel := context.WithTimeout(call.Request().Context(), statusReadTimeout)
	defer cancel()
	confirmed := c.reads.wait(ctx) == nil
	out := c.status()
	out.Confirmed = confirmed
	return call.JSON(http.StatusOK, out)
}

func (c *Control) status() statusJSON {
	r := c.replica.Status()
	out := statusJSON{
		Instance:         c.settings.Instance,
		AvailabilityZone: c.settings.AvailabilityZone,
		Role:             r.Role.String(),
		Leader:           r.Leader.Instance(),
		Term:             r.Term,
		Replicas:         replicasOf(r),
	}
	var agents []*wire.AgentRecord
	var entries []*wire.EntryRecord
	var classes []*wire.Class
	var records []*wire.PoisonRecord
	c.machine.read(func(s *state.State) {
		agents, entries, classes, records = s.Agents(), s.Entries(), s.Classes(), s.PublishedPoisonRecords()
		out.Index, out.Fence = s.Index(), s.Fence()
		out.ConfigVersion, out.DirectoryVersion = s.ConfigVersion(), s.DirectoryVersion()
		counts := s.Counts()
		out.Operations = operationsJSON{counts.Operations, counts.AnswerBytes, counts.ExpiredKeys}
		out.Orders = len(s.Orders())
		out.Advice = adviceStatus(s.ServerAdvice())
	})
	registered := make(map[string]bool)
	for _, a := range agents {
		registered[a.GetAgent()] = true
	}
	out.Agents = c.sessions.instances(wire.Role_ROLE_AGENT, registered)
	registered = make(map[string]bool)
	for _, e := range entries {
		registered[e.GetEntry()] = true
	}
	out.Entries = c.sessions.instances(wire.Role_ROLE_ENTRY, registered)
	out.Controls = c.controlInstances(r, out.ConfigVersion)
	reported := c.reports.sum(time.Now())
	out.WindowMS = reportWindow.Milliseconds()
	out.EntriesHeard = reported.entries
	out.Classes = classesStatus(classes, reported)
	out.Targets = targetsStatus(agents, reported)
	out.Poison = poisonStatus(records, time.Now())
	return out
}

func replicasOf(r replica.Status) []replicaJSON {
	out := []replicaJSON{}
	for _, m := range r.Members {
		out = append(out, replicaJSON{ID: string(m.ID), Instance: m.ID.Instance(), Address: m.Address, Voter: m.Voter})
	}
	return out
}

// controlInstances lists this instance and its peers.
func (c *Control) controlInstances(r replica.Status, version uint64) []instanceJSON {
	out := []instanceJSON{{
		Instance:         c.settings.Instance,
		AvailabilityZone: c.settings.AvailabilityZone,
		Registered:       isMember(r, c.settings.Instance),
		Connected:        true,
		ConfigVersion:    version,
	}}
	known := c.peers.all()
	for _, p := range c.settings.Replicas {
		if p.Instance == c.settings.Instance {
			continue
		}
		info := known[p.Instance]
		silent := since(info.heard)
		out = append(out, instanceJSON{
			Instance:      p.Instance,
			Registered:    isMember(r, p.Instance),
			Connected:     silent < peerSilence,
			ConfigVersion: info.status.GetConfigVersion(),
			SilentMS:      silentMS(info.heard),
		})
	}
	return out
}

func isMember(r replica.Status, instance string) bool {
	return slices.ContainsFunc(r.Members, func(m replica.Member) bool { return quorum.ID(m.ID).Instance() == instance })
}

// neverHeard is the silent_ms of an instance that was never heard.
const neverHeard = -1

func silentMS(heard time.Time) int64 {
	if heard.IsZero() {
		return neverHeard
	}
	return since(heard).Milliseconds()
}

// instances lists the clients of a role: those registered, and those with a session, sorted by name.
func (s *sessions) instances(role wire.Role, registered map[string]bool) []instanceJSON {
	s.mu.Lock()
	defer s.mu.Unlock()
	byName := make(map[string]instanceJSON)
	for name := range registered {
		byName[name] = instanceJSON{Instance: name, Registered: true, SilentMS: neverHeard}
	}
	for key, seen := range s.seen {
		if key.role != role || !registered[key.instance] && seen.session == nil {
			continue
		}
		byName[key.instance] = instanceJSON{
			Instance:         key.instance,
			AvailabilityZone: seen.zone,
			Registered:       registered[key.instance],
			Connected:        seen.session != nil,
			ConfigVersion:    seen.config,
			SilentMS:         silentMS(seen.heard),
		}
	}
	out := []instanceJSON{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, byName[name])
	}
	return out
}
