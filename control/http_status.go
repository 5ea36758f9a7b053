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

// statusJSON is the answer of GET /v1/status. If Confirmed is false, no quorum has confirmed it, and it shows what this
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
	// WindowMS is the period that the counts of the classes cover, and EntriesHeard the number of entries included.
	WindowMS     int64             `json:"window_ms"`
	EntriesHeard int               `json:"entries_heard"`
	Classes      []classStatusJSON `json:"classes"`
	Targets      []targetJSON      `json:"targets"`
	// Poison lists the requests under which servers crashed twice or more.
	Poison []poisonJSON `json:"poison"`
	// Advice lists what backend servers ask of all processes that send them requests.
	Advice []adviceJSON `json:"advice"`
	// Rollouts lists the last roll-out of each service that had one.
	Rollouts []rolloutJSON `json:"rollouts"`
}

type replicaJSON struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
}

// instanceJSON is an instance and what it last reported. A change is in force everywhere once all instances have its
// version. An instance that is registered but has not contacted this control instance has version 0.
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

// statusReadTimeout bounds the wait for a quorum. It is short because operators need the status most when there is no
// quorum.
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
		out.Rollouts = toRolloutsJSON(s.Rollouts())
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
	summary := c.reports.summarize(time.Now())
	out.WindowMS = reportWindow.Milliseconds()
	out.EntriesHeard = summary.entries
	out.Classes = classesStatus(classes, summary)
	out.Targets = targetsStatus(agents, summary)
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
		silent := elapsed(info.lastContact)
		out = append(out, instanceJSON{
			Instance:      p.Instance,
			Registered:    isMember(r, p.Instance),
			Connected:     silent < peerSilence,
			ConfigVersion: info.status.GetConfigVersion(),
			SilentMS:      silentMS(info.lastContact),
		})
	}
	return out
}

func isMember(r replica.Status, instance string) bool {
	return slices.ContainsFunc(r.Members, func(m replica.Member) bool { return quorum.ID(m.ID).Instance() == instance })
}

// neverSeenMS is the silent_ms of an instance that has never been in contact.
const neverSeenMS = -1

func silentMS(heard time.Time) int64 {
	if heard.IsZero() {
		return neverSeenMS
	}
	return elapsed(heard).Milliseconds()
}

// instances lists the clients of a role by name: those that are registered, and those with a session.
func (s *sessions) instances(role wire.Role, registered map[string]bool) []instanceJSON {
	s.mu.Lock()
	defer s.mu.Unlock()
	byName := make(map[string]instanceJSON)
	for name := range registered {
		byName[name] = instanceJSON{Instance: name, Registered: true, SilentMS: neverSeenMS}
	}
	for key, known := range s.clients {
		if key.role != role || !registered[key.instance] && known.session == nil {
			continue
		}
		byName[key.instance] = instanceJSON{
			Instance:         key.instance,
			AvailabilityZone: known.zone,
			Registered:       registered[key.instance],
			Connected:        known.session != nil,
			ConfigVersion:    known.config,
			SilentMS:         silentMS(known.lastContact),
		}
	}
	out := []instanceJSON{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, byName[name])
	}
	return out
}
