package main

import (
	"context"
	"flag"
	"os"

	"github.com/apex/log"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/logging"
	"github.com/carawaypitch/carawaypitch/settings"
)

// settingsFlag is the -settings flag, which all daemons share.
type settingsFlag struct{ file string }

func (f *settingsFlag) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&f.file, "settings", "", "settings file")
}

// daemon is a long-running component.
type daemon interface {
	// Run blocks until ctx is cancelled or the daemon fails.
	Run(ctx context.Context) error
}

// runDaemon loads the settings file, creates the daemon with a logger at the configured level and runs it until ctx is
// cancelled. If the settings are invalid, it prints all mistakes and starts nothing.
func runDaemon[T any, D daemon](ctx context.Context, file string, level func(*T) log.Level, newDaemon func(*T, log.Interface) (D, error)) subcommands.ExitStatus {
	if file == "" {
		return usage("give -settings FILE; examples/ has one for each daemon")
	}
	loaded, err := settings.Load[T](file)
	if err != nil {
		return exit(err)
	}
	handler := logging.NewAsyncHandler(os.Stdout)
	defer handler.Close()
	d, err := newDaemon(loaded, &log.Logger{Handler: handler, Level: level(loaded)})
	if err != nil {
		return exit(err)
	}
	return exit(d.Run(ctx))
}
