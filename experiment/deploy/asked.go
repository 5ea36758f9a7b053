package deploy

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// What a server that asks something of its senders may still get.
const (
	askedSample = 5 * time.Millisecond
	// askedContact is how long after its first word a server is kept to, and askedWindow in which time requests are counted.
	askedContact = 3 * time.Second
	askedWindow  = 4 * time.Second
	// rateSlack and rateExtra are by what a window may exceed a rate limit: a factor, and requests beyond it.
	rateSlack = 1.5
	rateExtra = 5
	// backoffGrace is how long after a refusal requests may still be under way, and backoffExtra how many may come after that.
	backoffGrace = 500 * time.Millisecond
	backoffExtra = 2
	// drainContact is how long a server that leaves may still get requests.
	drainContact = 2 * time.Second
)

// Asked is what a server asked of its senders during a fault, and what it got.
type Asked struct {
	Server string `json:"server"`
	Fault  string `json:"fault"`
	// Sent is how many requests reached the server, and Allowed how many its word allowed; below 0 where it names no number.
	Sent    int     `json:"sent"`
	Allowed float64 `json:"allowed"`
	// Used is the part of Allowed that was sent.
	Used float64 `json:"used"`
	// Most is the largest number of requests in any four seconds.
	Most int `json:"most_in_window"`
}

// asking is a server that asks something of its senders.
type asking struct {
	fault  plan.Fault
	server *serverInstance
	before uint64
	began  time.Time
	times  []time.Time // of requests
}

// beginAsking has a server ask something of its senders, and watches what it gets.
func (d *Deployment) beginAsking(ctx context.Context, f plan.Fault, on, off func(*standin.Faults)) (end func() error, err error) {
	a := &asking{fault: f, server: d.named(f.Target)[0]}
	mend, err := d.switchFaults([]*serverInstance{a.server}, on, off)
	if err != nil {
		return nil, err
	}
	a.before, a.began = a.server.server.Stats().Requests, time.Now()
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.watch(ctx)
	}()
	return func() error {
		stop()
		<-done
		d.noteAsked(a)
		return mend()
	}, nil
}

// watch notes when requests come, until ctx ends.
func (a *asking) watch(ctx context.Context) {
	sample := time.NewTicker(askedSample)
	defer sample.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-sample.C:
			for range int(a.server.server.Stats().Requests-a.before) - len(a.times) {
				a.times = append(a.times, now)
			}
		}
	}
}

// report sums up what the server got.
func (a *asking) report(ended time.Time) Asked {
	out := Asked{Server: a.server.Name, Fault: string(a.fault.Kind), Sent: len(a.times), Allowed: -1, Most: backpressure.MaxInWindow(a.times, askedWindow)}
	if a.fault.Kind == plan.RateLimit {
		out.Allowed = a.fault.Factor * ended.Sub(a.began).Seconds()
	}
	if out.Allowed > 0 {
		out.Used = float64(out.Sent) / out.Allowed
	}
	return out
}

// violation says whether the server got more than it may, empty if it didn't.
func (a *asking) violation() string {
	switch a.fault.Kind {
	case plan.RateLimit:
		allowed := rateSlack*a.fault.Factor*askedWindow.Seconds() + rateExtra
		if got := backpressure.MaxInWindow(a.after(askedContact), askedWindow); float64(got) > allowed {
			return fmt.Sprintf("%s got %d requests in %s at a limit of %g a second", a.server.Name, got, askedWindow, a.fault.Factor)
		}
	case plan.Backoff:
		if got := a.mostWhileAway(); got > backoffExtra {
			return fmt.Sprintf("%s got %d requests within a time of %g s to keep away", a.server.Name, got, a.fault.Factor)
		}
	case plan.Draining:
		if got := len(a.after(drainContact)); got > 0 {
			return fmt.Sprintf("%s got %d requests later than %s after it said that it leaves", a.server.Name, got, drainContact)
		}
	}
	return ""
}

// after are the requests later than some time after the first one, whose answer was the first word.
func (a *asking) after(contact time.Duration) []time.Time {
	for i, at := range a.times {
		if at.Sub(a.times[0]) > contact {
			return a.times[i:]
		}
	}
	return nil
}

// mostWhileAway is the largest number of requests within the time that one refusal asked to keep away.
func (a *asking) mostWhileAway() int {
	away := time.Duration(a.fault.Factor * float64(time.Second))
	most := 0
	for i, refused := range a.times {
		got := 0
		for _, at := range a.times[i+1:] {
			if since := at.Sub(refused); since > backoffGrace && since < away {
				got++
			}
		}
		most = max(most, got)
	}
	return most
}

func (d *Deployment) noteAsked(a *asking) {
	d.noteViolation(a.violation())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked = append(d.asked, a.report(time.Now()))
}

// Asked is what servers asked of their senders, and what they got.
func (d *Deployment) Asked() []Asked {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

// decimal writes a factor as servers name it.
func decimal(factor float64) string { return strconv.FormatFloat(factor, 'g', -1, 64) }
