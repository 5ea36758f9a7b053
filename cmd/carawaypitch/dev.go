package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/dev"
	"github.com/carawaypitch/carawaypitch/logging"
)

// devCommand runs a sample deployment in one process.
type devCommand struct {
	options dev.Options
	json    bool
	verbose bool
}

func (*devCommand) Name() string { return "dev" }
func (*devCommand) Synopsis() string {
	return "run everything in one process on loopback, for a first try"
}

func (*devCommand) Usage() string {
	return `dev [flags]
  One control replica, entry instances, agents, stand-in model engines of two speeds and stand-in registry services.
  Prints addresses, one key for each sample organisation, an operator key and calls to try. It reads no settings file:
  the daemons get the same settings from the program.

  Examples:
    carawaypitch dev
    carawaypitch dev -entry 127.0.0.1:0 -control 127.0.0.1:0 -servers 6 -services 2 -json

  Exit codes: 0 stopped by SIGTERM or Ctrl-C; 1 could not start, such as when a port is taken, or a daemon failed; 2 usage.
`
}

func (c *devCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.options.Entry, "entry", "127.0.0.1:8080", "address of the first entry; port 0 takes any free one")
	flags.StringVar(&c.options.Control, "control", "127.0.0.1:8090", "address of the control instance for operators")
	flags.StringVar(&c.options.DataDir, "data", "", "data folder (default: a temporary one, removed at exit)")
	flags.IntVar(&c.options.Entries, "entries", 2, "number of entry instances")
	flags.IntVar(&c.options.Servers, "servers", 4, "number of stand-in model engines")
	flags.IntVar(&c.options.Services, "services", 2, "number of stand-in registry services")
	flags.StringVar(&c.options.Version, "version", "", "version that engines and services announce")
	flags.IntVar(&c.options.NewServers, "new-servers", 0, "number of further model engines, of the version -new-version")
	flags.IntVar(&c.options.NewServices, "new-services", 0, "number of further registry services, of the version -new-version")
	flags.StringVar(&c.options.NewVersion, "new-version", "", "version that further engines and services announce")
	flags.Float64Var(&c.options.NewFault.Failures, "new-failures", 0, "share of requests, 0 to 1, that fail at the new version")
	flags.Float64Var(&c.options.NewFault.Slow, "new-slow", 0, "how many times as long a request takes at the new version")
	flags.DurationVar(&c.options.NewFault.After, "new-fault-after", 0, "time from the start at which the new version goes bad")
	flags.IntVar(&c.options.NewFault.MinRunning, "new-fault-running", 0, "running requests at a server from which on the new version is bad")
	flags.StringVar(&c.options.NewFault.PathPrefix, "new-fault-path", "", "beginning of the paths on which the new version is bad (default: all)")
	flags.BoolVar(&c.json, "json", false, "print one line of JSON once ready, and nothing else on standard output")
	flags.BoolVar(&c.verbose, "v", false, "log every event instead of warnings and errors")
}

func (c *devCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 {
		return usage("dev: takes flags only")
	}
	if err := c.options.Validate(); err != nil {
		return usage("dev: %v", err)
	}
	return exit(c.run(ctx))
}

// run starts the deployment, prints its addresses and stops it when ctx is cancelled or a daemon fails. Without a data
// directory it uses a temporary one, which it removes.
func (c *devCommand) run(ctx context.Context) (err error) {
	if c.options.DataDir == "" {
		folder, err := os.MkdirTemp("", "carawaypitch-dev-")
		if err != nil {
			return errors.Wrap(err, "create data directory")
		}
		defer func() { _ = os.RemoveAll(folder) }()
		c.options.DataDir = folder
	}
	level := log.WarnLevel
	if c.verbose {
		level = log.DebugLevel
	}
	handler := &shutdownLogFilter{next: logging.NewHandler(os.Stderr)}
	c.options.Log = &log.Logger{Handler: handler, Level: level}
	d, err := dev.Start(ctx, c.options)
	if err != nil {
		return err
	}
	if err := c.print(d.Info()); err != nil {
		return errors.Join(err, d.Stop())
	}
	select {
	case <-ctx.Done():
		handler.stopping.Store(!c.verbose)
	case <-d.Failed():
	}
	return d.Stop()
}

// shutdownLogFilter drops log entries below error level once a shutdown has been requested. During a shutdown every
// daemon loses its links to the others, and the resulting warnings would look like faults.
type shutdownLogFilter struct {
	next     log.Handler
	stopping atomic.Bool // set when the shutdown begins
}

// HandleLog implements log.Handler.
func (h *shutdownLogFilter) HandleLog(e *log.Entry) error {
	if h.stopping.Load() && e.Level < log.ErrorLevel {
		return nil
	}
	return h.next.HandleLog(e)
}

func (c *devCommand) print(info dev.Info) error {
	if c.json {
		return json.NewEncoder(os.Stdout).Encode(info)
	}
	return info.Print(os.Stdout)
}
