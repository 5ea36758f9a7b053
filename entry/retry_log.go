package entry

import (
	"math"

	"github.com/carawaypitch/carawaypitch/sched"
)

// logRetry logs whether a request is tried again, and the counts of the retry budget that decided.
func (e *Entry) logRetry(a sched.RetryDecided) {
	fields := e.log.WithField("request", a.Request).
		WithField("pool", a.Pool).
		WithField("reason", a.Reason).
		WithField("requests", a.Requests).
		WithField("retries", a.Retries).
		WithField("budget", math.Round(10*a.Budget)/10).
		WithField("entries", a.Entries).
		WithField("directory_age_ms", a.DirectoryAge.Milliseconds())
	if a.Allowed {
		fields.Info("retry_taken")
		return
	}
	fields.Info("retry_refused")
}
