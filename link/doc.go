// Package link connects two processes of carawaypitch with drpc.
//
// Between an entry and an agent runs a link: two connections, one stream each. Messages carries what is short, Bulk
// what is longer than ShortBound. With one stream a gate check would wait behind a long application packet
// (head-of-line blocking); one would notice it as gate checks that are late only while long bodies are under way.
//
// The two streams may overtake each other, so the order within a link is:
//
//   - A Dispatch with a short body goes on Messages. One with a long body goes on Bulk as a whole: the Dispatch
//     without its body, then its BodyChunks. The receiver passes it on only when the body is whole and its digest
//     holds (see Bodies). A Cancel goes on Messages and may overtake it; the gate's tombstone then refuses it.
//   - All frames of one attempt, and the Over after them, go on the stream that the first of them chose by its
//     size. So they arrive in order, and an Over never comes before the last frame of its attempt.
//   - Everything else is short and has no order towards Bulk.
//
// A message that can't be sent is dropped and counted, never waited for. Protocols above repeat what matters, or
// cover it by a lease.
package link

import "time"

// Bounds of what is sent at once.
const (
	// MaxShortMessage is the size in bytes from which on a message goes on the Bulk stream.
	MaxShortMessage = 8 << 10
	// MaxChunkBytes is the size of a BodyChunk's data.
	MaxChunkBytes = 32 << 10
	// MaxBatchBytes and BatchMessages bound a batch. A single larger message makes a batch of its own.
	MaxBatchBytes    = 64 << 10
	MaxBatchMessages = 256
	// MaxMessage bounds one message in bytes. A larger one is refused by the sender.
	MaxMessage = 3 << 20
	// maxPacket bounds what the receiver takes for one batch.
	maxPacket = MaxMessage + MaxBatchBytes + 64<<10
)

// Bounds of what is held in memory for one link.
const (
	// MessagesRingSize and BulkRing are the capacities of the outgoing rings.
	MessagesRingSize = 4096
	BulkRingSize     = 256
	// MaxBody bounds one dispatched body in bytes, MaxPendingBodies all that are incomplete.
	MaxBody          = 16 << 20
	MaxPendingBodies = 64 << 20
)

// Timing holds the durations of a link. Zero values mean the defaults.
type Timing struct {
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// MaxMissedHeartbeats is after how many intervals without a heartbeat a link is down.
	MaxMissedHeartbeats int
	// HandshakeTimeout bounds the time from dialling until both streams are open.
	HandshakeTimeout time.Duration
	// RedialMin and RedialMax bound the wait before another dial.
	RedialMin time.Duration
	RedialMax time.Duration
	// FlushTimeout bounds the sending of what is left when a link ends by order.
	FlushTimeout time.Duration
}

// Defaults of Timing.
const (
	DefaultHeartbeatInterval   = 250 * time.Millisecond
	DefaultMaxMissedHeartbeats = 4
	DefaultHandshakeTimeout    = 2 * time.Second
	DefaultRedialMin           = 50 * time.Millisecond
	DefaultRedialMax           = time.Second
	DefaultFlushTimeout        = 500 * time.Millisecond
)

// bulkSilenceFactor lengthens the silence bound of the Bulk stream, where a heartbeat may wait behind a body, and with it the
// interval of its heartbeats.
const bulkSilenceFactor = 4

// WithDefaults returns t with the defaults in place of zero values.
func (t Timing) WithDefaults() Timing {
	setDefault(&t.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&t.MaxMissedHeartbeats, DefaultMaxMissedHeartbeats)
	setDefault(&t.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&t.RedialMin, DefaultRedialMin)
	setDefault(&t.RedialMax, DefaultRedialMax)
	setDefault(&t.FlushTimeout, DefaultFlushTimeout)
	return t
}

// SilenceTimeout is how long a link may be silent before it is down.
func (t Timing) SilenceTimeout() time.Duration {
	return t.HeartbeatInterval * time.Duration(t.MaxMissedHeartbeats)
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
