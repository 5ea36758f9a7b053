package pause

import "time"

// Timer fires at the time when the next work of an event loop is due, and can be brought forward when an event makes work
// due sooner. It is not safe for concurrent use: only the goroutine of the event loop may use it.
type Timer struct {
	timer *time.Timer
	at    time.Time
}

// NewTimer returns a timer that fires once after in.
func NewTimer(in time.Duration) *Timer {
	return &Timer{timer: time.NewTimer(in), at: time.Now().Add(in)}
}

// C returns the channel on which the time is sent when the timer fires. After each receive, call Rearm.
func (t *Timer) C() <-chan time.Time { return t.timer.C }

// Rearm starts the timer again after it has fired; it next fires after in.
func (t *Timer) Rearm(in time.Duration) {
	t.at = time.Now().Add(in)
	t.timer.Reset(in)
}

// FireWithin makes the timer fire after in at the latest. A timer that is already set to fire earlier is left unchanged:
// resetting it with every event would cost more than the check of the work that this saves.
func (t *Timer) FireWithin(in time.Duration) {
	if at := time.Now().Add(in); at.Before(t.at) {
		t.at = at
		t.timer.Reset(in)
	}
}

// Stop prevents the timer from firing.
func (t *Timer) Stop() { t.timer.Stop() }
