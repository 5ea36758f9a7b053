package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/operator"
)

// drainCommand starts the drain of a backend server.
type drainCommand struct {
	operatorFlags
	changeID string // idempotency key of the change; empty: a new one
}

func (*drainCommand) Name() string     { return "drain" }
func (*drainCommand) Synopsis() string { return "let a backend server finish its work and leave" }
func (*drainCommand) Usage() string {
	return `drain [flags] SERVER
  The server gets no new work; everything in flight there finishes, streams too. "carawaypitch servers" shows it as
  draining, then drained.

  Example:
    carawaypitch drain model-07

  Exit codes: 0 the drain is accepted; 1 refused, or no control instance answered; 2 usage.
`
}

func (c *drainCommand) SetFlags(flags *flag.FlagSet) {
	c.register(flags)
	flags.StringVar(&c.changeID, "change-id", "", "id of the change; give it again to resend one whose answer was lost")
}

func (c *drainCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return usage("drain: one SERVER; flags come first")
	}
	client, err := c.client()
	if err != nil {
		return usage("%v", err)
	}
	if c.changeID == "" {
		c.changeID = operator.NewChangeID()
	}
	change, err := client.Drain(ctx, flags.Arg(0), c.changeID)
	if err != nil {
		return exit(err)
	}
	return exit(c.print(change, func(w io.Writer) {
		fmt.Fprintf(w, "draining %s\n", flags.Arg(0))
	}))
}
