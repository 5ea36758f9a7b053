package dev

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
)

// runner runs one daemon until its context ends.
type runner func(ctx context.Context) error

// stage is a set of daemons that start and stop together. Stages stop in the reverse order of their start, each
// waited for, so that an entry still has its agents, and an agent its control instance, while it drains.
type stage struct {
	cancel context.CancelFunc
	done   chan error
}

// startStage runs the daemons; the first that ends stops the others of the stage.
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

// stop ends the stage and waits for all its daemons.
func (s *stage) stop() error {
	s.cancel()
	return <-s.done
}

// stopAll stops the stages in reverse order and returns the errors of all.
func stopAll(stages []*stage) error {
	var all []error
	for i := len(stages) - 1; i >= 0; i-- {
		all = append(all, stages[i].stop())
	}
	return errors.Join(all...)
}
