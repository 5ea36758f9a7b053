package control_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// The fleet of these tests: control on some of the machines, five of them with a disk.
const (
	fleetDisks    = 5
	fleetControls = 15
	fleetEntries  = 105
	fleetAgents   = 180
)

// fleet is a cluster with the sessions of hundreds of processes.
type fleet struct {
	*cluster
	sessions map[string]*session.Session
	stops    []func()
	dress    func(*session.Config) // changes the configuration of a process before it starts
}

// newFleet starts control: five instances with a disk, and ten without.
func newFleet(t *testing.T) *fleet { return newFleetInZones(t, fleetControls) }

// newFleetInZones is newFleet with the control instances in so many zones in turn.
func newFleetInZones(t *testing.T, zones int) *fleet {
	c := newCluster(t, fleetDisks)
	for i := fleetDisks + 1; i <= fleetControls; i++ {
		n := c.addNode(i, 1, 2, 3)
		n.settings.Ephemeral = true
	}
	for i, n := range c.nodes {
		n.settings.Voters = fleetDisks
		n.settings.AvailabilityZone = fmt.Sprint("zone-", i%zones)
	}
	c.startAll()
	return &fleet{cluster: c, sessions: make(map[string]*session.Session), dress: func(*session.Config) {}}
}

// join starts a process whose settings name three control instances. Its incarnation is counted from one.
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
	f.dress(&config)
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

// allReady tells whether all processes are ready.
func (f *fleet) allReady() bool {
	for _, s := range f.sessions {
		if s.Ready() != nil {
			return false
		}
	}
	return true
}

// converged tells whether all processes are ready and know so many entries, and each entry so many agents. An agent has no use for
// others: it knows itself.
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

// Symptom: hundreds of processes that start together spend all their time on news of each other, and serve late. Sequence: 105
// entries and 180 agents start within a second; later 100 more within a second, as when machines are added. Cause: each change
// of the directory sent by each of 15 control instances to each process. Here all of it comes in at most three times, and all
// processes know each other within the time that the platform gives a machine to catch up.
func TestFleetOfHundredsStartsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.leader()
		const catchUp = 6 * time.Second
		joined := func(entries, agents, fromEntries, fromAgents int) {
			for i := fromEntries; i < entries; i++ {
				f.join(wire.Role_ROLE_ENTRY, i)
				time.Sleep(time.Second / fleetEntries / 3)
			}
			for i := fromAgents; i < agents; i++ {
				f.join(wire.Role_ROLE_AGENT, i)
				time.Sleep(time.Second / fleetAgents / 3)
			}
			began := time.Now()
			f.eventually("all know each other", func() bool { return f.converged(entries, agents) })
			require.Less(t, time.Since(began), catchUp, "simulated time")
		}
		joined(fleetEntries, fleetAgents, 0, 0)
		joined(fleetEntries+64, fleetAgents+36, fleetEntries, fleetAgents)
		time.Sleep(5 * time.Second)
		total := 0
		for _, n := range f.nodes {
			status := f.status(n)
			for _, list := range [][]instanceAnswer{status.Entries, status.Agents} {
				for _, one := range list {
					if one.Connected {
						total++
					}
				}
			}
		}
		require.LessOrEqual(t, total, 3*len(f.sessions), "links of all processes")
	})
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
	f.eventually("all know each other", func() bool { return f.converged(fleetEntries, fleetAgents) })
}

// Symptom: hundreds of machines send a request on that crashes servers, long after some of them knew. Sequence: three agents
// report a crash each, at a fleet of 105 entries and 180 agents; then control loses its leader, and an entry joins. Cause: what
// is known spread slower than requests come back, or lost with the leader.
func TestQuarantineBindsAFleetOfHundreds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.joinAll()
		key := poison.Key{Organisation: "union", Fingerprint: 7}
		binds := func() bool {
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
		f.eventually("all know it", binds)
		require.Less(t, time.Since(began), time.Second, "simulated time, from the third crash on")

		shown := f.status(f.leader()).Poison
		require.Len(t, shown, 1, "operators see it")
		require.Equal(t, "quarantined", shown[0].Standing)
		require.Equal(t, key.Fingerprint.String(), shown[0].Fingerprint)
		require.Len(t, shown[0].Servers, poison.QuarantineThreshold)
		require.Positive(t, shown[0].LeftMS)

		f.stop(f.leader())
		f.join(wire.Role_ROLE_ENTRY, fleetEntries)
		f.eventually("the new one is ready", func() bool { return f.converged(fleetEntries+1, fleetAgents) })
		require.True(t, binds())
	})
}

// What one of hundreds of senders hears of a server must reach all others within a second, and outlast the leader.
func TestAdviceOfAServerReachesAFleetOfHundreds(t *testing.T) {
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
		f.eventually("all know it", known)
		require.Less(t, time.Since(began), time.Second, "simulated time")
		shown := f.status(f.leader()).Advice
		require.Len(t, shown, 1, "operators see it")
		require.Equal(t, "server-1", shown[0].Server)

		f.stop(f.leader())
		f.join(wire.Role_ROLE_ENTRY, fleetEntries)
		f.eventually("the new one is ready", func() bool { return f.converged(fleetEntries+1, fleetAgents) })
		require.True(t, known())
	})
}
