package wire

import (
	"fmt"
	"strings"
	"time"
)

// LeavingSteps is how many steps a window has in [Usage.Leaving].
const LeavingSteps = 32

// LeftAtMost is how much of what an entry told some time ago is still in the window at most. Of the step that has begun
// nothing counts as gone; where the entry didn't tell when its use leaves, all of it stays for a window.
func (u *Usage) LeftAtMost(age, window time.Duration) uint64 {
	if age >= window {
		return 0
	}
	return u.leftAfter(int(max(age, 0) / (window / LeavingSteps)))
}

// LeftAtLeast is how much of it is still in the window at least. Of the step that has begun all counts as gone.
func (u *Usage) LeftAtLeast(age, window time.Duration) uint64 {
	if age >= window || len(u.GetLeaving()) == 0 {
		return 0
	}
	if age < 0 {
		return u.GetUsed()
	}
	return u.leftAfter(int(age/(window/LeavingSteps)) + 1)
}

// leftAfter is what is left after so many whole steps.
func (u *Usage) leftAfter(steps int) uint64 {
	left := u.GetUsed()
	for _, units := range u.GetLeaving()[:min(steps, len(u.GetLeaving()))] {
		left -= min(units, left)
	}
	return left
}

// maxCapUnits bounds rates, bursts and allowances in a computation, far above any cap, so that it can't overflow.
const maxCapUnits = 1 << 46

// Bound is how much of an organisation's usage cap may be used in a window: its rate times the window and its burst, and
// what is tolerated beyond that.
func (t *CapTolerance) Bound(m *Member) uint64 {
	rate, burst := min(m.GetRatePerS(), maxCapUnits), min(m.GetBurst(), maxCapUnits)
	units := rate*uint64(t.GetWindowMs())/1000 + burst
	return units + units/1000*uint64(t.GetOverrunPermille()) + min(t.GetAllowance(), maxCapUnits)
}

// FormatShares is shares for a line of the log: each organisation with its units, separated by commas.
func FormatShares(shares []*Share) string {
	var b strings.Builder
	for i, share := range shares {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s:%d", share.GetOrganisation(), share.GetUnits())
	}
	return b.String()
}
