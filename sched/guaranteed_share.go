package sched

import (
	"math"
	"time"
)

// The guaranteed share over a minute.
const (
	// shareWindow is the time over which a class gets its guaranteed share.
	shareWindow = time.Minute
	// burstAllowance is the part of shareWindow for which a class that was served in full may wait while the classes with
	// precedence get all slots. Bursts last three to five seconds. A longer allowance would have to be made up by giving the
	// class nearly all slots at the end of the window.
	burstAllowance = 8 * time.Second
)

// A class that was served in full goes into debt, up to what it earns during burstAllowance. In a burst it then waits until
// its earnings have paid the debt. From then on it is served at a share that is higher than guaranteedShare by as much as
// it needs to reach guaranteedShare over the whole of shareWindow, but never at more: neither does it take all slots after
// a burst, nor go without any for longer than the allowance.

// earnedPerDispatch returns the part of a dispatch of the pool that the class is guaranteed.
func (s *Scheduler) earnedPerDispatch(c *class, p *pool) float64 {
	all := max(p.arrivalRate.value(s.now), math.SmallestNonzeroFloat64)
	share := guaranteedShare * min(c.arrivalRate.value(s.now)/all, 1)
	if s.options.LongTermShare {
		share *= shareWindow.Seconds() / (shareWindow - burstAllowance).Seconds()
	}
	return share
}

// maxDebt returns the bound of the class's debt, in dispatches. It follows the present rates: a debt at the rates before a
// burst could take several times burstAllowance to pay during it.
func (s *Scheduler) maxDebt(c *class, p *pool) float64 {
	if !s.options.LongTermShare {
		return maxCredit
	}
	return max(maxCredit, s.earnedPerDispatch(c, p)*p.dispatchRate.value(s.now)*burstAllowance.Seconds())
}
