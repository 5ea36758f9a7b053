package wire

import (
	"fmt"
	"strings"
	"time"
)

// LeavingSteps is the number of equal steps into which [Usage.Leaving] divides a window.
const LeavingSteps = 32

// LeftAtMost returns the upper bound, in units of the cap, of the usage that is still in the window when the report is of
// the given age. Usage that leaves during the current step counts as still in the window. If Leaving is empty, all usage
// counts until the age reaches the window. A negative age counts as 0.
func (u *Usage) LeftAtMost(age, window time.Duration) uint64 {
	if age >= window {
		return 0
	}
	return u.remainingAfter(int(max(age, 0) / (window / LeavingSteps)))
}

// LeftAtLeast returns the lower bound, in units of the cap, of the usage that is still in the window when the report is of
// the given age. Usage that leaves during the current step counts as gone. If Leaving is empty, it returns 0;
// otherwise, for a negative age, no usage counts as gone.
func (u *Usage) LeftAtLeast(age, window time.Duration) uint64 {
	if age >= window || len(u.GetLeaving()) == 0 {
		return 0
	}
	if age < 0 {
		return u.GetUsed()
	}
	return u.remainingAfter(int(age/(window/LeavingSteps)) + 1)
}

// remainingAfter returns the usage, in units, that is still in the window after the given number of whole steps.
func (u *Usage) remainingAfter(steps int) uint64 {
	left := u.GetUsed()
	for _, units := range u.GetLeaving()[:min(steps, len(u.GetLeaving()))] {
		left -= min(units, left)
	}
	return left
}

// maxCapUnits is the limit to which [CapTolerance.Bound] reduces rates, bursts and allowances, so that its arithmetic
// can't overflow. It is far above any cap.
const maxCapUnits = 1 << 46

// Bound returns how many units an organisation may use in a window: its rate times the window plus its burst, plus the
// tolerated overrun in permille of that sum and the allowance. It returns 0 if both t and m are nil.
func (t *CapTolerance) Bound(m *Member) uint64 {
	rate, burst := min(m.GetRatePerS(), maxCapUnits), min(m.GetBurst(), maxCapUnits)
	units := rate*uint64(t.GetWindowMs())/1000 + burst
	return units + units/1000*uint64(t.GetOverrunPermille()) + min(t.GetAllowance(), maxCapUnits)
}

// FormatShares formats shares for a log line as organisation:units, separated by commas. It returns "" for no shares.
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
