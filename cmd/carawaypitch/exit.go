package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// exit returns exit status 0 for a nil error; otherwise it prints the error to standard error and returns 1.
func exit(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "carawaypitch:", err)
	return subcommands.ExitFailure
}

// usage prints why the command line is invalid to standard error and returns exit status 2.
func usage(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "carawaypitch: "+format+"\n", args...)
	return subcommands.ExitUsageError
}
