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
	// ShortBound is the size in bytes from which on a message goes on the Bulk stream.
	ShortBound = 8 << 10
	// ChunkBytes is the size of a BodyChunk's data.
	ChunkBytes = 32 << 10
	// BatchBytes and BatchMessages bound a batch. A single larger message makes a batch of its own.
	BatchBytes    = 64 << 10
	BatchMessages = 256
	// MaxMessage bounds one message in bytes. A larger one is refused by the sender.
	MaxMessage = 3 << 20
	// maxPacket bounds what the receiver takes for one batch.
	maxPacket = MaxMessage + BatchBytes + 64<<10
)

// Bounds of what is held in memory for one link.
const (
	// MessagesRing and BulkRing are the capacities of the outgoing rings.
	MessagesRing = 4096
	BulkRing     = 256
	// MaxBody bounds one dispatched body in bytes, MaxPendingBodies all that are incomplete.
	MaxBody          = 16 << 20
	MaxPendingBodies = 64 << 20
)

// Timing holds the durations of a link. Zero values mean the defaults.
type Timing struct {
	// Heartbeat is the interval between heartbeats.
	Heartbeat time.Duration
	// SilentIntervals is after how many intervals without a heartbeat a link is down.
	SilentIntervals int
	// Hello bounds the time from dialling until both streams are open.
	Hello time.Duration
	// RedialMin and RedialMax bound the wait before another dial.
	RedialMin time.Duration
	RedialMax time.Duration
	// Flush bounds the sending of what is left when a link ends by order.
	Flush time.Duration
}

// Defaults of Timing.
const (
	DefaultHeartbeat       = 250 * time.Millisecond
	DefaultSilentIntervals = 4
	DefaultHello           = 2 * time.Second
	DefaultRedialMin       = 50 * time.Millisecond
	DefaultRedialMax       = time.Second
	DefaultFlush           = 500 * time.Millisecond
)

// bulkSilenceFactor lengthens the silence bound of the Bulk stream, where a heartbeat may wait behind a body, and with it the
// interval of its heartbeats.
const bulkSilenceFactor = 4

// WithDefaults returns t with the defaults in place of zero values.
func (t Timing) WithDefaults() Timing {
	setDefault(&t.Heartbeat, DefaultHeartbeat)
	setDefault(&t.SilentIntervals, DefaultSilentIntervals)
	setDefault(&t.Hello, DefaultHello)
	setDefault(&t.RedialMin, DefaultRedialMin)
	setDefault(&t.RedialMax, DefaultRedialMax)
	setDefault(&t.Flush, DefaultFlush)
	return t
}

// Silence is how long a link may be silent before it is down.
func (t Timing) Silence() time.Duration {
	return t.Heartbeat * time.Duration(t.SilentIntervals)
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
