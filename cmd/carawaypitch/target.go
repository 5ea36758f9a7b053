package main

import (
	"context"
	"flag"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/operator"
)

// targetCommand changes the target of one class and keeps its other fields.
type targetCommand struct {
	classCommand
	deadline time.Duration
	lateMax  float64
	lostMax  float64
}

func (*targetCommand) Name() string     { return "target" }
func (*targetCommand) Synopsis() string { return "change how much late or lost work a class tolerates" }

func (*targetCommand) Usage() string {
	return `target [flags] CLASS
  Changes only what is given; the change is based on the class as it is now and is refused if somebody else's change
  came in between.

  Examples:
    carawaypitch target -late-max 0.01 -wait gate-check
    carawaypitch target -deadline 90s -lost-max 0 appeal

  Exit codes: 0 the change is accepted; 1 refused, or no control instance answered; 2 usage.
`
}

func (c *targetCommand) SetFlags(flags *flag.FlagSet) {
	c.classCommand.SetFlags(flags)
	flags.DurationVar(&c.deadline, "deadline", 0, "time from arrival to the whole answer")
	flags.Float64Var(&c.lateMax, "late-max", 0, "share of answers that may be late, 0 to 1")
	flags.Float64Var(&c.lostMax, "lost-max", 0, "share of requests that may be lost, 0 to 1")
}

func (c *targetCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		return usage("target: one CLASS; flags come first")
	}
	if !c.anyTargetFlag(flags) {
		return usage("target: give at least one of -deadline, -late-max and -lost-max")
	}
	client, err := c.client()
	if err != nil {
		return usage("%v", err)
	}
	return exit(c.updateTarget(ctx, client, flags))
}

// anyTargetFlag reports whether at least one flag of the target is set. A change without one would create a configuration
// version that equals the version before.
func (*targetCommand) anyTargetFlag(flags *flag.FlagSet) bool {
	given := false
	flags.Visit(func(f *flag.Flag) {
		given = given || f.Name == "deadline" || f.Name == "late-max" || f.Name == "lost-max"
	})
	return given
}

// updateTarget applies the given flags to the class in force and puts the result. Without -if-match the change is based
// on the version that was read, so that a concurrent change makes it fail.
func (c *targetCommand) updateTarget(ctx context.Context, client *operator.Client, flags *flag.FlagSet) error {
	classes, err := client.Classes(ctx)
	if err != nil {
		return err
	}
	class, err := findClass(classes, flags.Arg(0))
	if err != nil {
		return err
	}
	flags.Visit(func(f *flag.Flag) { c.applyFlag(f.Name, &class) })
	return c.change(ctx, client, func(ifMatch uint64, changeID string) (operator.Change, error) {
		if c.ifMatch == "" {
			ifMatch = classes.Version
		}
		return client.PutClass(ctx, class, ifMatch, changeID)
	})
}

// findClass returns the named class, or an error if there is none.
func findClass(classes operator.Classes, name string) (operator.Class, error) {
	for _, class := range classes.Classes {
		if class.Name == name {
			return class, nil
		}
	}
	return operator.Class{}, errors.Errorf("no class %q", name)
}

// applyFlag sets the field of the class that the named flag stands for; other flags change nothing.
func (c *targetCommand) applyFlag(flagName string, class *operator.Class) {
	switch flagName {
	case "deadline":
		class.DeadlineMS = uint32(c.deadline.Milliseconds())
	case "late-max":
		class.LateMax = c.lateMax
	case "lost-max":
		class.LostMax = c.lostMax
	}
}
