package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// exit reports how a subcommand ended: 0 ok, 1 failed with the error on standard error.
func exit(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "carawaypitch:", err)
	return subcommands.ExitFailure
}

// usage reports a command line that can't be understood, with exit code 2.
func usage(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "carawaypitch: "+format+"\n", args...)
	return subcommands.ExitUsageError
}
