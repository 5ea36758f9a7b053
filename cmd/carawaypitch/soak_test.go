package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Bounds of a soak over real processes. SOAK_SECONDS and SOAK_SEEDS set others by hand.
const (
	soakSeconds  = 20
	soakCallers  = 4 // of each kind at each entry
	soakTokens   = 40
	soakSeries   = 2                     // of faults, which overlap
	soakPause    = 50 * time.Millisecond // of a caller between two calls
	maxSoakFault = 2 * time.Second
	soakReturn   = 15 * time.Second // in which service is back after the last fault
	// Bounds of retries. Without a budget in the entries, the faults exceed them.
	soakRetryRatio     = 0.01
	soakRetryAllowance = 3
)

// soakEnd is how a call of a soak ended for its caller.
type soakEnd string

const (
	soakWhole   soakEnd = "whole"
	soakBroken  soakEnd = "broken off" // and the caller could see that
	soakFailed  soakEnd = "failed"     // with a result code
	soakUnheard soakEnd = "no answer"
)

// soak plays faults against a cluster while callers stream and issue passes, and collects broken promises.
type soak struct {
	*cluster
	seed uint64

	mu       sync.Mutex
	ends     map[soakEnd]int
	problems []string
	keys     []string // of passes that were asked for
	answered map[string]bool
	busy     map[any]bool // processes and engines with a fault
	skewedTo string       // entry that callers reach instead of their own, empty for none
	sent     []time.Time  // requests for the model
}

// take reserves what a fault is to happen to. It returns false if that has one already.
func (s *soak) take(subject any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := !s.busy[subject]
	s.busy[subject] = true
	return taken
}

func (s *soak) release(subject any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, subject)
}

// skew lets callers reach an entry instead of their own, or their own again if it is empty.
func (s *soak) skew(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skewedTo = entry
}

// reached returns the entry that a caller of an entry reaches.
func (s *soak) reached(entry string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cmp.Or(s.skewedTo, entry)
}

func (s *soak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

func (s *soak) ended(end soakEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends[end]++
}

// client returns a client that keeps its connections until the process at their other end is gone.
func soakClient() *http.Client {
	return &http.Client{Transport: network.SingleSend{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * soakCallers}}, Timeout: callTimeout}
}

// streamOnce asks an entry for a stream and checks it: a whole one is the answer to this request, from one software version, and a
// broken one doesn't look whole.
func (s *soak) streamOnce(ctx context.Context, client *http.Client, entry, name string) {
	body := fmt.Sprintf(`{"model":"sample","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"question %s"}]}`, soakTokens, name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		s.problem("%s: %v", name, err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+s.callerKey)
	s.asked()
	got, err := client.Do(request)
	if err != nil {
		s.ended(soakUnheard)
		return
	}
	defer func() { _ = got.Body.Close() }()
	if got.StatusCode != http.StatusOK {
		s.ended(soakFailed)
		return
	}
	var text strings.Builder
	versions := map[string]bool{}
	whole := false
	lines := bufio.NewScanner(got.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == engine.StreamDone:
			whole = true
		default:
			s.addChunk(name, []byte(data), &text, versions)
		}
	}
	if ctx.Err() != nil {
		return
	}
	want, err := standin.CompletionText([]byte(body), "", soakTokens)
	switch {
	case err != nil:
		s.problem("%s: %v", name, err)
	case whole && text.String() != want:
		s.problem("%s: a whole stream has %d bytes of %d, or others", name, text.Len(), len(want))
	case !strings.HasPrefix(want, text.String()):
		s.problem("%s: a stream has a hole, or is of another request", name)
	case len(versions) > 1:
		s.problem("%s: a stream of several versions: %v", name, versions)
	case !whole && lines.Err() == nil:
		s.problem("%s: a broken stream ends like a whole one", name)
	case whole:
		s.ended(soakWhole)
	default:
		s.ended(soakBroken)
	}
}

// addChunk adds the text and the version of one event.
func (s *soak) addChunk(name string, data []byte, text *strings.Builder, versions map[string]bool) {
	var chunk struct {
		Fingerprint string `json:"system_fingerprint"`
		Choices     []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		s.problem("%s: part of an event: %q", name, data)
		return
	}
	for _, choice := range chunk.Choices {
		text.WriteString(choice.Delta.Content)
		versions[chunk.Fingerprint] = true
	}
}

// issueOnce asks an entry to issue a pass.
func (s *soak) issueOnce(ctx context.Context, client *http.Client, entry, key string) {
	s.mu.Lock()
	s.keys = append(s.keys, key)
	s.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/services/registry/issue", strings.NewReader(`{"pass":"`+key+`"}`))
	if err != nil {
		s.problem("%s: %v", key, err)
		return
	}
	request.Header.Set("Authorization", "Bearer "+s.callerKey)
	request.Header.Set("Carawaypitch-Class", "pass-issue")
	request.Header.Set("Idempotency-Key", key)
	got, err := client.Do(request)
	if err != nil {
		s.ended(soakUnheard)
		return
	}
	defer func() { _ = got.Body.Close() }()
	data, err := io.ReadAll(got.Body)
	switch {
	case err != nil:
		s.ended(soakBroken)
	case got.StatusCode != http.StatusOK:
		s.ended(soakFailed)
	case !bytes.Contains(data, []byte(`"key":"`+key+`"`)):
		s.problem("%s: an answer that isn't whole, or to another call: %q", key, data)
	default:
		s.ended(soakWhole)
		s.mu.Lock()
		s.answered[key] = true
		s.mu.Unlock()
	}
}

// call repeats a kind of call at an entry until ctx ends.
func (s *soak) call(ctx context.Context, entry string, kind int, once func(context.Context, *http.Client, string, string)) {
	client := soakClient()
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		once(ctx, client, s.reached(entry), fmt.Sprintf("k%d-%s-%d", kind, entry[len("http://127."):], n))
		select {
		case <-time.After(soakPause):
		case <-ctx.Done():
		}
	}
}

// models are the indexes of the model engines of a soak, the registries are not among them: their counts of runs must survive.
var soakModels = []int{0, 3, 4, 5}

// harmfulPart is the part of prompts that crashes the engines with the fault.
const harmfulPart = "a part that crashes engines"

// sendHarmful sends requests with the harmful part, no two alike, at all entries until ctx ends.
func (s *soak) sendHarmful(ctx context.Context) {
	client := soakClient()
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		body := fmt.Sprintf(`{"model":"sample","max_tokens":3,"messages":[{"role":"system","content":%q},{"role":"user","content":"question %d"}]}`, harmfulPart, n)
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.entryURLs[n%len(s.entryURLs)]+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			s.problem("harmful request: %v", err)
			return
		}
		request.Header.Set("Authorization", "Bearer "+s.callerKey)
		s.asked()
		if got, err := client.Do(request); err == nil {
			_ = got.Body.Close()
		}
		select {
		case <-time.After(4 * soakPause):
		case <-ctx.Done():
		}
	}
}

// fault begins a drawn fault and returns the function that ends it, nil if what it is drawn for has one already.
func (s *soak) fault(ctx context.Context, random *rand.Rand) (end func()) {
	pick := func(group []*process) *process { return group[random.IntN(len(group))] }
	stop := func(p *process, begin, end func()) func() {
		if !s.take(p) {
			return nil
		}
		begin()
		return func() { end(); s.release(p) }
	}
	killed := func(p *process) func() { return stop(p, p.kill, func() { p.start() }) }
	frozen := func(p *process) func() {
		return stop(p, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
	}
	switched := func(url, faults string) func() {
		if !s.take(url) {
			return nil
		}
		set := func(faults string) { _, _ = caller{entry: url}.post("/v1/faults", nil, faults) }
		set(faults)
		return func() { set(`{"unframed":0,"cut_share":0,"cut_after":0,"crash_on":""}`); s.release(url) }
	}
	model := soakModels[random.IntN(len(soakModels))]
	switch random.IntN(11) {
	case 0:
		return killed(pick(s.entries))
	case 1:
		return frozen(pick(s.entries))
	case 2:
		return killed(pick(s.controls))
	case 3:
		return killed(s.agents[model])
	case 4:
		return killed(s.engines[model])
	case 5:
		return frozen(pick(s.controls))
	case 6:
		return switched(s.engineURLs[model], `{"unframed":0.5,"cut_share":0.5,"cut_after":6000}`)
	case 7:
		if !s.take(harmfulPart) {
			return nil
		}
		var ends []func()
		for _, i := range soakModels {
			if end := switched(s.engineURLs[i], fmt.Sprintf(`{"crash_on":%q,"down_ms":500}`, harmfulPart)); end != nil {
				ends = append(ends, end)
			}
		}
		ctx, stop := context.WithCancel(ctx)
		var sender sync.WaitGroup
		sender.Go(func() { s.sendHarmful(ctx) })
		return func() {
			stop()
			sender.Wait()
			for _, end := range ends {
				end()
			}
			s.release(harmfulPart)
		}
	case 8:
		return s.throttled(ctx, pick(s.entries), 0.05+0.3*random.Float64())
	case 9:
		return s.allKilled()
	default:
		s.skew(s.entryURLs[random.IntN(len(s.entryURLs))])
		return func() { s.skew("") }
	}
}

// throttled lets an entry run for a share of the time only, until the returned function is called.
func (s *soak) throttled(ctx context.Context, p *process, share float64) (end func()) {
	if !s.take(p) {
		return nil
	}
	ctx, stop := context.WithCancel(ctx)
	var throttle sync.WaitGroup
	throttle.Go(func() { p.throttle(ctx, share) })
	return func() {
		stop()
		throttle.Wait()
		s.release(p)
	}
}

// allKilled kills all processes but the registries at once, unless one of them has a fault.
func (s *soak) allKilled() (end func()) {
	all := slices.Concat(s.controls, s.entries, s.agents)
	for _, i := range soakModels {
		all = append(all, s.engines[i])
	}
	for n, p := range all {
		if !s.take(p) {
			for _, taken := range all[:n] {
				s.release(taken)
			}
			return nil
		}
	}
	for _, p := range all {
		p.kill()
	}
	return func() {
		for _, p := range all {
			p.start()
		}
		for _, p := range all {
			s.release(p)
		}
	}
}

// play plays faults in series until ctx ends. Several series overlap.
func (s *soak) play(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		end := s.fault(ctx, random)
		lasts := time.Duration(random.Int64N(int64(maxSoakFault)))
		if end == nil {
			lasts = soakPause
		}
		select {
		case <-time.After(lasts):
		case <-ctx.Done():
		}
		if end != nil {
			end()
		}
		select {
		case <-time.After(lasts / 4):
		case <-ctx.Done():
		}
	}
}

// newSoak starts a cluster with three more model engines; engines alternate between two software versions.
func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	c := newCluster(t)
	engines := 0
	c.change = func(value any) {
		if e, ok := value.(*settings.Entry); ok {
			e.Limits.RetryRatio, e.Limits.RetryAllowance = soakRetryRatio, soakRetryAllowance
		}
		if e, ok := value.(*settings.Engine); ok && e.Kind == settings.KindModel {
			engines++
			e.Version = fmt.Sprintf("v%d", 1+engines%2)
		}
	}
	c.startAll("model-2", "model-3", "model-4")
	return &soak{cluster: c, seed: seed, ends: map[soakEnd]int{}, answered: map[string]bool{}, busy: map[any]bool{}}
}

func soakNumber(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// Guards, over real processes, against streams that aren't whole and look so, streams of two software versions or with a hole, passes
// that are issued twice, more retries at the engines than the deployment's bound, and a service that doesn't come back. Meanwhile,
// overlapping, processes are killed, all of them too, stand still, or run for a part of the time, engines break their answers off, a
// part of prompts crashes engines, and one entry gets all callers.
func TestSoak(t *testing.T) {
	seconds := soakNumber(t, "SOAK_SECONDS", soakSeconds)
	for seed := range soakNumber(t, "SOAK_SEEDS", 1) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSoak(t, uint64(seed))
			ctx, stop := context.WithTimeout(t.Context(), time.Duration(seconds)*time.Second)
			defer stop()
			var callers sync.WaitGroup
			for _, entry := range s.entryURLs {
				for n := range soakCallers {
					callers.Go(func() { s.call(ctx, entry, n, s.streamOnce) })
					callers.Go(func() { s.call(ctx, entry, soakCallers+n, s.issueOnce) })
				}
			}
			var series sync.WaitGroup
			for n := range soakSeries {
				series.Go(func() { s.play(ctx, rand.New(rand.NewPCG(s.seed, uint64(n)))) })
			}
			series.Wait()
			callers.Wait()
			ended := time.Now()
			s.eventually(func() bool {
				got, err := s.caller(0).post("/v1/chat/completions", nil, `{"model":"sample","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`)
				return err == nil && got.Status == http.StatusOK
			}, "the service doesn't come back")
			if took := time.Since(ended); took > soakReturn {
				s.problem("the service came back %s after the last fault", took)
			}
			passes := s.allPassRuns()
			for _, key := range s.keys {
				runs := passes[key]
				if runs > 1 || s.answered[key] && runs == 0 {
					s.problem("%s: issued %d times, answered: %t", key, runs, s.answered[key])
				}
			}
			s.checkRetries()
			t.Logf("%v, %d requests for the model", s.ends, len(s.sent))
			require.Empty(t, s.problems)
			require.Positive(t, s.ends[soakWhole])
		})
	}
}
