package entry

import "github.com/carawaypitch/carawaypitch/wire"

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
}

// begin makes an attempt the present one.
func (f *readerFlow) begin(attempt *wire.AttemptID, agent string, incarnation uint64) {
	f.attempt, f.agent, f.incarnation = attempt, agent, incarnation
	f.base = f.delivered
	f.reduced = f.base > f.written
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

// credit returns the credit for the present attempt. What waits of earlier attempts takes a part of the window.
func (f *readerFlow) credit() *wire.Credit {
	f.credited = f.written
	credit := &wire.Credit{Attempt: f.attempt, Window: f.window}
	if f.written >= f.base {
		credit.Bytes = f.written - f.base
		return credit
	}
	credit.Window = max(f.window-min(f.window, f.base-f.written), 1) // 0 would mean no bound
	return credit
}
