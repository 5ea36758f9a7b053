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

// Faults are the fault switches. Those with a share befall that share of the
// requests, decided by the seed and the request's identity alone, so that a
// run repeats whatever the order of arrival.
type Faults struct {
	// Slow multiplies all durations, for a straggler; 0 means 1.
	Slow float64 `json:"slow"`
	// LoseBefore is the share whose connection closes before they run.
	LoseBefore float64 `json:"lose_before"`
	// LoseAnswer is the share whose connection closes, with nothing
	// answered, after they ran.
	LoseAnswer float64 `json:"lose_answer"`
	// CutAnswer is the share whose answer stops half-way.
	CutAnswer float64 `json:"cut_answer"`
	// FailBefore and FailAfter are the shares that get a status 500, before
	// or after they ran: the caller can't tell which. A stream that has
	// begun gets an error event.
	FailBefore float64 `json:"fail_before"`
	FailAfter  float64 `json:"fail_after"`
	// DropCacheEvents is the share of cache events that are lost.
	DropCacheEvents float64 `json:"drop_cache_events"`
	// IgnoreCancel makes cancel calls say that the stream still runs.
	IgnoreCancel bool `json:"ignore_cancel"`
	// DieAfterTokens crashes the engine once, when a stream has delivered
	// that many tokens; 0 never. It stays down for DownMs milliseconds.
	DieAfterTokens int   `json:"die_after_tokens"`
	DownMs         int64 `json:"down_ms"`
	// CrashOn crashes the engine each time that it begins to run a request whose
	// body holds this text; empty never. It stays down for DownMs milliseconds.
	CrashOn string `json:"crash_on"`
	// RateLimit is named in all answers as the requests a second that it takes,
	// as it stands here; empty for none. It is named and not enforced.
	RateLimit string `json:"rate_limit"`
	// RefuseFor turns every run away with a status 503 that asks to keep away for
	// so long, as it stands here; empty for none.
	RefuseFor string `json:"refuse_for"`
	// Draining says in all answers that the stand-in leaves.
	Draining bool `json:"draining"`
	// FreezeMs freezes it from now on, in milliseconds: it accepts
	// connections and calls, and nothing happens.
	FreezeMs int64 `json:"freeze_ms"`
	// RefuseMs refuses new connections from now on, in milliseconds.
	RefuseMs int64 `json:"refuse_ms"`
}

// Validate gives every mistake, joined, or nil.
func (f Faults) Validate() error {
	var mistakes []error
	shares := map[string]float64{
		"lose_before": f.LoseBefore, "lose_answer": f.LoseAnswer, "cut_answer": f.CutAnswer,
		"fail_before": f.FailBefore, "fail_after": f.FailAfter, "drop_cache_events": f.DropCacheEvents,
	}
	for _, name := range []string{
		"lose_before", "lose_answer", "cut_answer", "fail_before", "fail_after", "drop_cache_events",
	} {
		if !isShare(shares[name]) {
			mistakes = append(mistakes, errors.Errorf("fault %s: must be from 0 to 1", name))
		}
	}
	if f.Slow < 0 {
		mistakes = append(mistakes, errors.New("fault slow: must not be negative"))
	}
	if f.DieAfterTokens < 0 || f.DownMs < 0 || f.FreezeMs < 0 || f.RefuseMs < 0 {
		mistakes = append(mistakes, errors.New("faults: counts and times must not be negative"))
	}
	return errors.Join(mistakes...)
}

// faultSet holds the switches in force.
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

// frozenFor is how much longer nothing happens.
func (f *faultSet) frozenFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, time.Until(f.frozenUntil))
}

// dies takes the switch DieAfterTokens once delivered tokens have reached it.
func (f *faultSet) dies(delivered int) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.DieAfterTokens == 0 || delivered < f.faults.DieAfterTokens {
		return 0, false
	}
	f.faults.DieAfterTokens = 0
	return time.Duration(f.faults.DownMs) * time.Millisecond, true
}

// kills tells whether a request with this body crashes the engine, and for how
// long.
func (f *faultSet) kills(body []byte) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.CrashOn == "" || !bytes.Contains(body, []byte(f.faults.CrashOn)) {
		return 0, false
	}
	return time.Duration(f.faults.DownMs) * time.Millisecond, true
}

// slowed is a duration under the switch Slow.
func (f *faultSet) slowed(duration time.Duration) time.Duration {
	slow := f.get().Slow
	if slow == 0 {
		return duration
	}
	return time.Duration(float64(duration) * slow)
}

// fate is what befalls one run of a request.
type fate struct {
	loseBefore, loseAnswer, cut, failBefore, failAfter bool

	// kills: the engine crashes with the run's first token and stays down.
	kills bool
	down  time.Duration
}

// fate decides by the identity and how often it was started.
func (f *faultSet) fate(id string, start int) fate {
	faults := f.get()
	befalls := func(name string, share float64) bool {
		return share > 0 && f.roll(name+"\x00"+id, uint64(start)) < share
	}
	return fate{
		loseBefore: befalls("lose_before", faults.LoseBefore),
		loseAnswer: befalls("lose_answer", faults.LoseAnswer),
		cut:        befalls("cut_answer", faults.CutAnswer),
		failBefore: befalls("fail_before", faults.FailBefore),
		failAfter:  befalls("fail_after", faults.FailAfter),
	}
}

// roll gives a number in [0, 1) that depends on the seed and the arguments.
func (f *faultSet) roll(name string, number uint64) float64 {
	const steps = 1 << 53
	return float64(hashNumbers(name, f.seed, number)%steps) / steps
}

// hashNumbers hashes a text and some numbers.
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

// jittered spreads a duration evenly by share up and down.
func (f *faultSet) jittered(duration time.Duration, share float64, id string, number uint64) time.Duration {
	if share == 0 {
		return duration
	}
	factor := 1 + share*(2*f.roll("jitter\x00"+id, number)-1)
	return time.Duration(math.Round(float64(duration) * factor))
}

// waitFrozen returns once nothing is frozen, or with the error of ctx.
func (f *faultSet) waitFrozen(ctx context.Context) error {
	for frozen := f.frozenFor(); frozen > 0; frozen = f.frozenFor() {
		if err := pause(ctx, frozen); err != nil {
			return err
		}
	}
	return nil
}
