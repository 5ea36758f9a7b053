package dev

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
)

// runner runs one daemon until ctx is cancelled or the daemon fails.
type runner func(ctx context.Context) error

// stage is a set of daemons that start and stop together. Stages stop one after another in the reverse order of their
// start, so that an entry can still reach its agents, and an agent its control instance, while it drains.
type stage struct {
	cancel context.CancelFunc
	done   chan error // buffered; receives the result when all daemons have ended
}

// startStage starts the daemons. The first one that ends stops the others of the stage.
func startStage(runners []runner) *stage {
	ctx, cancel := context.WithCancel(context.Background())
	var group run.Group
	group.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	for _, r := range runners {
		group.Add(func() error { return r(ctx) }, func(error) { cancel() })
	}
	s := &stage{cancel: cancel, done: make(chan error, 1)}
	go func() { s.done <- group.Run() }()
	return s
}

// stop cancels the stage, waits for all its daemons and returns the first error.
func (s *stage) stop() error {
	s.cancel()
	return <-s.done
}

// stopAll stops the stages in reverse order and returns their joined errors.
func stopAll(stages []*stage) error {
	var all []error
	for i := len(stages) - 1; i >= 0; i-- {
		all = append(all, stages[i].stop())
	}
	return errors.Join(all...)
}
