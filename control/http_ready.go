package control

import "github.com/carawaypitch/carawaypitch/result"

// Ready returns nil when this instance may receive work. Errors have code result.Stopping, or result.ControlUnavailable
// while no quorum has confirmed the state lately.
func (c *Control) Ready() error {
	if c.stopping.Load() {
		return result.New(result.Stopping, "")
	}
	if !c.reads.isRecent() {
		return result.New(result.ControlUnavailable, "no quorum has confirmed the state lately").WithRan(result.RanNo)
	}
	return nil
}
