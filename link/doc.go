// Package link connects processes of carawaypitch over drpc.
//
// An entry and an agent are connected by a link: two connections with one stream each. The Messages stream carries
// short messages, and the Bulk stream carries messages longer than MaxShortMessage. On a single stream, a gate check
// would wait behind a long application packet (head-of-line blocking), and gate checks would be late only while long
// bodies are being sent.
//
// Messages of one stream may overtake those of the other, so the order within a link is:
//
//   - A Dispatch with a short body goes on Messages. One with a long body goes on Bulk in parts: the Dispatch without
//     its body, then its BodyChunks. The receiver delivers it only when the body is complete and its digest matches
//     (see BodyAssembler). A Cancel goes on Messages and may overtake it; the tombstone of the gate then refuses it.
//   - All frames of one attempt, and the Over after them, go on the stream chosen by the size of the first frame.
//     They therefore arrive in order, and an Over never arrives before the last frame of its attempt.
//   - All other messages are short and have no order relative to Bulk.
//
// A message that cannot be sent is dropped and counted; senders never wait. The protocols above repeat what matters,
// or cover its loss by a lease.
package link

import "time"

// Limits of messages and batches.
const (
	// MaxShortMessage is the largest size in bytes of a body or frame that goes on the Messages stream.
	MaxShortMessage = 8 << 10
	// MaxChunkBytes is the maximum size of the data of a BodyChunk.
	MaxChunkBytes = 32 << 10
	// MaxBatchBytes and MaxBatchMessages bound a batch. No message is added once either is reached, so a batch exceeds
	// MaxBatchBytes by at most its last message.
	MaxBatchBytes    = 64 << 10
	MaxBatchMessages = 256
	// MaxMessage is the maximum size of a message in bytes. The sender refuses a larger one.
	MaxMessage = 3 << 20
	// maxPacket bounds the buffer of the receiver for one batch.
	maxPacket = MaxMessage + MaxBatchBytes + 64<<10
)

// Limits of the memory held for one link.
const (
	// MessagesRingSize and BulkRingSize are the capacities of the outgoing rings.
	MessagesRingSize = 4096
	BulkRingSize     = 256
	// MaxBody is the maximum size of a dispatched body in bytes, and MaxPendingBodies of all incomplete bodies together.
	MaxBody          = 16 << 20
	MaxPendingBodies = 64 << 20
)

// Timing holds the durations of a link. Zero values mean the defaults.
type Timing struct {
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// MaxMissedHeartbeats is the number of intervals without a heartbeat after which a link is down.
	MaxMissedHeartbeats int
	// HandshakeTimeout bounds the time from dialling until both streams are open.
	HandshakeTimeout time.Duration
	// RedialMin and RedialMax bound the backoff between dials.
	RedialMin time.Duration
	RedialMax time.Duration
	// FlushTimeout bounds the sending of queued messages when a link is stopped.
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

// bulkSilenceFactor multiplies the heartbeat interval and the silence timeout of the Bulk stream, on which a heartbeat may
// wait behind a body.
const bulkSilenceFactor = 4

// WithDefaults returns t with the defaults in place of zero and negative values.
func (t Timing) WithDefaults() Timing {
	setDefault(&t.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&t.MaxMissedHeartbeats, DefaultMaxMissedHeartbeats)
	setDefault(&t.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&t.RedialMin, DefaultRedialMin)
	setDefault(&t.RedialMax, DefaultRedialMax)
	setDefault(&t.FlushTimeout, DefaultFlushTimeout)
	return t
}

// SilenceTimeout returns how long a link may go without a heartbeat before it is down.
func (t Timing) SilenceTimeout() time.Duration {
	return t.HeartbeatInterval * time.Duration(t.MaxMissedHeartbeats)
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
