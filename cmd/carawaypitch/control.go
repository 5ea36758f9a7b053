package main

import (
	"context"
	"flag"

	"github.com/apex/log"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/control"
	"github.com/carawaypitch/carawaypitch/settings"
)

// controlCommand runs the control daemon.
type controlCommand struct{ settingsFlag }

func (*controlCommand) Name() string { return "control" }
func (*controlCommand) Synopsis() string {
	return "run a control instance, which holds a replica of the control state"
}

func (*controlCommand) Usage() string {
	return `control -settings FILE
  Keeps classes, the directory and operation records in its data folder, and serves operators over HTTP.

  Example:
    carawaypitch control -settings examples/compost/control-1.jsonc

  Exit codes: 0 stopped by SIGTERM or Ctrl-C; 1 the settings are wrong, or a duty failed; 2 usage.
`
}

func (c *controlCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	level := func(s *settings.Control) log.Level { return s.Log.Level }
	return runDaemon(ctx, c.file, level, func(s *settings.Control, l log.Interface) (*control.Control, error) {
		return control.New(*s, control.Options{Log: l})
	})
}
