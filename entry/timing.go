package entry

import "time"

// Limits of what an entry holds.
const (
	// inputRingSize is the capacity of the scheduler goroutine's ring.
	inputRingSize = 16 << 10
	// maxInputBatch is how many inputs the scheduler goroutine handles before it checks its ticker again.
	maxInputBatch = 256
	// lowerTierFraction is the fraction of a limit that requests below tier 1 may use. The rest is reserved for tier 1,
	// which must not be refused because lower tiers occupy the memory.
	lowerTierFraction = 0.75
	// maxBackground bounds the proposals and proofs in progress for the scheduler.
	maxBackground = 1024
	// maxKeyBytes bounds the length of an Idempotency-Key.
	maxKeyBytes = 256
	// prefixBlockTokens is the number of tokens covered by one prefix digest, and maxPrefixBlocks bounds the number of
	// digests.
	prefixBlockTokens = 64
	maxPrefixBlocks   = 256
	// maxListedRequests bounds the requests listed by GET /v1/requests.
	maxListedRequests = 1000
)

// Durations.
const (
	// pollInitial and pollMax bound the interval between polls of a record that another entry works on.
	pollInitial = 50 * time.Millisecond
	pollMax     = time.Second
	// minCommitWait is how long an available answer waits for its commit at least, even past the deadline.
	minCommitWait = 500 * time.Millisecond
	// proposalTimeout bounds one proposal in the background.
	proposalTimeout = 5 * time.Second
	// controlRetryAfter is the Retry-After advice to a caller if control is unavailable.
	controlRetryAfter = time.Second
	// residualDataWait is how long bytes sent by an agent that has crashed may take to reach its engine.
	residualDataWait = 500 * time.Millisecond
	// proveTimeout bounds the calls of one proof.
	proveTimeout = 3 * time.Second
	// deregisterTimeout bounds the deregistration when the entry stops. If it fails, control detects the missing
	// heartbeats later.
	deregisterTimeout = 200 * time.Millisecond
	// startPollInterval is the interval at which a call that waits for the process to start checks whether it may
	// proceed.
	startPollInterval = 10 * time.Millisecond
	// drainPollInterval is the interval at which a stopping entry checks whether it has drained, and at which a call
	// that waits for a configuration version checks whether it is in force.
	drainPollInterval = 10 * time.Millisecond
	// writeTimeout bounds one write to a caller.
	writeTimeout = 30 * time.Second
)
