package main

import (
	"context"
	"flag"

	"github.com/apex/log"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/entry"
	"github.com/carawaypitch/carawaypitch/settings"
)

// entryCommand runs the entry daemon.
type entryCommand struct{ settingsFlag }

func (*entryCommand) Name() string     { return "entry" }
func (*entryCommand) Synopsis() string { return "run an entry instance, which callers speak to" }
func (*entryCommand) Usage() string {
	return `entry -settings FILE
  Serves callers over HTTP and schedules their requests. It has no disk. SIGTERM: not ready, finishes what is in
  flight, exits with 0.

  Example:
    carawaypitch entry -settings examples/compost/entry-1.jsonc

  Exit codes: 0 stopped by SIGTERM or Ctrl-C; 1 the settings are wrong, or a duty failed; 2 usage.
`
}

func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	level := func(s *settings.Entry) log.Level { return s.Log.Level }
	return runDaemon(ctx, c.file, level, func(s *settings.Entry, l log.Interface) (*entry.Entry, error) {
		return entry.New(*s, entry.Options{Log: l})
	})
}
