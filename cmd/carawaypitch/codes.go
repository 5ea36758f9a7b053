package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/result"
)

// codesCommand prints the table of result codes.
type codesCommand struct{}

func (*codesCommand) Name() string     { return "codes" }
func (*codesCommand) Synopsis() string { return "print the table of result codes" }
func (*codesCommand) Usage() string {
	return `codes
  Prints every result code with its name, HTTP status, what it may say about the request having run, and what to do.

  Example:
    carawaypitch codes | grep queue_full

  Exit codes: 0 ok; 1 the table could not be written; 2 usage.
`
}
func (*codesCommand) SetFlags(*flag.FlagSet) {}

func (*codesCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, err := fmt.Print(result.Markdown())
	return exit(err)
}
