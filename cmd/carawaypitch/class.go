package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"
	"github.com/tailscale/hujson"

	"github.com/carawaypitch/carawaypitch/operator"
)

// classCommand lists, shows, changes and removes classes of work.
type classCommand struct {
	operatorFlags
	ifMatch  string // version that a change is based on; empty: the one in force
	changeID string // idempotency key of a change; empty: a new one
	wait     bool   // return only once the change is in force on every instance
}

func (*classCommand) Name() string     { return "class" }
func (*classCommand) Synopsis() string { return "list, get, put or delete classes of work" }
func (*classCommand) Usage() string {
	return `class [flags] list | get NAME | put FILE | delete NAME
  put reads one class from FILE (JSON with comments; - is standard input). Without -if-match it changes the version
  that is in force when it starts; somebody else's change in between is then refused with the version in force.
  A change whose answer was lost is resent with the -if-match and -change-id that the error names: if the first one was
  accepted, its answer comes again. Flags come before list, get, put or delete.
  A class says what its work tolerates. Weights and server names are no part of it and are refused by name.

  Examples:
    carawaypitch class list
    carawaypitch class -wait put appeal.jsonc
    carawaypitch class -json get gate-check
    echo '{"name": "appeal", "tier": 3, "deadline_ms": 60000, "late_max": 0.2, "lost_max": 0,
           "repeatable": true, "kind": "model"}' | carawaypitch class put -
    carawaypitch class delete appeal

  Exit codes: 0 accepted, and with -wait in force everywhere; 1 refused, or no control instance answered; 2 usage.
`
}

func (c *classCommand) SetFlags(flags *flag.FlagSet) {
	c.register(flags)
	flags.StringVar(&c.ifMatch, "if-match", "", "version that the change is based on (default: the one in force)")
	flags.StringVar(&c.changeID, "change-id", "", "id of the change; give it again to resend one whose answer was lost")
	flags.BoolVar(&c.wait, "wait", false, "return when the change is in force everywhere")
}

func (c *classCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, name := flags.Arg(0), flags.Arg(1)
	wantArgs := 2
	if verb == "list" {
		wantArgs = 1
	}
	if flags.NArg() != wantArgs {
		return usage("class: list, get NAME, put FILE or delete NAME; flags come first")
	}
	client, err := c.client()
	if err != nil {
		return usage("%v", err)
	}
	switch verb {
	case "list":
		return exit(c.list(ctx, client))
	case "get":
		return exit(c.get(ctx, client, name))
	case "put":
		return exit(c.put(ctx, client, name))
	case "delete":
		return exit(c.delete(ctx, client, name))
	}
	return usage("class: unknown verb %q", verb)
}

func (c *classCommand) list(ctx context.Context, client *operator.Client) error {
	classes, err := client.Classes(ctx)
	if err != nil {
		return err
	}
	return c.print(classes, func(w io.Writer) {
		classHeader(w)
		for _, class := range classes.Classes {
			classRow(w, class)
		}
	})
}

func (c *classCommand) get(ctx context.Context, client *operator.Client, name string) error {
	class, err := client.Class(ctx, name)
	if err != nil {
		return err
	}
	return c.print(class, func(w io.Writer) {
		classHeader(w)
		classRow(w, class)
	})
}

func classHeader(w io.Writer) {
	fmt.Fprintln(w, "CLASS\tTIER\tKIND\tDEADLINE\tLATE MAX\tLOST MAX\tREPEATABLE\tPREEMPT\tVERSION")
}

func classRow(w io.Writer, c operator.Class) {
	fmt.Fprintf(w, "%s\t%d\t%s\t%d ms\t%s\t%s\t%t\t%s\t%d\n",
		c.Name, c.Tier, c.Kind, c.DeadlineMS, percent(c.LateMax), percent(c.LostMax), c.Repeatable, c.Preempt, c.Version)
}

func (c *classCommand) put(ctx context.Context, client *operator.Client, file string) error {
	body, err := readClass(file)
	if err != nil {
		return err
	}
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(body, &named); err != nil {
		return errors.Wrapf(err, "%s", file)
	}
	return c.change(ctx, client, func(ifMatch uint64, changeID string) (operator.Change, error) {
		return client.PutClassJSON(ctx, named.Name, body, ifMatch, changeID)
	})
}

// readClass reads a class from a file, or from standard input for "-", and returns it as standard JSON without comments.
// It keeps unknown fields, so that the operators' interface can name a field that it rejects.
func readClass(file string) ([]byte, error) {
	var source []byte
	var err error
	if file == "-" {
		source, err = io.ReadAll(os.Stdin)
	} else {
		source, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read class")
	}
	body, err := hujson.Standardize(source)
	if err != nil {
		return nil, errors.Wrapf(err, "%s", file)
	}
	return bytes.TrimSpace(body), nil
}

func (c *classCommand) delete(ctx context.Context, client *operator.Client, name string) error {
	return c.change(ctx, client, func(ifMatch uint64, changeID string) (operator.Change, error) {
		return client.DeleteClass(ctx, name, ifMatch, changeID)
	})
}

// change calls do with the base version and the change id, prints the accepted version and, with -wait, returns only
// once that version is in force on every instance. An error of do names both values, so that the change can be resent.
func (c *classCommand) change(ctx context.Context, client *operator.Client, do func(uint64, string) (operator.Change, error)) error {
	ifMatch, err := c.baseVersion(ctx, client)
	if err != nil {
		return err
	}
	if c.changeID == "" {
		c.changeID = operator.NewChangeID()
	}
	change, err := do(ifMatch, c.changeID)
	if err != nil {
		return errors.Wrapf(err, "change (-if-match %d -change-id %s)", ifMatch, c.changeID)
	}
	if c.wait {
		if err := client.WaitInForce(ctx, change.Version); err != nil {
			return err
		}
	}
	return c.print(change, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as version %d\n", change.Version)
	})
}

// baseVersion returns the version given by -if-match, or the configuration version in force without that flag.
func (c *classCommand) baseVersion(ctx context.Context, client *operator.Client) (uint64, error) {
	if c.ifMatch != "" {
		version, err := strconv.ParseUint(c.ifMatch, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "-if-match")
		}
		return version, nil
	}
	classes, err := client.Classes(ctx)
	return classes.Version, err
}
