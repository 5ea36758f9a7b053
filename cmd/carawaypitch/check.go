package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/settings"
)

// checkCommand validates settings files and prints every mistake.
type checkCommand struct{ settings string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "print every mistake in settings files; start nothing" }

func (*checkCommand) Usage() string {
	return `check [-settings FILE] [FILE ...]
  Prints each mistake with its file, line, path in the file and result code. Exits with 1 if there is any.

  Example:
    carawaypitch check examples/compost/entry-1.jsonc

  Exit codes: 0 all files are right; 1 there is a mistake; 2 usage.
`
}

func (c *checkCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.settings, "settings", "", "settings file to check")
}

func (c *checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	files := flags.Args()
	if c.settings != "" {
		files = append(files, c.settings)
	}
	if len(files) == 0 {
		return usage("check: name at least one settings file")
	}
	status := subcommands.ExitSuccess
	for _, file := range files {
		if !checkFile(file) {
			status = subcommands.ExitFailure
		}
	}
	return status
}

// checkFile prints the role of a valid settings file or every mistake in it, and reports whether it is valid.
func checkFile(file string) bool {
	role, err := settings.Check(file)
	if err == nil {
		fmt.Printf("%s: ok, role %s\n", file, role)
		return true
	}
	var mistakes *settings.Diagnostics
	if !errors.As(err, &mistakes) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, err)
		return false
	}
	for _, m := range mistakes.List {
		fmt.Fprintf(os.Stderr, "%s:%d:%d: %s: %s (%d %s)\n", file, m.Line, m.Column, m.Path, m.Message, m.Code, m.Code)
	}
	return false
}
