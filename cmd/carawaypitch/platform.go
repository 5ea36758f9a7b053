package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/platform"
	"github.com/carawaypitch/carawaypitch/settings"
)

// platformCommand runs a daemon with settings supplied by the users' platform.
type platformCommand struct{}

func (*platformCommand) Name() string             { return "platform" }
func (*platformCommand) SetFlags(_ *flag.FlagSet) {}
func (*platformCommand) Synopsis() string {
	return "run a daemon on the users' platform, with the settings that it writes"
}

func (*platformCommand) Usage() string {
	return `platform entry|agent|control
  Runs the daemon with the settings file that the platform names in the environment. SIGTERM: not ready, finishes what
  is in flight, exits with 0. deploy/system.toml says where each daemon runs.

  Example:
    carawaypitch platform entry

  Exit codes: 0 stopped by SIGTERM or Ctrl-C; 1 the settings are wrong, or a duty failed; 2 usage.
`
}

func (*platformCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return usage("platform: name one of entry, agent, control")
	}
	// A write to a closed connection must not terminate the process.
	signal.Ignore(syscall.SIGPIPE)
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	return exit(platform.Run(ctx, settings.Role(flags.Arg(0)), changed))
}
