package agent

import (
	"sync/atomic"

	"github.com/carawaypitch/carawaypitch/result"
)

// readiness decides whether the agent may take new work, apart from the state of single servers.
type readiness struct {
	stopping atomic.Bool
	// control returns nil once control has confirmed the state and registered this agent, unless the agent is cut off.
	control func() error
}

func (r *readiness) stop() {
	r.stopping.Store(true)
}

func (r *readiness) isStopping() bool {
	return r.stopping.Load()
}

// refusalCode returns the code with which new work and orders are refused, 0 if they are accepted.
func (r *readiness) refusalCode() result.Code {
	if r.isStopping() {
		return result.Stopping
	}
	return result.CodeOf(r.control())
}
