package pause

import "time"

// Timer is for a duty that looks at its work when something is due, and sooner when an event brings that forward. Only the duty may
// use it.
type Timer struct {
	timer *time.Timer
	at    time.Time
}

// NewTimer returns a timer that fires after a time.
func NewTimer(in time.Duration) *Timer {
	return &Timer{timer: time.NewTimer(in), at: time.Now().Add(in)}
}

// C receives the time when the timer fires. Fired has to follow.
func (t *Timer) C() <-chan time.Time { return t.timer.C }

// Rearm sets the timer again after it has fired.
func (t *Timer) Rearm(in time.Duration) {
	t.at = time.Now().Add(in)
	t.timer.Reset(in)
}

// FireWithin has the timer fire no later than that. One that is set to fire earlier stays: setting it anew with each event would
// cost more than the look that it spares.
func (t *Timer) FireWithin(in time.Duration) {
	if at := time.Now().Add(in); at.Before(t.at) {
		t.at = at
		t.timer.Reset(in)
	}
}

// Stop ends the timer.
func (t *Timer) Stop() { t.timer.Stop() }
