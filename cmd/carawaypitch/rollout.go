package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"github.com/carawaypitch/carawaypitch/operator"
	"github.com/carawaypitch/carawaypitch/pause"
)

// rolloutCommand orders roll-outs and shows them.
type rolloutCommand struct {
	operatorFlags
	duration time.Duration // of an order
	interval time.Duration // between two reads of watch
}

func (*rolloutCommand) Name() string     { return "rollout" }
func (*rolloutCommand) Synopsis() string { return "move a service to servers of another version" }
func (*rolloutCommand) Usage() string {
	return `rollout [flags] start SERVICE VERSION | status [SERVICE] | watch SERVICE
  start orders that SERVICE be moved, within -duration, to servers of VERSION that run beside the old ones. It returns once
  the order is committed. The new version gets a small share of the requests; it is reverted as soon as it is certain to be
  worse than the others, and completed at four fifths of the duration if nothing speaks against it. The same order may be
  sent again at any time and changes nothing. Another version is refused until the roll-out has ended.
  status shows the last roll-out of each service, or of SERVICE. watch prints each change until the roll-out has ended.
  Flags come before start, status or watch.

  Examples:
    carawaypitch rollout -duration 30m start registry v2
    carawaypitch rollout status
    carawaypitch rollout -json status registry
    carawaypitch rollout watch registry

  Exit codes: 0 accepted, shown, or with watch completed; 1 refused, reverted, or no control instance answered; 2 usage.
`
}

// defaultWatchInterval is the time between two reads of watch. The log has new evidence once a second.
const defaultWatchInterval = time.Second

func (c *rolloutCommand) SetFlags(flags *flag.FlagSet) {
	c.register(flags)
	flags.DurationVar(&c.duration, "duration", 0, "time within which the roll-out has to end, at least 1s")
	flags.DurationVar(&c.interval, "interval", defaultWatchInterval, "time between two reads of watch")
}

func (c *rolloutCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	verb, args := flags.Arg(0), flags.NArg()-1
	switch {
	case verb == "start" && args == 2 && c.duration < time.Second:
		return usage("rollout: start needs -duration, of at least 1s")
	case verb == "watch" && c.interval <= 0:
		return usage("rollout: -interval is a positive duration")
	case verb == "start" && args == 2, verb == "status" && (args == 0 || args == 1), verb == "watch" && args == 1:
	default:
		return usage("rollout: start SERVICE VERSION, status [SERVICE] or watch SERVICE; flags come first")
	}
	client, err := c.client()
	if err != nil {
		return usage("%v", err)
	}
	switch verb {
	case "start":
		return exit(c.start(ctx, client, flags.Arg(1), flags.Arg(2)))
	case "watch":
		return exit(c.watch(ctx, client, flags.Arg(1), os.Stdout))
	default:
		return exit(c.status(ctx, client, flags.Arg(1)))
	}
}

func (c *rolloutCommand) start(ctx context.Context, client *operator.Client, service, version string) error {
	started, err := client.StartRollout(ctx, service, version, c.duration)
	if err != nil {
		return err
	}
	return c.print(started, func(w io.Writer) {
		fmt.Fprintf(w, "%s to version %s: %s\n", started.Service, started.To, started.State)
	})
}

// status prints the roll-out of a service, or of all services if the name is empty.
func (c *rolloutCommand) status(ctx context.Context, client *operator.Client, service string) error {
	if service != "" {
		one, err := client.Rollout(ctx, service)
		if err != nil {
			return err
		}
		return c.print(one, func(w io.Writer) { rolloutTable(w, []operator.Rollout{one}) })
	}
	all, err := client.Rollouts(ctx)
	if err != nil {
		return err
	}
	return c.print(all, func(w io.Writer) { rolloutTable(w, all.Rollouts) })
}

// watch prints a line for each change of a roll-out until it has ended.
func (c *rolloutCommand) watch(ctx context.Context, client *operator.Client, service string, w io.Writer) error {
	last := ""
	for {
		now, err := client.Rollout(ctx, service)
		if err != nil {
			return err
		}
		if line := rolloutLine(now); line != last {
			last = line
			fmt.Fprintln(w, line)
		}
		switch now.State {
		case operator.RolloutCompleted:
			return nil
		case operator.RolloutReverted:
			return errors.Errorf("%s was not moved to version %s", now.Service, now.To)
		}
		if !pause.For(ctx, c.interval) {
			return ctx.Err()
		}
	}
}

func rolloutLine(r operator.Rollout) string {
	line := fmt.Sprintf("%s to version %s: %s", r.Service, r.To, r.State)
	if r.Reason != "" {
		line += " (" + r.Reason + ")"
	}
	for _, v := range r.Versions {
		line += fmt.Sprintf("; version %s: %d answers, %d failures, %d slow", orDash(v.Version), v.Answers, v.Failures, v.Slow)
	}
	return line
}

// rolloutTable writes roll-outs with the answers of each version. It writes nothing if there are none.
func rolloutTable(w io.Writer, rollouts []operator.Rollout) {
	if len(rollouts) == 0 {
		return
	}
	fmt.Fprintln(w, "SERVICE\tTO VERSION\tSTATE\tVERSION\tANSWERS\tFAILURES\tSLOW\tREASON")
	for _, r := range rollouts {
		if len(r.Versions) == 0 {
			fmt.Fprintf(w, "%s\t%s\t%s\t-\t0\t0\t0\t%s\n", r.Service, r.To, r.State, orDash(r.Reason))
		}
		for _, v := range r.Versions {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
				r.Service, r.To, r.State, orDash(v.Version), v.Answers, v.Failures, v.Slow, orDash(r.Reason))
		}
	}
}

// rolloutStatusTable writes the roll-outs of a status after an empty line. It writes nothing if there are none.
func rolloutStatusTable(w io.Writer, s operator.Status) {
	if len(s.Rollouts) > 0 {
		fmt.Fprintln(w)
		rolloutTable(w, s.Rollouts)
	}
}
