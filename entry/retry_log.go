package entry

import (
	"math"

	"github.com/carawaypitch/carawaypitch/sched"
)

// logRetry logs whether a request is tried again, and the counts of the retry budget that decided.
func (e *Entry) logRetry(a sched.RetryDecided) {
	d := a.Decision
	fields := e.log.WithField("request", a.Request).
		WithField("pool", a.Pool).
		WithField("reason", a.Reason).
		WithField("window_ms", d.Since.Milliseconds()).
		WithField("requests", d.Requests).
		WithField("arrived", d.Arrivals).
		WithField("pending", d.Pending).
		WithField("limit", math.Round(10*d.Limit)/10).
		WithField("part", math.Round(10*d.Part)/10).
		WithField("entries", a.Entries).
		WithField("in_contact", a.InContact).
		WithField("contact_age_ms", a.ContactAge.Milliseconds())
	if d.Allowed {
		fields.Info("retry_taken")
		return
	}
	fields.Info("retry_refused")
}
