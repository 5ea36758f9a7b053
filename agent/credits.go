package agent

import (
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/wire"
)

// maxEarlyCredits bounds the credits kept for attempts that have not begun here.
const maxEarlyCredits = 1024

// credits passes the credits of entries to the runs that they are about. A credit names no server, so it doesn't go
// through a server's event loop.
type credits struct {
	mu    sync.Mutex
	runs  map[attemptKey]*engineRun
	early map[attemptKey]*wire.Credit // of attempts that have not begun
	order []attemptKey                // of early, the oldest first
}

func newCredits() *credits {
	return &credits{runs: make(map[attemptKey]*engineRun), early: make(map[attemptKey]*wire.Credit)}
}

// receive handles a credit. The first credit of an attempt comes before its dispatch; one that comes after its end is
// kept until newer ones displace it.
func (c *credits) receive(credit *wire.Credit) {
	key := keyOf(credit.GetAttempt())
	c.mu.Lock()
	r := c.runs[key]
	if r == nil {
		c.keep(key, credit)
	}
	c.mu.Unlock()
	if r != nil {
		r.applyCredit(credit)
	}
}

// keep keeps a credit until its attempt begins. The lock must be held.
func (c *credits) keep(key attemptKey, credit *wire.Credit) {
	if c.early[key] == nil {
		if len(c.order) >= maxEarlyCredits {
			delete(c.early, c.order[0])
			c.order = c.order[1:]
		}
		c.order = append(c.order, key)
	}
	c.early[key] = credit
}

// add begins to pass credits to a run, in place of an earlier one of the attempt.
func (c *credits) add(r *engineRun) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.runs[r.key] = r
	credit := c.early[r.key]
	c.mu.Unlock()
	if credit != nil {
		r.applyCredit(credit)
	}
}

// remove stops passing credits to a run.
func (c *credits) remove(r *engineRun) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[r.key] == r {
		delete(c.runs, r.key)
	}
}

// runWindow bounds what is sent of an answer beyond what its caller has read. Positions count the bytes of the attempt's
// events. It is guarded by the lock of its run.
type runWindow struct {
	size     uint64 // 0: not bounded, since no credit has come
	credited uint64
	position uint64
	lifted   bool // the rest is read regardless of the caller
	keepLift bool // the run is being cancelled
	waited   bool // the run had to wait for its caller at least once
}

// isFull reports whether an event must wait. One that is larger than the window is sent once all before it was read.
func (w *runWindow) isFull(size int) bool {
	return w.size > 0 && !w.lifted && w.position > w.credited && w.position+uint64(size) > w.credited+w.size
}

// applyCredit applies a credit. Credits are cumulative, so an older one that comes late changes nothing.
func (r *engineRun) applyCredit(credit *wire.Credit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if credit.GetBytes() < r.window.credited {
		return
	}
	r.window.credited, r.window.size = credit.GetBytes(), credit.GetWindow()
	r.changed.Broadcast()
}

// liftWindow makes the run go on reading although its caller doesn't. Otherwise the end of a stream that is cancelled or
// suspended would not be read.
func (r *engineRun) liftWindow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.lifted = true
	r.changed.Broadcast()
}

// liftWindowForCancel is liftWindow for a run that is being cancelled. The window stays lifted, whatever becomes of a
// suspension.
func (r *engineRun) liftWindowForCancel() {
	r.mu.Lock()
	r.window.keepLift = true
	r.mu.Unlock()
	r.liftWindow()
}

// restoreWindow bounds again what is sent, after a suspension that did not stop the run.
func (r *engineRun) restoreWindow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.window.keepLift {
		r.window.lifted = false
	}
}

// beginsToWait reports whether an event has to wait for the caller, for the first time in this run.
func (r *engineRun) beginsToWait(size int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.window.waited || !r.window.isFull(size) {
		return false
	}
	r.window.waited = true
	return true
}

// runWaited is the input after a run had to wait for its caller.
type runWaited struct{ run *engineRun }

func (in runWaited) apply(s *server, now time.Time) {
	s.meter.add(metricWaitedRuns, 1)
	s.runLog(in.run).WithField("organisation", in.run.dispatch.GetWork().GetOrganisation()).Info("run_waits_for_reader")
	s.step(now, gate.ReaderWaits{Attempt: in.run.dispatch.GetAttempt()})
}
