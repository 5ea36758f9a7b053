package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// refusal states why an attempt is refused before it started. A retryAfter of 0 advises no wait.
type refusal struct {
	code       result.Code
	message    string
	retryAfter time.Duration
}

// Waits that refusals advise.
const (
	retrySoon     = 100 * time.Millisecond
	retryLater    = time.Second
	maxRetryAfter = 30 * time.Second
)

var (
	refuseStarting      = refusal{result.Starting, "the agent has not yet proved its backend server free", retryLater}
	refuseLeaving       = refusal{result.NoServer, "the backend server is leaving or gone", 0}
	refuseUnknownTarget = refusal{result.NoServer, "the backend server does not have this model or service", 0}
	refuseTooLarge      = refusal{result.LargerThanServer, "the request needs more memory than the backend server has", 0}
	refuseConcurrent    = refusal{result.AttemptSuperseded, "another attempt of the request is not over here", retryLater}
	refuseSuperseded    = refusal{result.AttemptSuperseded, "a later attempt of the request came", 0}
	refuseEnded         = refusal{result.LeaseExpired, "this incarnation of the entry has ended", 0}
	refuseExpired       = refusal{result.LeaseExpired, "the entry did not renew its lease", 0}
	refuseTombstone     = refusal{result.RefusedNeverStarted, "the attempt was cancelled or refused before", 0}
	refuseRecordsFull   = refusal{result.QueueFull, "too many requests are remembered", retryLater}
	refuseNoOffer       = refusal{result.RefusedNeverStarted, "no room for a dispatch without an offer", retrySoon}
	refuseLapsedOffer   = refusal{result.RefusedNeverStarted, "the offer had lapsed and its slot was taken", retrySoon}
	refuseRateLimited   = refusal{result.ServerRateLimited, "the backend server takes only so many requests a second", 0}
	refuseBackoff       = refusal{result.ServerBackoff, "the backend server asks to keep away for a while", 0}
	refuseUnanswered    = refusal{result.RefusedNeverStarted, "offers were not answered", 0}
	refuseDeadline      = refusal{result.DeadlinePassedInQueue, "the deadline passed while the request waited", 0}
	refuseCancelled     = refusal{result.Cancelled, "cancelled before it started", 0}
)

// refuseFull returns the refusal for a full waiting list; wait is how long the list is expected to take.
func refuseFull(wait time.Duration) refusal {
	return refusal{result.QueueFull, "the waiting list is full", clampRetry(wait)}
}

// refuseShed returns the refusal for an attempt that is dropped from the waiting list in favour of one that goes
// before it.
func refuseShed(wait time.Duration) refusal {
	return refusal{result.ShedForHigherTier, "the waiting list is full and this one was last", clampRetry(wait)}
}

// refuseTooLate returns the refusal for an attempt that can't meet its deadline.
func refuseTooLate(wait time.Duration) refusal {
	return refusal{result.CannotFinishInTime, "predicted to end after its deadline", clampRetry(wait)}
}

func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, retrySoon), maxRetryAfter)
}
