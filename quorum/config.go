package quorum

import (
	"math/rand/v2"

	"github.com/go-faster/errors"
)

// Default values of Config.
const (
	DefaultElectionTicks    = 10
	DefaultHeartbeatTicks   = 2
	DefaultMaxBatchBytes    = 256 << 10
	DefaultMaxInflight      = 64
	DefaultMaxInflightBytes = 4 << 20
	// DefaultMaxEntryBytes is large enough for a desired state of several
	// thousand routes and within the size limit of a message between processes.
	DefaultMaxEntryBytes       = 5 << 19
	DefaultMaxUncommittedBytes = 16 << 20
	DefaultMaxReads            = 4096
)

// Config configures a Node. Numeric fields that are zero take their default.
type Config struct {
	// ID of this replica; required.
	ID ID
	// Rand draws the election timeouts; required. Each replica needs a
	// different seed: with equal sequences, replicas campaign at the same tick
	// and split the votes repeatedly.
	Rand *rand.Rand
	// ElectionTicks is the shortest election timeout in ticks. The longest is
	// 2*ElectionTicks-1.
	ElectionTicks int
	// FirstElectionTicks is the shortest timeout, in ticks, of the first
	// election after a start and of repeated pre-votes; 0 means ElectionTicks.
	// The longest is 2*FirstElectionTicks-1. It may be as short as a few
	// message round trips, because pre-votes do not disturb an active leader.
	// When all replicas start together, the group has no leader until it
	// expires.
	FirstElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats in ticks.
	HeartbeatTicks int
	// MaxBatchBytes bounds the payload of the entries in one message, in one
	// write to disk and in one Batch.Committed. A single entry that exceeds it
	// is still processed.
	MaxBatchBytes int
	// MaxInflight and MaxInflightBytes bound the unacknowledged messages with
	// entries to one follower, by number and by payload bytes.
	MaxInflight      int
	MaxInflightBytes int
	// MaxEntryBytes bounds the payload of one proposed entry.
	MaxEntryBytes int
	// MaxUncommittedBytes bounds the payload bytes of the entries that this
	// leader has proposed and that are not applied yet.
	MaxUncommittedBytes int
	// MaxReads bounds the number of reads that wait for confirmation by a
	// quorum.
	MaxReads int
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// setDefaultsAndValidate fills in the defaults and returns an error if a
// required field is missing or the timeouts do not fit together.
func (c *Config) setDefaultsAndValidate() error {
	setDefault(&c.ElectionTicks, DefaultElectionTicks)
	setDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&c.FirstElectionTicks, c.ElectionTicks)
	setDefault(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.MaxInflightBytes, DefaultMaxInflightBytes)
	setDefault(&c.MaxEntryBytes, DefaultMaxEntryBytes)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	setDefault(&c.MaxReads, DefaultMaxReads)
	switch {
	case c.ID == NoID:
		return errors.New("quorum: Config.ID is required")
	case c.Rand == nil:
		return errors.New("quorum: Config.Rand is required")
	case c.HeartbeatTicks < 1 || c.ElectionTicks <= 2*c.HeartbeatTicks:
		return errors.Errorf("quorum: election timeout of %d ticks must exceed twice the heartbeat interval of %d ticks",
			c.ElectionTicks, c.HeartbeatTicks)
	}
	return nil
}
