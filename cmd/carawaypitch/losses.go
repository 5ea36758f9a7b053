package main

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/story"
)

// lossesCommand groups refused, failed and late requests by cause, from the log files of entries.
type lossesCommand struct {
	pause          time.Duration // an answer counts as late if two of its events are further apart; 0: no limit
	byOrganisation bool
}

func (*lossesCommand) Name() string { return "losses" }
func (*lossesCommand) Synopsis() string {
	return "sort refused, failed and late requests by cause, from the logs of entries"
}

func (*lossesCommand) Usage() string {
	return `losses [-pause D] [-by-organisation] FILE...
  Prints a table of the requests that were refused, failed or late, by cause and class, those with the most prompt tokens
  first: how many, the share of the class's tries, how many while a server had room, how many that no server was offered,
  how long they waited, and the age of the oldest word about a server's room. FILE - is the standard input.

  Example:
    carawaypitch losses -pause 400ms entry-*.log

  Exit codes: 0 ok; 1 a file can't be read; 2 usage.
`
}

func (c *lossesCommand) SetFlags(flags *flag.FlagSet) {
	flags.DurationVar(&c.pause, "pause", 0, "count answers late that pause longer between two events; 0: none")
	flags.BoolVar(&c.byOrganisation, "by-organisation", false, "count each organisation by itself")
}

func (c *lossesCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 || c.pause < 0 {
		return usage("losses: give at least one log file, and no negative pause")
	}
	losses := &story.Losses{Pause: c.pause, ByOrganisation: c.byOrganisation}
	for _, name := range flags.Args() {
		if err := withLogFile(name, func(r io.Reader) error { return losses.Read(name, r) }); err != nil {
			return exit(err)
		}
	}
	return exit(losses.Write(os.Stdout))
}

// withLogFile opens the named log file, or standard input for "-", and calls read with it.
func withLogFile(name string, read func(io.Reader) error) error {
	if name == "-" {
		return read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer file.Close()
	return read(file)
}
