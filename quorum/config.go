package quorum

import (
	"math/rand/v2"

	"github.com/go-faster/errors"
)

// Defaults of Config.
const (
	DefaultElectionTicks    = 10
	DefaultHeartbeatTicks   = 2
	DefaultMaxBatchBytes    = 256 << 10
	DefaultMaxInflight      = 64
	DefaultMaxInflightBytes = 4 << 20
	// DefaultMaxEntryBytes lets a desired state of some thousand routes through, and stays within what one message of a
	// link between processes may hold.
	DefaultMaxEntryBytes       = 5 << 19
	DefaultMaxUncommittedBytes = 16 << 20
	DefaultMaxReads            = 4096
)

// Config configures a Node. Numbers left zero take their default.
type Config struct {
	// ID of this replica. Required.
	ID ID
	// Rand draws election timeouts. Required; seed it differently at each
	// replica, or replicas campaign at the same tick again and again.
	Rand *rand.Rand
	// ElectionTicks is the shortest election timeout; the longest is one tick
	// short of twice as much.
	ElectionTicks int
	// FirstElectionTicks is the shortest timeout of the first election after a
	// start, ElectionTicks if 0; the longest is one tick short of twice as
	// much. A replica that starts beside a living leader asks for pre-votes in
	// vain and disturbs nobody, so it may be as short as a few messages take.
	// Where all replicas start together it is what service waits for.
	FirstElectionTicks int
	// HeartbeatTicks is the interval of a leader's heartbeats.
	HeartbeatTicks int
	// MaxBatchBytes bounds the entries of one message, of one write to disk
	// and of one hand-out of committed entries. A single larger entry passes.
	MaxBatchBytes int
	// MaxInflight and MaxInflightBytes bound the unacknowledged messages with
	// entries, and their bytes, towards one follower.
	MaxInflight      int
	MaxInflightBytes int
	// MaxEntryBytes bounds the payload of one proposal.
	MaxEntryBytes int
	// MaxUncommittedBytes bounds the payload of what was proposed here and is
	// not applied yet.
	MaxUncommittedBytes int
	// MaxReads bounds the reads that wait for their quorum.
	MaxReads int
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

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
		return errors.New("quorum: config without an ID")
	case c.Rand == nil:
		return errors.New("quorum: config without a random source")
	case c.HeartbeatTicks < 1 || c.ElectionTicks <= 2*c.HeartbeatTicks:
		return errors.Errorf("quorum: election timeout of %d ticks is too short for a heartbeat each %d",
			c.ElectionTicks, c.HeartbeatTicks)
	}
	return nil
}
