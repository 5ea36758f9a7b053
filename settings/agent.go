package settings

import (
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/result"
)

// Agent holds the settings of an agent, the process that runs next to one backend server.
type Agent struct {
	// Role is "agent".
	Role Role `json:"role" settings:"required"`
	// Instance is the name of this process, unique in the deployment.
	Instance string `json:"instance" settings:"required,name"`
	// AvailabilityZone is the availability zone that this process runs in.
	AvailabilityZone string `json:"availability_zone" settings:"required,name"`
	// Listen holds the addresses that the process listens on.
	Listen AgentListen `json:"listen" settings:"required"`
	// Advertise is the address, IP:port, that entry instances connect to. Default: Listen.Links.
	Advertise string `json:"advertise" settings:"dial"`
	// Controls holds the inter-process addresses, IP:port, of all control instances.
	Controls []string `json:"controls" settings:"required,dial"`
	// Limits holds the resource limits of the process.
	Limits AgentLimits `json:"limits"`
	// Inbound bounds what clients make the process hold.
	Inbound Inbound `json:"inbound"`
	// TLS secures the connections to other processes. If it is empty, they are plain TCP.
	TLS TLS `json:"tls"`
	// Log configures logging.
	Log Log `json:"log"`
	// Timing holds the intervals and timeouts of the process.
	Timing AgentTiming `json:"timing"`
	// Suspension configures the suspension of runs.
	Suspension AgentSuspension `json:"suspension"`
	// Placement configures the order in which slots are offered.
	Placement AgentPlacement `json:"placement"`
	// Memory bounds what the agent and its backend server hold.
	Memory AgentMemory `json:"memory"`
}

// AgentListen holds the addresses, IP:port, that an agent listens on. Port 0 selects any free port.
type AgentListen struct {
	// HTTP is the address for the announcements of the backend server and for health checks of the platform.
	HTTP string `json:"http" settings:"required,listen"`
	// Links is the address for connections of entry instances.
	Links string `json:"links" settings:"required,listen"`
}

// AgentLimits holds the resource limits of an agent.
type AgentLimits struct {
	// MaxBody is the maximum size of a request body, in bytes. Default 4 MiB.
	MaxBody Size `json:"max_body"`
	// MaxAnswer is the maximum size of a response, in bytes. Default 16 MiB.
	MaxAnswer Size `json:"max_answer"`
	// KeptAnswers is the maximum size of the answers that are kept for entries which lost their link, in bytes.
	// Default 64 MiB.
	KeptAnswers Size `json:"kept_answers"`
	// MaxReservations is the maximum number of pending reservations of all entry instances together. Default 4096.
	MaxReservations int `json:"max_reservations"`
	// SlowRatio is the factor by which a backend server must be slower than its own baseline to get no new work.
	// Default 3.
	SlowRatio float64 `json:"slow_ratio"`
	// SlotsFloor is the fraction, above 0 and at most 1, of the announced slots of a server that is used even if the
	// server is slow. Below 1 the agent adapts the number of concurrent attempts to what the server handles well.
	// Default 0.25.
	SlotsFloor float64 `json:"slots_floor"`
	// MaxTombstones is the maximum number of records of ended attempts. Default 65536.
	MaxTombstones int `json:"max_tombstones"`
}

// AgentTiming holds the intervals and timeouts of an agent.
type AgentTiming struct {
	// Heartbeat is the interval between messages on a connection without other traffic. Default 250ms.
	Heartbeat time.Duration `json:"heartbeat"`
	// CutOff is the time without messages from a majority of control instances after which the agent accepts no
	// commands. Default 2s.
	CutOff time.Duration `json:"cut_off"`
	// Probe is the interval between health probes of the backend server. Default 500ms.
	Probe time.Duration `json:"probe"`
	// Silent is the time since the last announcement of the backend server after which it gets no new work. Default 3s.
	Silent time.Duration `json:"silent"`
	// Offer is how long capacity stays reserved for a request body that the agent has asked for. Default 1s.
	Offer time.Duration `json:"offer"`
	// Tombstone is how long the record of an ended attempt is kept. Default 10m.
	Tombstone time.Duration `json:"tombstone"`
	// UnlistedSettle is how long a restarted agent admits no attempt at a server that can't list its running attempts,
	// so that attempts started by the previous agent process can end. Default 1s.
	UnlistedSettle time.Duration `json:"unlisted_settle"`
	// UnprovenHold is how long a slot counts as occupied after a connection is lost while it is unknown whether the
	// attempt has ended. Default 30s.
	UnprovenHold time.Duration `json:"unproven_hold"`
	// Drain is how long attempts in flight may take after SIGTERM or a leave request. Default 10m.
	Drain time.Duration `json:"drain"`
}

// AgentSuspension configures the suspension of runs: an agent may stop a long run of a less urgent request at a server
// that keeps its memory, and resume it later.
type AgentSuspension struct {
	// Enabled allows it. Default false.
	Enabled bool `json:"enabled"`
	// MaxPerRun is the maximum number of times that one run is suspended. Default 3.
	MaxPerRun int `json:"max_per_run"`
}

// AgentPlacement configures the order in which slots are offered to waiting requests.
type AgentPlacement struct {
	// FewServersFirst offers a slot first to a request that only few servers can finish in time, among those of the same
	// class and organisation, if no other becomes late by that. It takes effect for entry instances with
	// placement.by_length. Default false.
	FewServersFirst bool `json:"few_servers_first"`
}

// AgentMemory bounds what an agent holds for backend servers and entry instances, and what its backend server holds.
type AgentMemory struct {
	// HeldBytes is the maximum total size of bodies and answers, in bytes. Attempts whose bodies don't fit are refused, and
	// answers are read more slowly. Default 0: nothing is counted, and ReaderTimeout has no effect.
	HeldBytes Size `json:"held_bytes"`
	// ReaderTimeout is how long a backend server may read nothing of a body. Then the attempt is ended. Default 2s.
	ReaderTimeout time.Duration `json:"reader_timeout"`
	// UpperOutput counts the uncertainty of the expected lengths of answers against the memory of the backend server, and
	// refuses requests that are larger than it. Default false.
	UpperOutput bool `json:"upper_output"`
}

func (*Agent) expectedRole() Role { return RoleAgent }

// DefaultAgent returns the default values, which apply to keys that a file omits.
func DefaultAgent() Agent {
	return Agent{
		Role:    RoleAgent,
		Log:     Log{Level: log.InfoLevel},
		Inbound: defaultInbound(),
		Limits: AgentLimits{
			MaxBody:         4 * MiB,
			MaxAnswer:       16 * MiB,
			KeptAnswers:     64 * MiB,
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
		Suspension: AgentSuspension{MaxPerRun: 3},
		Memory:     AgentMemory{ReaderTimeout: defaultReaderTimeout},
	}
}

func (a *Agent) setDefaults() { *a = DefaultAgent() }

func (a *Agent) derive() {
	if a.Advertise == "" {
		a.Advertise = a.Listen.Links
	}
}

func (a *Agent) validate(c *checker) {
	c.checkPortConflicts(listener{"listen.http", a.Listen.HTTP}, listener{"listen.links", a.Listen.Links})
	c.checkAdvertised(a.Advertise, a.Listen.Links)
	c.checkUnique("address", a.Controls, controlPath)
	c.checkTLS("tls", a.TLS)
	a.Inbound.validate(c)
	checkPositive(c, "limits.max_body", a.Limits.MaxBody)
	checkPositive(c, "limits.max_answer", a.Limits.MaxAnswer)
	checkPositive(c, "limits.kept_answers", a.Limits.KeptAnswers)
	checkPositive(c, "limits.max_reservations", a.Limits.MaxReservations)
	if a.Limits.SlotsFloor <= 0 || a.Limits.SlotsFloor > 1 {
		c.report(result.SettingsOutOfRange, "limits.slots_floor", "want a share above 0 up to 1, got %g", a.Limits.SlotsFloor)
	}
	checkPositive(c, "limits.max_tombstones", a.Limits.MaxTombstones)
	if a.Limits.SlowRatio <= 1 {
		c.report(result.SettingsOutOfRange, "limits.slow_ratio", "want more than 1, got %g", a.Limits.SlowRatio)
	}
	checkPositive(c, "timing.heartbeat", a.Timing.Heartbeat)
	checkPositive(c, "timing.probe", a.Timing.Probe)
	checkPositive(c, "timing.silent", a.Timing.Silent)
	checkPositive(c, "timing.offer", a.Timing.Offer)
	checkPositive(c, "timing.tombstone", a.Timing.Tombstone)
	checkPositive(c, "timing.drain", a.Timing.Drain)
	checkPositive(c, "timing.unproven_hold", a.Timing.UnprovenHold)
	checkPositive(c, "timing.unlisted_settle", a.Timing.UnlistedSettle)
	checkPositive(c, "suspension.max_per_run", a.Suspension.MaxPerRun)
	checkPositive(c, "memory.reader_timeout", a.Memory.ReaderTimeout)
	// Bodies may take three quarters of it.
	if least := (4*a.Limits.MaxBody + 2) / 3; a.Memory.HeldBytes < 0 || a.Memory.HeldBytes > 0 && a.Memory.HeldBytes < least {
		c.report(result.SettingsOutOfRange, "memory.held_bytes", "want at least %d bytes, a third more than limits.max_body, or 0", least)
	}
	c.checkSilenceTimeout("timing.cut_off", a.Timing.CutOff, a.Timing.Heartbeat)
}

// checkAdvertised reports an advertised address that is taken from the listener and unspecified, such as 0.0.0.0, since
// other processes can't connect to it. Port 0 is allowed, since the process then advertises the port that it is bound
// to.
func (c *checker) checkAdvertised(advertise, links string) {
	if advertise == links && isUnspecified(links) {
		c.report(result.SettingsMissingKey, "advertise", "listen.links is %s, which nobody can dial: give an address", links)
	}
}
