package sched

import (
	"math/rand/v2"
	"time"
)

const (
	// MinTickInterval is the shortest time between two Ticks.
	MinTickInterval = 10 * time.Millisecond
	// MaxTickInterval is the longest time between two Ticks. It bounds the delay of periodic work that has no
	// timer.
	MaxTickInterval = 200 * time.Millisecond
)

// Policy determines how requests are ordered and backend servers are chosen. All policies except PolicyTargets are
// baselines for comparison; the guarantees about attempts and reported outcomes hold under each of them.
type Policy uint8

// The policies.
const (
	// PolicyTargets follows the targets of the classes and assigns a server only when it has room. It is the
	// default.
	PolicyTargets Policy = iota
	// PolicyRoundRobin is first in, first out, to the servers in turn.
	PolicyRoundRobin
	// PolicyLeastLoad is first in, first out, to the server that runs the fewest attempts by its last report.
	PolicyLeastLoad
	// PolicyRandomFIFO is first in, first out, to a random server.
	PolicyRandomFIFO
)

// Options configures a Scheduler. A zero field takes its default.
type Options struct {
	// Policy is PolicyTargets except in comparative measurements.
	Policy Policy
	// Entry is the name of this entry instance.
	Entry string
	// AvailabilityZone is the zone of this entry. Servers of the same zone are preferred when estimates are about
	// equal.
	AvailabilityZone string
	// Seed seeds the random choices. The same seed and events give the same actions.
	Seed uint64
	// Reservations is the number of servers at which a request reserves; requests of tier 1 reserve at twice as
	// many.
	Reservations int
	// ReservationsPerServer bounds the average number of this entry's requests that have a reservation at one
	// server.
	ReservationsPerServer int
	// SampledServers is the number of random servers that are compared for each dispatch.
	SampledServers int
	// CandidateCount bounds the servers in the operation record of a keyed request.
	CandidateCount int
	// MaxQueued bounds the queued requests over all pools.
	MaxQueued int
	// MaxOutstanding bounds this entry's attempts at one server under a baseline policy.
	MaxOutstanding int
	// MaxAnswerBytes bounds the size, in bytes, of an answer that is buffered for a caller who didn't request a
	// stream.
	MaxAnswerBytes int
	// HistorySize is the number of finished requests that Explain can report on.
	HistorySize int
	// PrefixEntries bounds the number of prefix digests that are remembered.
	PrefixEntries int
	// LeaseDuration is how long an agent keeps an attempt without a heartbeat of this entry.
	LeaseDuration time.Duration
	// RetryRatio, RetryWindow and RetryAllowance bound the retries for one model or service, over all entries:
	// within any window, to the ratio times the requests for it plus the allowance. A ratio of 0 means no bound.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance int
	// Forecast enables the forecast of the wait: requests that won't begin while their callers wait are refused on arrival,
	// and those that will begin late are held.
	Forecast bool
	// RetryAdvice enables the advice to retry by a forecast of when a slot for the caller's rank will be free.
	RetryAdvice bool
	// LongTermShare measures the guaranteed share of a class over a minute instead of at each moment.
	LongTermShare bool
	// FleetDemand enables the use of what all entries have queued, see the event of that name.
	FleetDemand bool
	// ByLength places answers by their expected and upper length, see placement.go.
	ByLength bool
	// MaxRoomAge is the age up to which a Room report counts as current.
	MaxRoomAge time.Duration
	// ExposureShare is the share of a pool's requests that all entries together may send to a version that is being rolled
	// out, and ControlSilence how long an entry without a confirmed answer of control goes on to send any.
	ExposureShare  float64
	ControlSilence time.Duration
}

// Defaults of Options.
const (
	DefaultReservations          = 3
	DefaultReservationsPerServer = 8
	DefaultSampledServers        = 4
	DefaultCandidateCount        = 6
	DefaultMaxQueued             = 10_000
	DefaultMaxOutstanding        = 16
	DefaultMaxAnswerBytes        = 16 << 20
	DefaultHistorySize           = 1024
	DefaultPrefixEntries         = 1 << 16
	DefaultLeaseDuration         = 3 * time.Second
	DefaultMaxRoomAge            = 2 * time.Second
)

func (o Options) withDefaults() Options {
	o.Reservations = orDefault(o.Reservations, DefaultReservations)
	o.ReservationsPerServer = orDefault(o.ReservationsPerServer, DefaultReservationsPerServer)
	o.SampledServers = orDefault(o.SampledServers, DefaultSampledServers)
	o.CandidateCount = orDefault(o.CandidateCount, DefaultCandidateCount)
	o.MaxQueued = orDefault(o.MaxQueued, DefaultMaxQueued)
	o.MaxOutstanding = orDefault(o.MaxOutstanding, DefaultMaxOutstanding)
	o.MaxAnswerBytes = orDefault(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.HistorySize = orDefault(o.HistorySize, DefaultHistorySize)
	o.PrefixEntries = orDefault(o.PrefixEntries, DefaultPrefixEntries)
	o.LeaseDuration = orDefault(o.LeaseDuration, DefaultLeaseDuration)
	o.MaxRoomAge = orDefault(o.MaxRoomAge, DefaultMaxRoomAge)
	o.ControlSilence = orDefault(o.ControlSilence, DefaultControlSilence)
	if o.ExposureShare <= 0 {
		o.ExposureShare = DefaultExposureShare
	}
	return o
}

func orDefault[T int | time.Duration](value, def T) T {
	if value <= 0 {
		return def
	}
	return value
}

// seedStream separates the scheduler's random numbers from those of other users of the same seed.
const seedStream = 0x5ced

func (o Options) random() *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, seedStream))
}
