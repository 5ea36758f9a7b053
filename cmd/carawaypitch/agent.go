package main

import (
	"context"
	"flag"

	"github.com/apex/log"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/settings"
)

// agentCommand runs the agent daemon.
type agentCommand struct{ settingsFlag }

func (*agentCommand) Name() string     { return "agent" }
func (*agentCommand) Synopsis() string { return "run the process beside a backend server" }
func (*agentCommand) Usage() string {
	return `agent -settings FILE
  Is the only way to its backend server, which announces itself to it. SIGTERM: not ready, finishes what is in
  flight, exits with 0.

  Example:
    carawaypitch agent -settings examples/compost/agent-model-01.jsonc

  Exit codes: 0 stopped by SIGTERM or Ctrl-C; 1 the settings are wrong, or a duty failed; 2 usage.
`
}

func (c *agentCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	level := func(s *settings.Agent) log.Level { return s.Log.Level }
	return runDaemon(ctx, c.file, level, func(s *settings.Agent, l log.Interface) (*agent.Agent, error) {
		return agent.New(*s, agent.Options{Log: l})
	})
}
