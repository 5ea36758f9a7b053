package entry

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// maxRepeatDoublings bounds the interval of repeats to four times the first one. With the default reader_timeout that is
// a second, so that an attempt goes on before its server cuts off a response that is unread for some seconds.
const maxRepeatDoublings = 2

// creditsPerWindow is the number of credits sent while a window is read. With more the agent learns sooner that it may
// send; each costs a message of some 40 bytes.
const creditsPerWindow = 8

// readerFlow follows one answer from its delivery by the scheduler until it was written to the caller. Positions count
// the bytes of the answer over all attempts. It is pure, and guarded by the lock of its call.
type readerFlow struct {
	window    uint64 // 0: not followed
	delivered uint64
	written   uint64
	credited  uint64 // written as of the last credit
	largest   uint64 // event

	attempt     *wire.AttemptID // that the credits are about; nil while there is none
	agent       string
	incarnation uint64
	base        uint64 // position at which the attempt began
	reduced     bool   // it began with a smaller window
	hasWaited   bool   // the window was full since the last event

	creditedAt time.Time
	heardAt    time.Time // when the last frame arrived
	repeats    int       // credits without news since the last one with news
}

// begin makes an attempt the present one.
func (f *readerFlow) begin(attempt *wire.AttemptID, agent string, incarnation uint64) {
	f.attempt, f.agent, f.incarnation = attempt, agent, incarnation
	f.base = f.delivered
	f.reduced = f.base > f.written
	f.repeats = 0
}

// deliver adds events that were delivered.
func (f *readerFlow) deliver(events [][]byte) {
	for _, event := range events {
		f.delivered += uint64(len(event))
		f.largest = max(f.largest, uint64(len(event)))
	}
	f.hasWaited = f.isFull(false)
}

// beginFinal adds an answer that is written in one piece.
func (f *readerFlow) beginFinal(size int) {
	f.attempt = nil
	f.delivered = f.written + uint64(size)
}

// wrote adds bytes that were written. It reports whether a credit is due.
func (f *readerFlow) wrote(n int) bool {
	f.written += uint64(n)
	if f.attempt == nil {
		f.credited = f.written
		return false
	}
	return f.written-f.credited >= max(f.window/creditsPerWindow, 1)
}

// isFull reports whether the window has no room for another event, as far as the agent knows from the credits sent, and
// the caller has something to read. unacknowledged reports whether its side has yet to acknowledge what was written: a
// caller that has read everything waits for the server, however large the last event was.
func (f *readerFlow) isFull(unacknowledged bool) bool {
	return f.window > 0 && (f.delivered > f.written || unacknowledged) && f.delivered-f.credited+f.largest > f.window
}

// mayBeBlocked reports whether the agent may wait for a credit that was lost.
func (f *readerFlow) mayBeBlocked() bool {
	return f.attempt != nil && (f.reduced || f.delivered-f.base+f.largest >= f.window/2)
}

// repeatIsDue reports whether a credit has to be sent although none is due for what was written. While frames arrive, the
// agent isn't waiting.
//
// The agent may wait for less than an eighth of the window: it holds an event back that doesn't fit beside a small one
// which it doesn't know to be written. A credit with news is therefore sent after one interval. One without news only
// repairs a loss, so its interval grows.
func (f *readerFlow) repeatIsDue(now time.Time, interval time.Duration) bool {
	quiet := now.Sub(f.creditedAt)
	if f.heardAt.After(f.creditedAt) {
		quiet = now.Sub(f.heardAt)
	}
	if f.attempt == nil {
		return false
	}
	if f.written > f.credited {
		return quiet >= interval
	}
	return f.mayBeBlocked() && quiet >= interval<<min(f.repeats, maxRepeatDoublings)
}

// credit returns the credit for the present attempt. What waits of earlier attempts takes a part of the window.
func (f *readerFlow) credit(now time.Time) *wire.Credit {
	f.creditedAt = now
	f.repeats++
	if f.written > f.credited {
		f.repeats = 0
	}
	f.credited = f.written
	credit := &wire.Credit{Attempt: f.attempt, Window: f.window}
	if f.written >= f.base {
		credit.Bytes = f.written - f.base
		return credit
	}
	credit.Window = max(f.window-min(f.window, f.base-f.written), 1) // 0 would mean no bound
	return credit
}
