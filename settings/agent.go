package settings

import (
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/result"
)

// Agent is the settings of the process beside a backend server.
type Agent struct {
	// Role is "agent".
	Role Role `json:"role" settings:"required"`
	// Instance is this process's name, unique in the deployment.
	Instance string `json:"instance" settings:"required,name"`
	// AvailabilityZone is the zone this process runs in.
	AvailabilityZone string `json:"availability_zone" settings:"required,name"`
	// Listen says where the process listens.
	Listen AgentListen `json:"listen" settings:"required"`
	// Advertise is the address, IP:port, that entry instances dial. Default: listen.links.
	Advertise string `json:"advertise" settings:"dial"`
	// Controls are the link addresses, IP:port, of all control instances.
	Controls []string `json:"controls" settings:"required,dial"`
	// Limits bounds what the process holds.
	Limits AgentLimits `json:"limits"`
	// TLS is for the links to other processes. Without it links are plain TCP.
	TLS TLS `json:"tls"`
	// Log says what is logged.
	Log Log `json:"log"`
	// Timing holds the process's intervals and bounds.
	Timing AgentTiming `json:"timing"`
}

// AgentListen says where an agent listens, as IP:port; port 0 takes any free one.
type AgentListen struct {
	// HTTP is where the backend server announces itself and the platform asks.
	HTTP string `json:"http" settings:"required,listen"`
	// Links is where entry instances connect.
	Links string `json:"links" settings:"required,listen"`
}

// AgentLimits bounds what an agent holds.
type AgentLimits struct {
	// MaxBody is the largest request body, in bytes. Default 4 MiB.
	MaxBody Size `json:"max_body"`
	// MaxAnswer is the largest answer, in bytes. Default 16 MiB.
	MaxAnswer Size `json:"max_answer"`
	// MaxReservations is how many reservations of all entry instances may wait. Default 4096.
	MaxReservations int `json:"max_reservations"`
	// SlowRatio is how many times slower than its own past a backend server must be to get no new work. Default 3.
	SlowRatio float64 `json:"slow_ratio"`
	// SlotsFloor is the share, above 0 up to 1, of its announced slots that a server is always given. Below 1 an agent
	// learns how many attempts a server runs well at a time. Default 0.25.
	SlotsFloor float64 `json:"slots_floor"`
	// MaxTombstones is how many attempts that are over are remembered. Default 65536.
	MaxTombstones int `json:"max_tombstones"`
}

// AgentTiming holds an agent's intervals and bounds.
type AgentTiming struct {
	// Heartbeat is the interval between messages on a link without other traffic. Default 250ms.
	Heartbeat time.Duration `json:"heartbeat"`
	// CutOff is the silence of a majority of control instances after which no order is taken. Default 2s.
	CutOff time.Duration `json:"cut_off"`
	// Probe is the interval between the agent's own probes of its backend server. Default 500ms.
	Probe time.Duration `json:"probe"`
	// Silent is how long a backend server may go without announcing itself and still get new work. Default 3s.
	Silent time.Duration `json:"silent"`
	// Offer is how long room is kept for a body that was asked for. Default 1s.
	Offer time.Duration `json:"offer"`
	// Tombstone is how long an attempt that is over is remembered. Default 10m.
	Tombstone time.Duration `json:"tombstone"`
	// UnlistedSettle is how long a restarted agent admits nothing at a server that keeps no list of what it runs, so that
	// what its last process left there can end. Default 1s.
	UnlistedSettle time.Duration `json:"unlisted_settle"`
	// UnprovenHold is how long a place counts as taken after a connection was lost and nothing tells whether the work
	// there is over. Default 30s.
	UnprovenHold time.Duration `json:"unproven_hold"`
	// Drain is how long attempts in flight may take after SIGTERM or a leave. Default 10m.
	Drain time.Duration `json:"drain"`
}

func (*Agent) expectedRole() Role { return RoleAgent }

// DefaultAgent returns the settings that hold for keys a file leaves out.
func DefaultAgent() Agent {
	return Agent{
		Role: RoleAgent,
		Log:  Log{Level: log.InfoLevel},
		Limits: AgentLimits{
			MaxBody:         4 * MiB,
			MaxAnswer:       16 * MiB,
			MaxReservations: 4096,
			MaxTombstones:   65536,
			SlotsFloor:      0.25,
			SlowRatio:       3,
		},
		Timing: AgentTiming{
			Heartbeat: defaultHeartbeat,
			CutOff:    defaultCutOff,
			Probe:     500 * time.Millisecond,
			Silent:    3 * time.Second,
			Offer:     time.Second,
			Tombstone: 10 * time.Minute,
			Drain:     10 * time.Minute,

			UnprovenHold:   30 * time.Second,
			UnlistedSettle: time.Second,
		},
	}
}

func (a *Agent) setDefaults() { *a = DefaultAgent() }

func (a *Agent) derive() {
	if a.Advertise == "" {
		a.Advertise = a.Listen.Links
	}
}

func (a *Agent) validate(c *checker) {
	c.portClash(listener{"listen.http", a.Listen.HTTP}, listener{"listen.links", a.Listen.Links})
	c.advertised(a.Advertise, a.Listen.Links)
	c.unique("address", a.Controls, controlPath)
	c.tlsFiles("tls", a.TLS)
	positive(c, "limits.max_body", a.Limits.MaxBody)
	positive(c, "limits.max_answer", a.Limits.MaxAnswer)
	positive(c, "limits.max_reservations", a.Limits.MaxReservations)
	if a.Limits.SlotsFloor <= 0 || a.Limits.SlotsFloor > 1 {
		c.add(result.SettingsOutOfRange, "limits.slots_floor", "want a share above 0 up to 1, got %g", a.Limits.SlotsFloor)
	}
	positive(c, "limits.max_tombstones", a.Limits.MaxTombstones)
	if a.Limits.SlowRatio <= 1 {
		c.add(result.SettingsOutOfRange, "limits.slow_ratio", "want more than 1, got %g", a.Limits.SlowRatio)
	}
	positive(c, "timing.heartbeat", a.Timing.Heartbeat)
	positive(c, "timing.probe", a.Timing.Probe)
	positive(c, "timing.silent", a.Timing.Silent)
	positive(c, "timing.offer", a.Timing.Offer)
	positive(c, "timing.tombstone", a.Timing.Tombstone)
	positive(c, "timing.drain", a.Timing.Drain)
	positive(c, "timing.unproven_hold", a.Timing.UnprovenHold)
	positive(c, "timing.unlisted_settle", a.Timing.UnlistedSettle)
	c.silence("timing.cut_off", a.Timing.CutOff, a.Timing.Heartbeat)
}

// advertised checks an advertised address that comes from the listener: others can't dial 0.0.0.0. Port 0 is
// allowed there, since the process advertises the port that it got.
func (c *checker) advertised(advertise, links string) {
	if advertise == links && isUnspecified(links) {
		c.add(result.SettingsMissingKey, "advertise", "listen.links is %s, which nobody can dial: give an address", links)
	}
}
