package backpressure

import "time"

const (
	// trialTimeout is how long the answer to a trial is awaited before another one is made.
	trialTimeout = time.Second
	// firstTrials is how many sends a new sender makes before it has heard anything of the server: one that ran before it may have been
	// asked to keep away.
	firstTrials = 2
)

// backoff keeps a sender away from a server that asked for it. After that time, trials find out whether the server takes work again:
// all that waits would otherwise come at once, to be turned away once more.
type backoff struct {
	until  time.Time // end of the time asked for
	most   int       // trials at a time, 0 where none are needed
	trials int       // that aren't answered
	tried  time.Time // when the last one was made
}

// hear takes what an answer said, and tells whether that changed anything.
func (b *backoff) hear(o Observation) bool {
	if o.Backoff > 0 {
		return b.ask(o)
	}
	isAnswer := o.Route == RouteRun && !o.Mismatched && !o.SentAt.Before(b.until)
	if b.most == 0 || !isAnswer {
		return false
	}
	b.most, b.trials = 0, 0
	return true
}

// ask begins a time to keep away. A shorter time that overlaps a longer one ends none of it.
func (b *backoff) ask(o Observation) bool {
	until := o.ReceivedAt.Add(o.Backoff)
	if !until.After(b.until) {
		return false
	}
	b.until, b.most, b.trials = until, 1, 0
	return true
}

// isAway tells whether the sender keeps away now.
func (b *backoff) isAway(now time.Time) bool { return now.Before(b.until) }

// ready is how many sends may be made now.
func (b *backoff) ready(now time.Time) int {
	switch {
	case b.isAway(now):
		return 0
	case b.most == 0:
		return unlimited
	case b.trials >= b.most && now.Sub(b.tried) >= trialTimeout:
		return 1
	default:
		return max(b.most-b.trials, 0)
	}
}

// wait is the time until a send may be made.
func (b *backoff) wait(now time.Time) time.Duration {
	switch {
	case b.isAway(now):
		return b.until.Sub(now)
	case b.ready(now) == 0:
		return max(b.tried.Add(trialTimeout).Sub(now), 0)
	default:
		return 0
	}
}

func (b *backoff) take(now time.Time) {
	if b.most > 0 {
		b.trials = min(b.trials, b.most-1) + 1
		b.tried = now
	}
}

func (b *backoff) giveBack() { b.trials = max(b.trials-1, 0) }
