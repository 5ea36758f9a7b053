package settings

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/result"
)

// Entry is the settings of an entry instance.
type Entry struct {
	// Role is "entry".
	Role Role `json:"role" settings:"required"`
	// Instance is this process's name, unique in the deployment.
	Instance string `json:"instance" settings:"required,name"`
	// AvailabilityZone is the zone this process runs in.
	AvailabilityZone string `json:"availability_zone" settings:"required,name"`
	// Listen says where the process listens.
	Listen EntryListen `json:"listen" settings:"required"`
	// Controls are the link addresses, IP:port, of all control instances.
	Controls []string `json:"controls" settings:"required,dial"`
	// Organisations are the members whose keys are accepted until the replicated state is known.
	Organisations []Organisation `json:"organisations"`
	// OrganisationsFile is a file {"organisations": [...]} in place of Organisations. Load reads it into them and
	// leaves this empty.
	OrganisationsFile string `json:"organisations_file" settings:"path"`
	// Operators are the people and machines that may see the requests of all organisations here. Without them each
	// organisation sees its own, and nobody else's are shown.
	Operators []OperatorAccount `json:"operators"`
	// Limits bounds what the process holds.
	Limits EntryLimits `json:"limits"`
	// TLS is for the links to other processes. Without it links are plain TCP.
	TLS TLS `json:"tls"`
	// CallerTLS is for callers. Without it callers speak plain HTTP.
	CallerTLS CallerTLS `json:"caller_tls"`
	// Log says what is logged.
	Log Log `json:"log"`
	// Timing holds the process's intervals and bounds.
	Timing EntryTiming `json:"timing"`
}

// EntryListen says where an entry instance listens, as IP:port; port 0 takes any free one.
type EntryListen struct {
	// Callers is where callers and the platform connect, by HTTP.
	Callers string `json:"callers" settings:"required,listen"`
}

// EntryLimits bounds what an entry instance holds.
type EntryLimits struct {
	// MaxBody is the largest request body, in bytes. Default 4 MiB.
	MaxBody Size `json:"max_body"`
	// MaxAnswer is the largest answer, in bytes. Default 16 MiB.
	MaxAnswer Size `json:"max_answer"`
	// MaxQueued is how many requests may wait. Default 4096.
	MaxQueued int `json:"max_queued"`
	// MaxQueuedBytes bounds the bodies of all waiting requests, in bytes. Default 256 MiB.
	MaxQueuedBytes Size `json:"max_queued_bytes"`
	// UsageOverrun and UsageAllowance are what the deployment's contract tolerates beyond a usage cap: a share of the
	// cap, and units on top. Default 0 and 0.
	UsageOverrun   float64 `json:"usage_overrun"`
	UsageAllowance int     `json:"usage_allowance"`
	// RetryRatio and RetryAllowance bound the retries at one model or service over all entries: in any retry window, this
	// share of the requests for it, and so many on top. Default 0: no bound.
	RetryRatio     float64 `json:"retry_ratio"`
	RetryAllowance int     `json:"retry_allowance"`
	// MaxReservations is with how many agents one request waits at a time. Default 3.
	MaxReservations int `json:"max_reservations"`
}

// EntryTiming holds an entry instance's intervals and bounds.
type EntryTiming struct {
	// Heartbeat is the interval between messages on a link without other traffic. Default 250ms.
	Heartbeat time.Duration `json:"heartbeat"`
	// CutOff is the silence of a majority of control instances after which no request is admitted. Default 2s.
	CutOff time.Duration `json:"cut_off"`
	// Lease is how long an agent goes on with an attempt that isn't renewed. Default 2s.
	Lease time.Duration `json:"lease"`
	// UsageWindow is the time over which usage caps hold: in any such time an organisation may use its rate times this,
	// and its burst. Default 8s.
	UsageWindow time.Duration `json:"usage_window"`
	// RetryWindow is the time over which the bound on retries holds. Default 10s.
	RetryWindow time.Duration `json:"retry_window"`
	// VersionWait is how long a request waits for a configuration that another process has shown, and is refused after.
	// 0 lets it go on by the one in force here. Default 1s.
	VersionWait time.Duration `json:"version_wait"`
	// StartWait is how long a request that goes to its server byte for byte is held at most while this process starts and
	// has no confirmed state yet; a quarter of the caller's own time at most. Default 0s: refused at once.
	StartWait time.Duration `json:"start_wait"`
	// Leave is how long requests are still taken after SIGTERM, while the process says that it isn't ready, so that a
	// balancer has time to notice. Default 0s.
	Leave time.Duration `json:"leave"`
	// Drain is how long requests in flight may take after SIGTERM. Default 30s.
	Drain time.Duration `json:"drain"`
}

func (*Entry) expectedRole() Role { return RoleEntry }

// DefaultEntry returns the settings that hold for keys a file leaves out.
func DefaultEntry() Entry {
	return Entry{
		Role: RoleEntry,
		Log:  Log{Level: log.InfoLevel},
		Limits: EntryLimits{
			MaxBody:         4 * MiB,
			MaxAnswer:       16 * MiB,
			MaxQueued:       4096,
			MaxQueuedBytes:  256 * MiB,
			MaxReservations: 3,
		},
		Timing: EntryTiming{
			Heartbeat: defaultHeartbeat,
			CutOff:    defaultCutOff,
			Lease:     defaultLease,
			Drain:     defaultDrain,

			VersionWait: time.Second,
			UsageWindow: 8 * time.Second,
			RetryWindow: 10 * time.Second,
		},
	}
}

func (e *Entry) setDefaults() { *e = DefaultEntry() }

func (e *Entry) derive() {}

func (e *Entry) validate(c *checker) {
	c.organisations(&e.Organisations, &e.OrganisationsFile)
	c.operators(e.Operators)
	c.unique("address", e.Controls, controlPath)
	c.tlsFiles("tls", e.TLS)
	c.tlsFiles("caller_tls", e.CallerTLS)
	positive(c, "limits.max_body", e.Limits.MaxBody)
	positive(c, "limits.max_answer", e.Limits.MaxAnswer)
	positive(c, "limits.max_queued", e.Limits.MaxQueued)
	positive(c, "limits.max_queued_bytes", e.Limits.MaxQueuedBytes)
	positive(c, "limits.max_reservations", e.Limits.MaxReservations)
	if e.Limits.UsageOverrun < 0 {
		c.add(result.SettingsOutOfRange, "limits.usage_overrun", "want a share of at least 0, got %g", e.Limits.UsageOverrun)
	}
	positive(c, "timing.heartbeat", e.Timing.Heartbeat)
	positive(c, "timing.drain", e.Timing.Drain)
	positive(c, "timing.usage_window", e.Timing.UsageWindow)
	positive(c, "timing.retry_window", e.Timing.RetryWindow)
	if e.Limits.RetryRatio < 0 || e.Limits.RetryAllowance < 0 {
		c.add(result.SettingsOutOfRange, "limits.retry_ratio", "want a ratio and an allowance of at least 0")
	}
	if e.Timing.StartWait < 0 || e.Timing.Leave < 0 {
		c.add(result.SettingsOutOfRange, "timing.start_wait", "want timing.start_wait and timing.leave of at least 0")
	}
	c.silence("timing.cut_off", e.Timing.CutOff, e.Timing.Heartbeat)
	c.silence("timing.lease", e.Timing.Lease, e.Timing.Heartbeat)
}

func controlPath(i int) string {
	return fmt.Sprintf("controls[%d]", i)
}
