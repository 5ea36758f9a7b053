package entry

import (
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/clock"
	"github.com/carawaypitch/carawaypitch/sched"
)

const (
	// contactTolerance is by how much the age of the contact with control may rise unnoticed by the scheduler's clock before the
	// scheduler is told: the machine was suspended.
	contactTolerance = 50 * time.Millisecond
	// contactCheckInterval is how often the two clocks are compared while no roll-out is in progress: reading one is a system call.
	contactCheckInterval = 100 * time.Millisecond
)

// controlContact is what an entry knows of its contact with control. New versions and the retry allowance are used only with one.
type controlContact struct {
	confirmed atomic.Int64 // time since boot, in ns, at which the last confirmed poll was sent; 0 before the first

	// The fields below are accessed by the scheduler goroutine only.
	toldSent  int64     // the value of confirmed of which the scheduler knows
	toldAt    time.Time // the same by its clock
	checkedAt time.Time // when the two clocks were compared last
}

// controlConfirmed records that control has confirmed the poll that was sent at a time since boot: all that was committed by
// then is in force here.
func (e *Entry) controlConfirmed(sentSinceBoot time.Duration) {
	e.caps.RenewLease(sentSinceBoot)
	e.reached(phaseConfirmed)
	for {
		known := e.contact.confirmed.Load()
		if int64(sentSinceBoot) <= known || e.contact.confirmed.CompareAndSwap(known, int64(sentSinceBoot)) {
			return
		}
	}
}

// contactEvent returns the event that tells the scheduler how old its contact with control is, if it doesn't know. It is asked
// before each event while a roll-out is in progress, and every contactCheckInterval with a bound of retries.
//
// The age is measured by the clock that goes on while the machine is suspended. By the scheduler's own clock, an entry that
// wakes up after a minute would send to a version that was withdrawn meanwhile.
func (e *Entry) contactEvent(event sched.Event) (sched.ControlContact, bool) {
	c := &e.contact
	sent, now := c.confirmed.Load(), e.now()
	if _, isNews := event.(sched.Rollouts); !e.rollouts.inProgress && !isNews {
		isDue := sent != c.toldSent || now.Sub(c.checkedAt) >= contactCheckInterval
		if e.settings.Limits.RetryRatio <= 0 || !isDue {
			return sched.ControlContact{}, false
		}
	}
	if sent == 0 {
		return sched.ControlContact{}, false
	}
	c.checkedAt = now
	at := now.Add(time.Duration(sent) - clock.SinceBoot())
	if sent == c.toldSent && c.toldAt.Sub(at) < contactTolerance {
		return sched.ControlContact{}, false
	}
	c.toldSent, c.toldAt = sent, at
	return sched.ControlContact{ConfirmedAt: at}, true
}
