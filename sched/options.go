package sched

import (
	"math/rand/v2"
	"time"
)

const (
	// MinTickInterval is the least time between two Ticks.
	MinTickInterval = 10 * time.Millisecond
	// MaxTickInterval is the longest time between two Ticks, for what has no time of its own and is in no hurry.
	MaxTickInterval = 200 * time.Millisecond
)

// Policy chooses how requests are ordered and backend servers are chosen. All but PolicyTargets are baselines to
// measure against; what is said about truth and attempts holds under each of them.
type Policy uint8

// The policies.
const (
	// PolicyTargets follows the classes' targets, with late binding. It is the default.
	PolicyTargets Policy = iota
	// PolicyRoundRobin is first in, first out, to each server in turn.
	PolicyRoundRobin
	// PolicyLeastLoad is first in, first out, to the server whose last report says that it runs least.
	PolicyLeastLoad
	// PolicyRandomFIFO is first in, first out, to a random server.
	PolicyRandomFIFO
)

// Options are the settings of a Scheduler. A zero field takes its default.
type Options struct {
	// Policy is PolicyTargets but in measurements.
	Policy Policy
	// Entry is the name of this entry instance.
	Entry string
	// AvailabilityZone is this entry's; servers of the same zone are preferred where they are as good.
	AvailabilityZone string
	// Seed starts the random choices. The same seed and events give the same actions.
	Seed uint64
	// Reservations is the number of servers a request waits at; twice as many for tier 1.
	Reservations int
	// ReservationsPerServer bounds how many requests of this entry wait at one server on average.
	ReservationsPerServer int
	// SampledServers is how many random servers are compared for each dispatch.
	SampledServers int
	// CandidateCount bounds the servers in a keyed request's record.
	CandidateCount int
	// MaxQueued bounds the queued requests, over all pools.
	MaxQueued int
	// MaxOutstanding bounds the attempts of this entry at one server under a baseline policy.
	MaxOutstanding int
	// MaxAnswerBytes is the largest answer, in bytes, that is held for a caller who didn't ask for a stream.
	MaxAnswerBytes int
	// HistorySize is the number of finished requests that Explain still knows.
	HistorySize int
	// PrefixEntries bounds the remembered prefix digests.
	PrefixEntries int
	// LeaseDuration is how long an agent keeps an attempt without a heartbeat of this entry.
	LeaseDuration time.Duration
	// RetryRatio, RetryWindow and RetryAllowance bound the retries at one model or service, over all entries: in any
	// window, the ratio times the requests for it plus the allowance. A ratio of 0 means no bound.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance int
	// MaxRoomAge is how old a Room may be to count as fresh.
	MaxRoomAge time.Duration
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
	return o
}

func orDefault[T int | time.Duration](value, def T) T {
	if value <= 0 {
		return def
	}
	return value
}

// seedStream keeps the scheduler's random numbers apart from those of others that use the same seed.
const seedStream = 0x5ced

func (o Options) random() *rand.Rand {
	return rand.New(rand.NewPCG(o.Seed, seedStream))
}
