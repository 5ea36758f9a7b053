package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/settings"
)

// digestCommand prints the salted digest of a key for a settings file.
type digestCommand struct{}

func (*digestCommand) Name() string { return "digest" }
func (*digestCommand) Synopsis() string {
	return "print the salted digest of a key for a settings file"
}

func (*digestCommand) Usage() string {
	return `digest < KEYFILE
  Reads a key from standard input, so that it stays out of the shell's history, and prints what goes into key_digests.

  Examples:
    carawaypitch digest < key.txt
    printf %s "$KEY" | carawaypitch digest

  Exit codes: 0 ok; 1 no key on standard input; 2 usage.
`
}
func (*digestCommand) SetFlags(*flag.FlagSet) {}

func (*digestCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	// io.EOF is ignored: a key need not end with a newline.
	line, _ := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return exit(errors.New("no key on standard input"))
	}
	fmt.Println(settings.NewDigest(key, settings.NewSalt()))
	return subcommands.ExitSuccess
}
