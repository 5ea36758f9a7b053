package settings

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/result"
)

// Entry holds the settings of an entry instance, which accepts the requests of callers.
type Entry struct {
	// Role is "entry".
	Role Role `json:"role" settings:"required"`
	// Instance is the name of this process, unique in the deployment.
	Instance string `json:"instance" settings:"required,name"`
	// AvailabilityZone is the availability zone that this process runs in.
	AvailabilityZone string `json:"availability_zone" settings:"required,name"`
	// Listen holds the addresses that the process listens on.
	Listen EntryListen `json:"listen" settings:"required"`
	// Controls holds the inter-process addresses, IP:port, of all control instances.
	Controls []string `json:"controls" settings:"required,dial"`
	// Organisations holds the organisations whose keys are accepted until the replicated state is available.
	Organisations []Organisation `json:"organisations"`
	// OrganisationsFile is the path of a file {"organisations": [...]} that replaces Organisations. Load stores its
	// content in Organisations and clears OrganisationsFile.
	OrganisationsFile string `json:"organisations_file" settings:"path"`
	// Operators holds the people and programs that may list the requests of all organisations at this instance. If it
	// is empty, each organisation can list its own requests, and nobody can list those of others.
	Operators []OperatorAccount `json:"operators"`
	// Limits holds the resource limits of the process.
	Limits EntryLimits `json:"limits"`
	// Inbound bounds what clients make the process hold.
	Inbound Inbound `json:"inbound"`
	// Rollout bounds what a version that is being rolled out may do before it has proved good.
	Rollout EntryRollout `json:"rollout"`
	// Admission configures which requests are accepted under overload.
	Admission Admission `json:"admission"`
	// Placement configures which backend servers requests go to.
	Placement EntryPlacement `json:"placement"`
	// Memory bounds what the process holds for callers.
	Memory EntryMemory `json:"memory"`
	// TLS secures the connections to other processes. If it is empty, they are plain TCP.
	TLS TLS `json:"tls"`
	// CallerTLS secures the listener for callers. If it is empty, callers use plain HTTP.
	CallerTLS CallerTLS `json:"caller_tls"`
	// Log configures logging.
	Log Log `json:"log"`
	// Timing holds the intervals and timeouts of the process.
	Timing EntryTiming `json:"timing"`
}

// EntryListen holds the addresses, IP:port, that an entry instance listens on. Port 0 selects any free port.
type EntryListen struct {
	// Callers is the HTTP address for callers and for health checks of the platform.
	Callers string `json:"callers" settings:"required,listen"`
}

// EntryLimits holds the resource limits of an entry instance.
type EntryLimits struct {
	// MaxBody is the maximum size of a request body, in bytes. Default 4 MiB.
	MaxBody Size `json:"max_body"`
	// MaxAnswer is the maximum size of a response, in bytes. Default 16 MiB.
	MaxAnswer Size `json:"max_answer"`
	// MaxQueued is the maximum number of queued requests. Default 4096.
	MaxQueued int `json:"max_queued"`
	// KeptAnswers is the maximum size of the answers of plain services that are kept for resending, in bytes. Default
	// 64 MiB.
	KeptAnswers Size `json:"kept_answers"`
	// MaxQueuedBytes is the maximum total size of the bodies of all queued requests, in bytes. Default 256 MiB.
	MaxQueuedBytes Size `json:"max_queued_bytes"`
	// UsageOverrun and UsageAllowance are the tolerated excess over a usage cap: a fraction of the cap, and a number of
	// units in addition. Default 0 for both.
	UsageOverrun   float64 `json:"usage_overrun"`
	UsageAllowance int     `json:"usage_allowance"`
	// RetryRatio and RetryAllowance limit the retries for one model or service over all entry instances. In any
	// RetryWindow, retries may reach RetryRatio times the requests for it, plus RetryAllowance. Default 0: no limit.
	RetryRatio     float64 `json:"retry_ratio"`
	RetryAllowance int     `json:"retry_allowance"`
	// MaxReservations is the maximum number of agents at which one request holds a pending reservation. Default 3.
	MaxReservations int `json:"max_reservations"`
}

// EntryRollout bounds the roll-outs of new versions. It has no effect on a service until a roll-out was ordered for it.
type EntryRollout struct {
	// ExposureShare is the share of a service's requests, above 0 and up to 1, that all entry instances together may send to
	// servers of the new version while the roll-out is in progress. Default 0.1.
	ExposureShare float64 `json:"exposure_share"`
	// ExposureAllowance is the number of requests beyond that share that is tolerated. Entry instances leave it unused, as a
	// margin for requests that are counted elsewhere than here. Default 50.
	ExposureAllowance int `json:"exposure_allowance"`
	// Rollback is the time after which a bad version gets no more requests. An entry instance that has no contact with control
	// for two fifths of it sends none. Default 5s.
	Rollback time.Duration `json:"rollback"`
}

// Admission configures which requests an entry instance accepts under overload.
type Admission struct {
	// Forecast enables the forecast of the wait. A request that won't begin while its caller waits is refused on arrival,
	// and one that will begin late is held behind those that will be in time. Default false: every request waits until
	// its objective.
	Forecast bool `json:"forecast"`
	// RetryAdvice enables the advice to retry by a forecast of when a slot for the caller's rank will be free. Default
	// false: the advice follows from the length of the queue.
	RetryAdvice bool `json:"retry_advice"`
	// LongTermShare measures the guaranteed share of the class with the lowest precedence over a minute instead of at each
	// moment, so that it can wait during a burst. Default false.
	LongTermShare bool `json:"long_term_share"`
	// FleetDemand enables the fleet-wide view of demand: entry instances report what they have queued, requests of an
	// organisation that holds more than its share of a pool go behind those of others, and the forecast, where it is enabled,
	// counts the requests of all entry instances. Default false.
	FleetDemand bool `json:"fleet_demand"`
}

// EntryPlacement configures which backend servers requests go to.
type EntryPlacement struct {
	// ByLength places an answer by its expected length and a length that nine of ten such answers don't exceed, learned by
	// class. An answer that may not end in time at slow servers goes to fast ones, and while requests wait for these, others
	// leave them. Default false: the expected length alone decides, with a fixed margin.
	ByLength bool `json:"by_length"`
}

// EntryMemory bounds what an entry instance holds for callers: bodies, and answers that wait to be read.
type EntryMemory struct {
	// HeldBytes is the maximum total size, in bytes. When it is reached, the call that holds most of the organisation that
	// holds most is ended. Default 0: nothing is counted, and the other settings of this group have no effect.
	HeldBytes Size `json:"held_bytes"`
	// OrganisationShare is the share of HeldBytes, above 0 and up to 1, that one organisation may hold while others hold
	// anything too. New requests of an organisation above it are refused. Default 0.25.
	OrganisationShare float64 `json:"organisation_share"`
	// ReaderWindowBytes is how much of an answer is fetched from the backend server beyond what its caller has read, in
	// bytes. Default 64 KiB.
	ReaderWindowBytes Size `json:"reader_window_bytes"`
	// ReaderTimeout is how long a caller may read nothing while this much waits for it. Then its call is ended. Default 2s.
	ReaderTimeout time.Duration `json:"reader_timeout"`
}

// EntryTiming holds the intervals and timeouts of an entry instance.
type EntryTiming struct {
	// Heartbeat is the interval between messages on a connection without other traffic. Default 250ms.
	Heartbeat time.Duration `json:"heartbeat"`
	// CutOff is the time without messages from a majority of control instances after which no request is admitted.
	// Default 2s.
	CutOff time.Duration `json:"cut_off"`
	// Lease is how long an agent continues an attempt whose lease isn't renewed. Default 2s.
	Lease time.Duration `json:"lease"`
	// UsageWindow is the window over which usage caps apply: in any window an organisation may use its rate times
	// UsageWindow, plus its burst. Default 8s.
	UsageWindow time.Duration `json:"usage_window"`
	// RetryWindow is the window over which the limit on retries applies. Default 10s.
	RetryWindow time.Duration `json:"retry_window"`
	// VersionWait is how long a request waits for a configuration version that another process already uses. After that
	// the request is refused. With 0 it proceeds with the configuration in force at this instance. Default 1s.
	VersionWait time.Duration `json:"version_wait"`
	// StartWait is the maximum time for which a request that is forwarded byte for byte is held while this process
	// starts and has no confirmed state. It is limited to a quarter of the caller's timeout. Default 0s: such requests
	// are refused immediately.
	StartWait time.Duration `json:"start_wait"`
	// Leave is how long requests are still accepted after SIGTERM while the process reports that it isn't ready, so
	// that a load balancer has time to react. Default 0s.
	Leave time.Duration `json:"leave"`
	// Drain is how long requests in flight may take after SIGTERM. Default 30s.
	Drain time.Duration `json:"drain"`
}

// Defaults of EntryMemory.
const (
	defaultOrganisationShare = 0.25
	defaultReaderWindow      = 64 * KiB
	defaultReaderTimeout     = 2 * time.Second
)

// Defaults of EntryRollout.
const (
	defaultExposureShare     = 0.1
	defaultExposureAllowance = 50
	defaultRollback          = 5 * time.Second
)

func (*Entry) expectedRole() Role { return RoleEntry }

// DefaultEntry returns the default values, which apply to keys that a file omits.
func DefaultEntry() Entry {
	return Entry{
		Role:    RoleEntry,
		Log:     Log{Level: log.InfoLevel},
		Inbound: defaultInbound(),
		Limits: EntryLimits{
			MaxBody:         4 * MiB,
			MaxAnswer:       16 * MiB,
			MaxQueued:       4096,
			MaxQueuedBytes:  256 * MiB,
			KeptAnswers:     64 * MiB,
			MaxReservations: 3,
		},
		Rollout: EntryRollout{
			ExposureShare:     defaultExposureShare,
			ExposureAllowance: defaultExposureAllowance,
			Rollback:          defaultRollback,
		},
		Memory: EntryMemory{
			OrganisationShare: defaultOrganisationShare,
			ReaderWindowBytes: defaultReaderWindow,
			ReaderTimeout:     defaultReaderTimeout,
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
	c.resolveOrganisations(&e.Organisations, &e.OrganisationsFile)
	c.checkOperators(e.Operators)
	c.checkUnique("address", e.Controls, controlPath)
	c.checkTLS("tls", e.TLS)
	c.checkTLS("caller_tls", e.CallerTLS)
	e.Inbound.validate(c)
	checkPositive(c, "limits.max_body", e.Limits.MaxBody)
	checkPositive(c, "limits.max_answer", e.Limits.MaxAnswer)
	checkPositive(c, "limits.max_queued", e.Limits.MaxQueued)
	checkPositive(c, "limits.max_queued_bytes", e.Limits.MaxQueuedBytes)
	checkPositive(c, "limits.kept_answers", e.Limits.KeptAnswers)
	checkPositive(c, "limits.max_reservations", e.Limits.MaxReservations)
	if e.Limits.UsageOverrun < 0 {
		c.report(result.SettingsOutOfRange, "limits.usage_overrun", "want a share of at least 0, got %g", e.Limits.UsageOverrun)
	}
	checkPositive(c, "timing.heartbeat", e.Timing.Heartbeat)
	checkPositive(c, "timing.drain", e.Timing.Drain)
	checkPositive(c, "timing.usage_window", e.Timing.UsageWindow)
	checkPositive(c, "timing.retry_window", e.Timing.RetryWindow)
	if e.Limits.RetryRatio < 0 || e.Limits.RetryAllowance < 0 {
		c.report(result.SettingsOutOfRange, "limits.retry_ratio", "want a ratio and an allowance of at least 0")
	}
	if e.Timing.StartWait < 0 || e.Timing.Leave < 0 {
		c.report(result.SettingsOutOfRange, "timing.start_wait", "want timing.start_wait and timing.leave of at least 0")
	}
	e.Rollout.validate(c)
	e.Memory.validate(c, e.Limits.MaxBody)
	if room := inbound.LargestBody(int64(e.Inbound.Bytes)); int64(e.Limits.MaxBody) > room {
		c.report(result.SettingsOutOfRange, "inbound.bytes", "want room for a body of limits.max_body, have room for %d bytes", room)
	}
	c.checkSilenceTimeout("timing.cut_off", e.Timing.CutOff, e.Timing.Heartbeat)
	c.checkSilenceTimeout("timing.lease", e.Timing.Lease, e.Timing.Heartbeat)
}

func (r EntryRollout) validate(c *checker) {
	if r.ExposureShare <= 0 || r.ExposureShare > 1 {
		c.report(result.SettingsOutOfRange, "rollout.exposure_share", "want a share above 0 and up to 1, got %g", r.ExposureShare)
	}
	if r.ExposureAllowance < 0 {
		c.report(result.SettingsOutOfRange, "rollout.exposure_allowance", "want a number of at least 0, got %d", r.ExposureAllowance)
	}
	checkPositive(c, "rollout.rollback", r.Rollback)
}

func (m EntryMemory) validate(c *checker, maxBody Size) {
	checkPositive(c, "memory.reader_window_bytes", m.ReaderWindowBytes)
	checkPositive(c, "memory.reader_timeout", m.ReaderTimeout)
	if m.OrganisationShare <= 0 || m.OrganisationShare > 1 {
		c.report(result.SettingsOutOfRange, "memory.organisation_share", "want a share above 0 and up to 1, got %g", m.OrganisationShare)
	}
	if least := max(m.ReaderWindowBytes, maxBody); m.HeldBytes != 0 && m.HeldBytes < least {
		c.report(result.SettingsOutOfRange, "memory.held_bytes",
			"want at least %d bytes, which a body of limits.max_body and a window of memory.reader_window_bytes fit into, or 0", least)
	}
}

func controlPath(i int) string {
	return fmt.Sprintf("controls[%d]", i)
}
