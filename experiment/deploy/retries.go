package deploy

import (
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/retry"
	"github.com/carawaypitch/carawaypitch/retry/audit"
	"github.com/carawaypitch/carawaypitch/settings"
)

// RetryLimits returns the bound of retries for each model and service. A ratio of 0 means none.
func (d *Deployment) RetryLimits() retry.Limits {
	r := d.plan.Retries
	window := r.Window.Std()
	if window == 0 {
		window = settings.DefaultEntry().Timing.RetryWindow
	}
	return retry.Limits{Ratio: r.Ratio, Window: window, Allowance: float64(r.Allowance)}
}

// NoteArrival records that an attempt reached a server of a model or service.
func (d *Deployment) NoteArrival(target string, attempt engine.AttemptID, at time.Time) {
	d.record(target, func(r *audit.Record) { r.Arrived(at, attempt.Request()) })
}

// NoteSent records that a caller sent a request for a model or service.
func (d *Deployment) NoteSent(target string, at time.Time) {
	d.record(target, func(r *audit.Record) { r.Sent(at) })
}

func (d *Deployment) record(target string, change func(*audit.Record)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.arrivals[target] == nil {
		d.arrivals[target] = new(audit.Record)
	}
	change(d.arrivals[target])
}

// WorstRetries returns the window with the most retries beyond the bound, by model and service that got any.
func (d *Deployment) WorstRetries() map[string]audit.Window {
	d.mu.Lock()
	defer d.mu.Unlock()
	worst := make(map[string]audit.Window)
	for target, record := range d.arrivals {
		if w, found := record.Worst(d.RetryLimits()); found {
			worst[target] = w
		}
	}
	return worst
}
