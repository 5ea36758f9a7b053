package standin

import (
	"bytes"
	"context"
	"encoding/binary"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Faults are the fault switches. A share is the fraction of requests that a fault affects, from
// 0 to 1. It is decided by the seed, the request's ID and its number of starts alone, so that a
// run is reproducible in any order of arrival.
type Faults struct {
	// Slow multiplies all durations, to simulate a straggler; 0 means 1.
	Slow float64 `json:"slow"`
	// LoseBefore is the share of requests whose connection is closed before they run.
	LoseBefore float64 `json:"lose_before"`
	// LoseAnswer is the share of requests whose connection is closed without a response after
	// they ran.
	LoseAnswer float64 `json:"lose_answer"`
	// CutAnswer is the share of requests whose response is truncated at half its length.
	CutAnswer float64 `json:"cut_answer"`
	// CutAfter breaks responses off after this many bytes of their bodies; 0 means never. With CutShare
	// only that share of them is broken off, each after a number of bytes up to CutAfter.
	CutAfter int     `json:"cut_after"`
	CutShare float64 `json:"cut_share"`
	// Unframed is the share of requests whose response has neither a length nor chunks, and ends with
	// its connection.
	Unframed float64 `json:"unframed"`
	// FailBefore and FailAfter are the shares of requests that get a status 500 before or after
	// they ran, which the caller cannot tell apart. A stream that has begun gets an error
	// event.
	FailBefore float64 `json:"fail_before"`
	FailAfter  float64 `json:"fail_after"`
	// DropCacheEvents is the share of cache events that are lost.
	DropCacheEvents float64 `json:"drop_cache_events"`
	// IgnoreCancel makes cancel calls report that the stream is still running.
	IgnoreCancel bool `json:"ignore_cancel"`
	// RefuseSuspension refuses suspend calls: "no_room" as if no target had room, "busy" as if
	// another call for the stream were in progress. Empty means that they are carried out.
	RefuseSuspension string `json:"refuse_suspension"`
	// LoseSuspension carries out suspend calls and closes their connections without a response.
	LoseSuspension bool `json:"lose_suspension"`
	// RefuseHandle refuses to resume suspended runs, as if their handles had expired.
	RefuseHandle bool `json:"refuse_handle"`
	// DieAfterTokens crashes the engine once, when a stream has delivered that many tokens; 0
	// means never. The engine stays down for DownMs milliseconds.
	DieAfterTokens int   `json:"die_after_tokens"`
	DownMs         int64 `json:"down_ms"`
	// CrashOn crashes the engine whenever it starts a request whose body contains this text;
	// empty means never. The engine stays down for DownMs milliseconds.
	CrashOn string `json:"crash_on"`
	// RateLimit is the value, in requests per second, of the rate limit header in all
	// responses; empty for none. It is not validated, and the limit is not enforced.
	RateLimit string `json:"rate_limit"`
	// RefuseFor rejects every run with a status 503 and this value in the Retry-After header;
	// empty for none. It is not validated.
	RefuseFor string `json:"refuse_for"`
	// Draining announces in all responses that the server is leaving.
	Draining bool `json:"draining"`
	// FreezeMs freezes the server for this many milliseconds from the time of the call: it
	// accepts connections and calls and does not respond.
	FreezeMs int64 `json:"freeze_ms"`
	// RefuseMs refuses new connections for this many milliseconds from the time of the call.
	RefuseMs int64 `json:"refuse_ms"`
}

// Validate returns all problems, joined, or nil.
func (f Faults) Validate() error {
	var problems []error
	shares := map[string]float64{
		"lose_before": f.LoseBefore, "lose_answer": f.LoseAnswer, "cut_answer": f.CutAnswer,
		"fail_before": f.FailBefore, "fail_after": f.FailAfter, "drop_cache_events": f.DropCacheEvents, "unframed": f.Unframed, "cut_share": f.CutShare,
	}
	for _, name := range []string{
		"lose_before", "lose_answer", "cut_answer", "fail_before", "fail_after", "drop_cache_events",
		"unframed", "cut_share",
	} {
		if !isShare(shares[name]) {
			problems = append(problems, errors.Errorf("fault %s: must be from 0 to 1", name))
		}
	}
	if f.Slow < 0 {
		problems = append(problems, errors.New("fault slow: must not be negative"))
	}
	if f.DieAfterTokens < 0 || f.CutAfter < 0 || f.DownMs < 0 || f.FreezeMs < 0 || f.RefuseMs < 0 {
		problems = append(problems, errors.New("faults: counts and times must not be negative"))
	}
	switch f.RefuseSuspension {
	case "", SuspensionNoRoom, SuspensionBusy:
	default:
		problems = append(problems, errors.New("fault refuse_suspension: must be empty, no_room or busy"))
	}
	return errors.Join(problems...)
}

// Values of Faults.RefuseSuspension.
const (
	SuspensionNoRoom = "no_room"
	SuspensionBusy   = "busy"
)

// faultSet holds the active fault switches.
type faultSet struct {
	seed        uint64
	mu          sync.Mutex
	faults      Faults
	frozenUntil time.Time
}

func (f *faultSet) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *faultSet) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.FreezeMs > 0 {
		f.frozenUntil = time.Now().Add(time.Duration(faults.FreezeMs) * time.Millisecond)
	}
	faults.FreezeMs = 0
	faults.RefuseMs = 0
	f.faults = faults
}

// remainingFreeze returns the remaining duration of a freeze, 0 if there is none.
func (f *faultSet) remainingFreeze() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, time.Until(f.frozenUntil))
}

// takeTokenCrash resets the switch DieAfterTokens once delivered has reached it. It returns the
// downtime and whether the engine is to crash.
func (f *faultSet) takeTokenCrash(delivered int) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.DieAfterTokens == 0 || delivered < f.faults.DieAfterTokens {
		return 0, false
	}
	f.faults.DieAfterTokens = 0
	return time.Duration(f.faults.DownMs) * time.Millisecond, true
}

// crashesOn returns the downtime and whether a request with this body crashes the engine.
func (f *faultSet) crashesOn(body []byte) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.CrashOn == "" || !bytes.Contains(body, []byte(f.faults.CrashOn)) {
		return 0, false
	}
	return time.Duration(f.faults.DownMs) * time.Millisecond, true
}

// scaled returns a duration multiplied by the switch Slow.
func (f *faultSet) scaled(duration time.Duration) time.Duration {
	slow := f.get().Slow
	if slow == 0 {
		return duration
	}
	return time.Duration(float64(duration) * slow)
}

// runFaults are the faults that affect one run of a request.
type runFaults struct {
	loseBefore, loseAnswer, cutAnswer, failBefore, failAfter bool

	unframed bool
	cutAfter int // bytes of the body, 0 for never

	// crash makes the engine crash with the first token of the run and stay down for downTime.
	crash    bool
	downTime time.Duration
}

// draw decides the faults of a run by its ID and its number of starts.
func (f *faultSet) draw(id string, start int) runFaults {
	faults := f.get()
	occurs := func(name string, share float64) bool {
		return share > 0 && f.random(name+"\x00"+id, uint64(start)) < share
	}
	cutAfter := faults.CutAfter
	if faults.CutShare > 0 && cutAfter > 0 {
		after := 1 + int(f.random("cut_after\x00"+id, uint64(start))*float64(cutAfter))
		cutAfter = 0
		if occurs("cut_share", faults.CutShare) {
			cutAfter = after
		}
	}
	return runFaults{
		loseBefore: occurs("lose_before", faults.LoseBefore),
		loseAnswer: occurs("lose_answer", faults.LoseAnswer),
		cutAnswer:  occurs("cut_answer", faults.CutAnswer),
		failBefore: occurs("fail_before", faults.FailBefore),
		failAfter:  occurs("fail_after", faults.FailAfter),
		unframed:   occurs("unframed", faults.Unframed),
		cutAfter:   cutAfter,
	}
}

// random returns a pseudo-random number in [0, 1) that depends only on the seed and the
// arguments.
func (f *faultSet) random(name string, number uint64) float64 {
	const steps = 1 << 53
	return float64(hashNumbers(name, f.seed, number)%steps) / steps
}

// hashNumbers hashes a text and numbers.
func hashNumbers(text string, numbers ...uint64) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(text)
	var encoded [8]byte
	for _, number := range numbers {
		binary.LittleEndian.PutUint64(encoded[:], number)
		_, _ = digest.Write(encoded[:])
	}
	return digest.Sum64()
}

// withJitter varies a duration uniformly by up to share in both directions.
func (f *faultSet) withJitter(duration time.Duration, share float64, id string, number uint64) time.Duration {
	if share == 0 {
		return duration
	}
	factor := 1 + share*(2*f.random("jitter\x00"+id, number)-1)
	return time.Duration(math.Round(float64(duration) * factor))
}

// waitWhileFrozen returns nil once no freeze is active, or the error of ctx.
func (f *faultSet) waitWhileFrozen(ctx context.Context) error {
	for frozen := f.remainingFreeze(); frozen > 0; frozen = f.remainingFreeze() {
		if err := pause(ctx, frozen); err != nil {
			return err
		}
	}
	return nil
}
