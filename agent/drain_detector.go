package agent

import (
	"context"

	"github.com/carawaypitch/carawaypitch/wire"
)

// drainDetector finds in the committed directory which servers of this agent an operator drained. Control marks such a
// server as draining although its agent registered it as ready.
//
// Only a transition to draining counts. A server that left and returned is still draining in the directory until its
// new registration is committed; the condition alone would drain it again.
type drainDetector struct {
	conditions map[string]wire.ServerCondition // by server, in the last directory
}

// update takes this agent's record, nil if the directory has none of this incarnation, and returns the servers that
// are draining in it and weren't before.
func (d *drainDetector) update(record *wire.AgentRecord) []string {
	conditions := make(map[string]wire.ServerCondition, len(record.GetServers()))
	var drained []string
	for _, server := range record.GetServers() {
		name, condition := server.GetServer(), server.GetCondition()
		conditions[name] = condition
		if condition == wire.ServerCondition_SERVER_CONDITION_DRAINING && d.conditions[name] != condition {
			drained = append(drained, name)
		}
	}
	d.conditions = conditions
	return drained
}

// drainServers starts a graceful leave of the servers that aren't leaving already.
func (a *Agent) drainServers(ctx context.Context, names []string) {
	for _, name := range names {
		if s := a.servers.get(name); s != nil && !s.view.Load().leaving {
			_ = s.leave(ctx, "operator")
		}
	}
}
