package control_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// The simulated deployment runs control on some machines, five of them with a disk.
const (
	fleetDisks    = 5
	fleetControls = 15
	fleetEntries  = 105
	fleetAgents   = 180
)

// fleet is a cluster with the sessions of hundreds of processes.
type fleet struct {
	*cluster
	sessions  map[string]*session.Session
	stops     []func()
	configure func(*session.Config) // changes the configuration of a process before it starts
}

// newFleet starts control: five instances with a disk, and ten without.
func newFleet(t *testing.T) *fleet { return newFleetInZones(t, fleetControls) }

// newFleetInZones is newFleet with the control instances spread over the given number of zones.
func newFleetInZones(t *testing.T, zones int) *fleet {
	c := newCluster(t, fleetDisks)
	for i := fleetDisks + 1; i <= fleetControls; i++ {
		n := c.addInstance(i, 1, 2, 3)
		n.settings.Ephemeral = true
	}
	for i, n := range c.instances {
		n.settings.Voters = fleetDisks
		n.settings.AvailabilityZone = fmt.Sprint("zone-", i%zones)
	}
	c.startAll()
	return &fleet{cluster: c, sessions: make(map[string]*session.Session), configure: func(*session.Config) {}}
}

// join starts a process whose settings name three control instances. Its incarnation is 1.
func (f *fleet) join(role wire.Role, number int) {
	kind, host := "entry", fmt.Sprintf("10.1.%d.%d", number/200, number%200+1)
	if role == wire.Role_ROLE_AGENT {
		kind, host = "agent", fmt.Sprintf("10.2.%d.%d", number/200, number%200+1)
	}
	name := fmt.Sprint(kind, "-", number)
	config := session.Config{
		Instance: name, Role: role, Incarnation: 1, Zone: fmt.Sprint("zone-", number%5), LinkAddress: host + ":7100",
		Controls: f.links()[:3], Network: f.net.Host(host), SilenceBound: time.Hour, PollInterval: time.Second,
	}
	f.configure(&config)
	s, stop := f.run(config)
	if role == wire.Role_ROLE_AGENT {
		s.SetServers([]*wire.ServerRecord{{Server: fmt.Sprint("server-", number), Kind: "model", Models: []string{"m"}}})
	}
	f.sessions[name] = s
	f.stops = append(f.stops, stop)
}

func (f *fleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	f.cluster.stopAll()
}

// allReady reports whether all processes are ready.
func (f *fleet) allReady() bool {
	for _, s := range f.sessions {
		if s.Ready() != nil {
			return false
		}
	}
	return true
}

// converged reports whether all processes are ready and know the given number of entries, and each entry the given
// number of agents. An agent knows only itself.
func (f *fleet) converged(entries, agents int) bool {
	for name, s := range f.sessions {
		view, known := s.View(), agents
		if strings.HasPrefix(name, "agent-") {
			known = 1
		}
		if s.Ready() != nil || len(view.Agents) != known || len(view.Entries) != entries {
			return false
		}
	}
	return true
}

// Guards against sending each change of the directory from each of 15 control instances to each process. 105 entries
// and 180 agents that start within a second, and 100 more later, would serve late. They must know each other within the
// time that the platform gives a machine to catch up, over at most three links each.
func TestHundredsOfProcessesStartTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.leader()
		const catchUp = 6 * time.Second
		joinAndConverge := func(entries, agents, fromEntries, fromAgents int) {
			for i := fromEntries; i < entries; i++ {
				f.join(wire.Role_ROLE_ENTRY, i)
				time.Sleep(time.Second / fleetEntries / 3)
			}
			for i := fromAgents; i < agents; i++ {
				f.join(wire.Role_ROLE_AGENT, i)
				time.Sleep(time.Second / fleetAgents / 3)
			}
			began := time.Now()
			f.eventually("all processes know each other", func() bool { return f.converged(entries, agents) })
			require.Less(t, time.Since(began), catchUp, "simulated time")
		}
		joinAndConverge(fleetEntries, fleetAgents, 0, 0)
		joinAndConverge(fleetEntries+64, fleetAgents+36, fleetEntries, fleetAgents)
		time.Sleep(5 * time.Second)
		total := 0
		for _, n := range f.instances {
			status := f.status(n)
			for _, list := range [][]instanceAnswer{status.Entries, status.Agents} {
				for _, one := range list {
					if one.Connected {
						total++
					}
				}
			}
		}
		require.LessOrEqual(t, total, 3*len(f.sessions), "open links of all processes")
	})
}

// Guards against an update of the directory for each server that announces itself. A client looks through its whole
// directory at each update, so while a deployment starts its work would grow with the square of the servers, and entries
// on slow machines lost their links for want of heartbeats.
func TestAnnouncementsCauseBoundedWorkAtEachEntry(t *testing.T) {
	const (
		span = time.Second // in which the servers announce themselves
		// maxRecordsPerSecond follows from the least time between updates, 50 us for each record of the directory.
		maxRecordsPerSecond = 20_000
	)
	for _, servers := range []int{100, 200, 400} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stopAll()
				leader := f.leader()
				require.NoError(t, leader.control.PutDesired(t.Context(), testDesired(2)))
				f.join(wire.Role_ROLE_ENTRY, 0)
				f.eventually("the entry is ready", func() bool { return f.converged(1, 0) })
				entry := f.sessions["entry-0"]
				var records atomic.Int64
				entry.Subscribe(func(v *session.View) {
					records.Add(int64(len(v.Agents) + len(v.Entries) + len(v.Announcements)))
				})
				for i := range servers {
					require.NoError(t, leader.control.Announce(t.Context(), &wire.Announcement{
						Server: fmt.Sprint("s", i), Pool: "m", Address: fmt.Sprint("10.3.0.1:", 8000+i), Slots: 5, Sequence: 1,
					}))
					time.Sleep(span / time.Duration(servers))
				}
				f.eventually("the entry knows all servers", func() bool { return len(entry.View().Announcements) == servers })
				require.LessOrEqual(t, records.Load(), int64(1.5*maxRecordsPerSecond))
			})
		})
	}
}

// joinAll starts all processes of the fleet and waits until they know each other.
func (f *fleet) joinAll() {
	f.leader()
	for i := range fleetEntries {
		f.join(wire.Role_ROLE_ENTRY, i)
	}
	for i := range fleetAgents {
		f.join(wire.Role_ROLE_AGENT, i)
	}
	f.eventually("all processes know each other", func() bool { return f.converged(fleetEntries, fleetAgents) })
}

// Guards against a quarantine that spreads more slowly than a request that crashes servers is retried, or that is lost
// with the leader. Three agents report a crash each in a fleet of 105 entries and 180 agents; then control loses its
// leader and an entry joins.
func TestQuarantineReachesHundredsOfProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.joinAll()
		key := poison.Key{Organisation: "union", Fingerprint: 7}
		quarantined := func() bool {
			for _, s := range f.sessions {
				if poison.StandingOf(s.View().Poison[key.String()]) != poison.Quarantined {
					return false
				}
			}
			return true
		}
		for i := range poison.QuarantineThreshold {
			_, err := f.sessions[fmt.Sprint("agent-", i)].Propose(t.Context(), &wire.Command{Kind: &wire.Command_NoteCrash{
				NoteCrash: &wire.NoteCrash{
					Crash: &wire.Crash{Id: fmt.Sprint(i), Server: fmt.Sprint("server-", i), Alone: true},
					Ran:   []*wire.PoisonRecord{key.NewRecord()},
				},
			}})
			require.NoError(t, err)
		}
		began := time.Now()
		f.eventually("all processes know it", quarantined)
		require.Less(t, time.Since(began), time.Second, "simulated time since the third crash")

		shown := f.status(f.leader()).Poison
		require.Len(t, shown, 1, "status shows it to operators")
		require.Equal(t, "quarantined", shown[0].Standing)
		require.Equal(t, key.Fingerprint.String(), shown[0].Fingerprint)
		require.Len(t, shown[0].Servers, poison.QuarantineThreshold)
		require.Positive(t, shown[0].LeftMS)

		f.stop(f.leader())
		f.join(wire.Role_ROLE_ENTRY, fleetEntries)
		f.eventually("the new entry is ready", func() bool { return f.converged(fleetEntries+1, fleetAgents) })
		require.True(t, quarantined())
	})
}

// Guards against advice of a server that reaches only the process that got it. It must reach all others within a second
// and survive the loss of the leader.
func TestServerAdviceReachesHundredsOfProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.joinAll()
		known := func() bool {
			for _, s := range f.sessions {
				advice := s.View().Advice["server-1"]
				if advice.GetRatePerS() != 2.5 || !advice.GetDraining() {
					return false
				}
			}
			return true
		}
		_, err := f.sessions["agent-1"].Propose(t.Context(), &wire.Command{Kind: &wire.Command_NoteServerAdvice{
			NoteServerAdvice: &wire.NoteServerAdvice{
				Advice: &wire.ServerAdvice{Server: "server-1", RateLimited: true, RatePerS: 2.5, Draining: true},
			},
		}})
		require.NoError(t, err)
		began := time.Now()
		f.eventually("all processes know it", known)
		require.Less(t, time.Since(began), time.Second, "simulated time")
		shown := f.status(f.leader()).Advice
		require.Len(t, shown, 1, "status shows it to operators")
		require.Equal(t, "server-1", shown[0].Server)

		f.stop(f.leader())
		f.join(wire.Role_ROLE_ENTRY, fleetEntries)
		f.eventually("the new entry is ready", func() bool { return f.converged(fleetEntries+1, fleetAgents) })
		require.True(t, known())
	})
}
