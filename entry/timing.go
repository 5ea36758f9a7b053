package entry

import "time"

// Bounds of what an entry holds.
const (
	// inputRing is the capacity of the scheduler duty's ring.
	inputRing = 16 << 10
	// inputBatch is how many inputs the scheduler duty takes before it looks at its ticker again.
	inputBatch = 256
	// lowerTierShare is the part of a bound that requests below tier 1 may use. The rest is left to tier 1, which must
	// not be refused for want of memory that lower tiers hold.
	lowerTierShare = 0.75
	// maxBackground bounds the proposals and proofs under way for the scheduler.
	maxBackground = 1024
	// maxKeyBytes bounds an Idempotency-Key.
	maxKeyBytes = 256
	// prefixBlockTokens is the number of tokens that one prefix digest stands for, and maxPrefixBlocks how many are
	// looked at.
	prefixBlockTokens = 64
	maxPrefixBlocks   = 256
	// maxListed bounds the requests that GET /v1/requests lists.
	maxListed = 1000
)

// Durations.
const (
	// pollFirst and pollMost bound the wait between two looks at a record that another entry works on.
	pollFirst = 50 * time.Millisecond
	pollMost  = time.Second
	// commitGrace is how long an answer that is there waits at least for its commit, also past the deadline.
	commitGrace = 500 * time.Millisecond
	// commitTry bounds one proposal in the background.
	commitTry = 5 * time.Second
	// controlRetryAfter is the advice to a caller when control didn't answer.
	controlRetryAfter = time.Second
	// settleTime is how long bytes of a dead agent may still be under way to its engine.
	settleTime = 500 * time.Millisecond
	// proveTimeout bounds the calls of one proof.
	proveTimeout = 3 * time.Second
	// endTimeout bounds the deregistration at the end. Without it control notices the silence after a while.
	endTimeout = 200 * time.Millisecond
	// startPoll is how often a call that is held while the process starts looks whether it may go on.
	startPoll = 10 * time.Millisecond
	// drainPoll is how often a stopping entry looks whether it is done.
	drainPoll = 10 * time.Millisecond
	// writeTimeout bounds one write to a caller.
	writeTimeout = 30 * time.Second
)
