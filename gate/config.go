package gate

import "time"

// TickInterval is the time between two Ticks while anything waits or runs, and RestInterval while nothing does.
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
)

// Config holds the settings of a Gate. A zero value means the default of that name.
type Config struct {
	// LeaseDuration is how long an entry may be silent before its attempts are given up.
	LeaseDuration time.Duration
	// OfferTimeout is how long an offered slot is kept for the dispatch.
	OfferTimeout time.Duration
	// TombstoneLifetime is how long an ended attempt is remembered after its end and after its deadline. It has to be
	// longer than any message can be under way.
	TombstoneLifetime time.Duration
	// OverRetention is how long an Over message and its answer are kept for those who lost it.
	OverRetention time.Duration
	// RequestLifetime is the longest that an entry itself may ask about an attempt after it sent it.
	RequestLifetime time.Duration
	// OperationLifetime is the longest that another entry, which takes an operation over, may ask about an attempt.
	OperationLifetime time.Duration
	// SilentAfter and GoneAfter are how long after its last announcement a server is suspect and then gone.
	SilentAfter, GoneAfter time.Duration
	// UnlistedSettle is how long a new incarnation admits nothing at a server that keeps no list of what it runs.
	UnlistedSettle time.Duration
	// UnprovenHold is how long an attempt holds its room after its run returned without a proof. It may be running, so
	// the room isn't free at once; a server that never tells must not lose its rooms one by one either.
	UnprovenHold time.Duration
	// SlowRatio is how many times its own past the present pace is when a server becomes suspect. An engine that computes
	// prompts beside running answers is several times slower under load than its past by itself; one that is taken out
	// for that leaves its load to the others.
	SlowRatio float64
	// MaxRecords bounds the requests remembered, tombstones included. Beyond it new work is refused; up to twice as
	// many are held for the tombstones of what is refused or cancelled then.
	MaxRecords int
	// MaxWaiting bounds the attempts that wait for room.
	MaxWaiting int
	// SlotsFloor is the share of the announced slots that are used however slow the pace is.
	SlotsFloor float64
	// ProcessStarted is when this incarnation's process began, zero if not known. What an earlier one left at a server that
	// keeps no list lost its connections before that, so the settle time counts from here; otherwise from the listing.
	ProcessStarted time.Time
	// MaxHistoryDigests bounds the digests of keyed requests that ran here, in each of two generations.
	MaxHistoryDigests int
	// ProbeFailures is how many failed probes in a row make the server suspect.
	ProbeFailures int
	// MaxAnswerBytes and MaxResendBytes bound the bytes of an answer kept for control and for an entry that lost its link.
	MaxAnswerBytes, MaxResendBytes int
	// Reporter names this agent in what it reports of crashes.
	Reporter string
	// UniqueNamePerStart says that each start of a server has another name.
	UniqueNamePerStart bool
	// TrialAtStart has the first attempts at a server wait for the first answer, since an earlier process may have been asked to keep
	// away from it.
	TrialAtStart bool
	// NoPredecessor says that no earlier incarnation of this agent can have run anything at this server. Without it
	// a Cancel for an attempt that the gate never heard of is not answered with PROOF_NEVER_STARTED as long as it may
	// speak of an attempt of an earlier incarnation.
	NoPredecessor bool
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
	return c
}
