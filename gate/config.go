package gate

import "time"

// TickInterval is the time between two Ticks while attempts wait or run, and RestInterval the time while none do.
const (
	TickInterval = 20 * time.Millisecond
	RestInterval = sweepInterval
)

// Defaults of Config.
const (
	DefaultLeaseDuration     = 3 * time.Second
	DefaultOfferTimeout      = 250 * time.Millisecond
	DefaultTombstoneLifetime = 2 * time.Minute
	DefaultOverRetention     = 15 * time.Second
	DefaultRequestLifetime   = 15 * time.Minute
	DefaultOperationLifetime = 24 * time.Hour
	DefaultSilentAfter       = 3 * time.Second
	DefaultGoneAfter         = 10 * time.Second
	DefaultSlotsFloor        = 0.25
	DefaultUnlistedSettle    = time.Second
	DefaultUnprovenHold      = 30 * time.Second
	DefaultSlowRatio         = 3.0
	DefaultMaxRecords        = 1 << 16
	DefaultMaxWaiting        = 4096
	DefaultMaxHistoryDigests = 1 << 18
	DefaultProbeFailures     = 2
	DefaultMaxAnswerBytes    = 1 << 20
	DefaultMaxResendBytes    = 256 << 10

	DefaultMaxSuspensionsPerRun = 2
)

// Config holds the settings of a Gate. A zero value selects the default of the same name, where there is one.
type Config struct {
	// LeaseDuration is how long an entry may stay silent before its attempts are given up.
	LeaseDuration time.Duration
	// OfferTimeout is how long an offered slot is reserved for the dispatch.
	OfferTimeout time.Duration
	// TombstoneLifetime is how long an ended attempt is remembered after the later of its end and its deadline. It
	// has to exceed the longest time that a message can be in transit.
	TombstoneLifetime time.Duration
	// OverRetention is how long an Over message and its answer are kept for an entry or control that did not
	// receive them.
	OverRetention time.Duration
	// RequestLifetime is the longest time after sending an attempt during which the same entry may ask about it.
	RequestLifetime time.Duration
	// OperationLifetime is the longest time during which another entry that takes over an operation may ask about
	// an attempt.
	OperationLifetime time.Duration
	// SilentAfter and GoneAfter are the times since its last announcement after which a server is suspect and then
	// gone.
	SilentAfter, GoneAfter time.Duration
	// UnlistedSettle is how long a new incarnation admits nothing at a server that keeps no list of what it runs.
	UnlistedSettle time.Duration
	// UnprovenHold is how long an attempt keeps its room after its run returned without a proof. The attempt may
	// still be running, so its room isn't freed at once; the bound keeps a server that never proves an end from
	// losing all its room.
	UnprovenHold time.Duration
	// SlowRatio is the ratio of the present pace to the server's own baseline at which the server becomes suspect.
	// An engine that computes prompts while it generates answers is several times slower under load than its
	// baseline alone; taking it out for that would shift its load to the other servers.
	SlowRatio float64
	// MaxRecords bounds the number of requests remembered, including tombstones. Beyond it new work is refused; up
	// to twice as many records are kept, to hold the tombstones of what is refused or cancelled then.
	MaxRecords int
	// MaxWaiting bounds the number of attempts that wait for room.
	MaxWaiting int
	// SlotsFloor is the share of the announced slots that is used however slow the pace is.
	SlotsFloor float64
	// ProcessStarted is when this incarnation's process started, zero if unknown. What an earlier incarnation ran
	// at a server without a list lost its connections before that, so the settle time counts from here; if it is
	// zero, from the listing.
	ProcessStarted time.Time
	// MaxHistoryDigests bounds the number of digests of keyed requests that ran here, in each of two generations.
	MaxHistoryDigests int
	// ProbeFailures is the number of consecutive failed probes that make the server suspect.
	ProbeFailures int
	// MaxAnswerBytes and MaxResendBytes bound the bytes of an answer kept for control and for an entry that lost
	// its link.
	MaxAnswerBytes, MaxResendBytes int
	// Answers bounds the bytes of all answers kept by the gates of a process; nil means no bound.
	Answers *AnswerBudget
	// Reporter is the name of this agent in its crash reports.
	Reporter string
	// UniqueNamePerStart means that a server gets a new name at each start.
	UniqueNamePerStart bool
	// TrialAtStart makes the first attempts at a server wait for the first answer, because the server may have
	// asked an earlier process to back off.
	TrialAtStart bool
	// Suspension holds the settings of the suspension of runs.
	Suspension SuspensionConfig
	// FewServersFirst offers slots first to attempts that only few servers can finish in time, see few_servers.go.
	FewServersFirst bool
	// UpperOutput counts the uncertainty of the expected lengths of answers against the server's memory, and refuses
	// requests that are larger than the whole of it.
	UpperOutput bool
	// NoPredecessor means that no earlier incarnation of this agent can have run anything at this server. Without
	// it, a Cancel for an unknown attempt is not answered with PROOF_NEVER_STARTED while the attempt may have been
	// run by an earlier incarnation.
	NoPredecessor bool
}

// SuspensionConfig holds the settings of the suspension of runs, which takes effect only at servers whose record has
// suspends. The zero value disables it.
type SuspensionConfig struct {
	Enabled bool
	// MaxPerRun bounds how often one run is suspended.
	MaxPerRun int
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (c Config) withDefaults() Config {
	c.LeaseDuration = orDefault(c.LeaseDuration, DefaultLeaseDuration)
	c.OfferTimeout = orDefault(c.OfferTimeout, DefaultOfferTimeout)
	c.TombstoneLifetime = orDefault(c.TombstoneLifetime, DefaultTombstoneLifetime)
	c.OverRetention = orDefault(c.OverRetention, DefaultOverRetention)
	c.RequestLifetime = orDefault(c.RequestLifetime, DefaultRequestLifetime)
	c.OperationLifetime = orDefault(c.OperationLifetime, DefaultOperationLifetime)
	c.SilentAfter = orDefault(c.SilentAfter, DefaultSilentAfter)
	c.GoneAfter = orDefault(c.GoneAfter, DefaultGoneAfter)
	c.UnlistedSettle = orDefault(c.UnlistedSettle, DefaultUnlistedSettle)
	c.SlotsFloor = orDefault(c.SlotsFloor, DefaultSlotsFloor)
	c.UnprovenHold = orDefault(c.UnprovenHold, DefaultUnprovenHold)
	c.SlowRatio = orDefault(c.SlowRatio, DefaultSlowRatio)
	c.MaxRecords = orDefault(c.MaxRecords, DefaultMaxRecords)
	c.MaxWaiting = orDefault(c.MaxWaiting, DefaultMaxWaiting)
	c.MaxHistoryDigests = orDefault(c.MaxHistoryDigests, DefaultMaxHistoryDigests)
	c.ProbeFailures = orDefault(c.ProbeFailures, DefaultProbeFailures)
	c.MaxAnswerBytes = orDefault(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	c.MaxResendBytes = orDefault(c.MaxResendBytes, DefaultMaxResendBytes)
	c.Suspension.MaxPerRun = orDefault(c.Suspension.MaxPerRun, DefaultMaxSuspensionsPerRun)
	return c
}
