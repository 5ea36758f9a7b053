package control

import "github.com/carawaypitch/carawaypitch/result"

// Ready returns nil if this instance can receive requests. Errors have code result.Stopping, or
// result.ControlUnavailable if no quorum has confirmed the state recently.
func (c *Control) Ready() error {
	if c.stopping.Load() {
		return result.New(result.Stopping, "")
	}
	if !c.reads.confirmedRecently() {
		return result.New(result.ControlUnavailable, "no quorum has confirmed the state lately").WithRan(result.RanNo)
	}
	return nil
}
