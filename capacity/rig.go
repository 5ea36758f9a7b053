package capacity

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Rig is a daemon in this process with its far side.
type Rig struct {
	Net *Network
	Far *FarSide

	cancel context.CancelFunc
	ctx    context.Context
	done   []chan error
}

// NewRig starts a far side. Close must follow.
func NewRig() (*Rig, error) {
	far, err := StartFarSide()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Rig{Net: new(Network), Far: far, ctx: ctx, cancel: cancel}, nil
}

// Run runs a daemon in this process until Close.
func (r *Rig) Run(daemon func(context.Context) error) {
	done := make(chan error, 1)
	r.done = append(r.done, done)
	go func() { done <- daemon(r.ctx) }()
}

// Close ends the far side and the daemons, and waits for them.
func (r *Rig) Close() error {
	err := r.Far.Stop()
	r.cancel()
	for _, done := range r.done {
		err = errors.Join(err, <-done)
	}
	return err
}

// Over returns the rate at which this process uses processor time and bytes while work runs.
func (r *Rig) Over(work func() error) (Rate, error) {
	before, err := r.Net.Usage()
	if err != nil {
		return Rate{}, err
	}
	if err := work(); err != nil {
		return Rate{}, err
	}
	after, err := r.Net.Usage()
	return after.Since(before), err
}

// Idle returns the rate over a time in which nothing is asked of the daemon.
func (r *Rig) Idle(d time.Duration) (Rate, error) {
	return r.Over(func() error {
		time.Sleep(d)
		return nil
	})
}
