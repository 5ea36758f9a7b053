package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/result"
)

// registries are the indices of the registry services among the engines of the cluster.
var registries = []int{1, 2}

// passRuns returns how many times the registries ran the issuance of a pass.
func (c *cluster) passRuns(key string) int {
	c.t.Helper()
	total := 0
	for _, i := range registries {
		total += totalRuns(c.t, []string{c.engineURLs[i]}, key)
	}
	return total
}

// allPassRuns returns how often each pass was issued.
func (c *cluster) allPassRuns() map[string]int {
	c.t.Helper()
	total := map[string]int{}
	for _, i := range registries {
		runs := map[string]int{}
		getJSON(c.t, c.engineURLs[i]+"/v1/runs", &runs)
		for key, n := range runs {
			total[key] += n
		}
	}
	return total
}

// setRegistryFaults sets the simulated faults of all registries.
func (c *cluster) setRegistryFaults(faults any) {
	for _, i := range registries {
		c.setFaults(i, faults)
	}
}

// requireConsistentReply checks the reply to a pass issuance against the number of runs: at most one, exactly one for a
// success, and none if the reply says that it did not run.
func requireConsistentReply(t testing.TB, got reply, runs int) {
	t.Helper()
	require.LessOrEqual(t, runs, 1, "a pass was issued %d times", runs)
	if got.Status == http.StatusOK {
		require.Equal(t, 1, runs, "success reported, but the pass was not issued")
		return
	}
	coded := got.resultError(t)
	if coded.Ran == result.RanNo {
		require.Zero(t, runs, "reported as not run, but the pass was issued: %s", got.Body)
	}
}

// The entry is killed while its call runs at the registry, and the caller retries with the same key at the other entry.
// If only the first entry knew that it had dispatched the call, the pass would be issued twice.
func TestEntryKilledWhileIssuing(t *testing.T) {
	c := startCluster(t)
	c.setRegistryFaults(map[string]any{"slow": 300}) // about 1.5 s a call
	callErr := make(chan error, 1)
	go func() {
		_, err := c.caller(0).issuePass("pass-1")
		callErr <- err
	}()
	c.eventually(func() bool { return c.passRuns("pass-1") == 1 }, "the call does not reach a registry")
	c.entries[0].kill()
	require.Error(t, <-callErr)
	got, err := c.caller(1).issuePass("pass-1")
	require.NoError(t, err)
	requireConsistentReply(t, got, c.passRuns("pass-1"))
	require.Equal(t, 1, c.passRuns("pass-1"))
}

// The registry runs the call and loses the answer, and the caller retries at both entries. If a lost answer counted as a
// call that did not run, the pass would be issued twice or reported as not issued.
func TestLostRegistryAnswerIsUnknown(t *testing.T) {
	c := startCluster(t)
	c.setRegistryFaults(map[string]any{"lose_answer": 1.0})
	first, err := c.caller(0).issuePass("pass-2")
	require.NoError(t, err)
	require.Equal(t, result.RanUnknown, first.resultError(t).Ran, "%s", first.Body)
	c.setRegistryFaults(map[string]any{})
	for entry := range c.entries {
		again, err := c.caller(entry).issuePass("pass-2")
		require.NoError(t, err)
		require.Equal(t, result.RanUnknown, again.resultError(t).Ran, "%s", again.Body)
	}
	require.Equal(t, 1, c.passRuns("pass-2"))
}

// The agent of each registry is killed while calls run there, and restarts. If the loss of an agent counted as the end of
// its attempts, a caller would get no reply or a false one.
func TestAgentKilledWhileIssuing(t *testing.T) {
	c := startCluster(t)
	c.setRegistryFaults(map[string]any{"slow": 200}) // about 1 s a call
	const calls = 4
	keys := []string{"pass-a", "pass-b", "pass-c", "pass-d"}
	replies := make([]reply, calls)
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			got, err := c.caller(i % 2).issuePass(keys[i])
			if err == nil {
				replies[i] = got
			}
		})
	}
	c.eventually(func() bool {
		total := 0
		for _, key := range keys {
			total += c.passRuns(key)
		}
		return total > 0
	}, "no call reaches a registry")
	for _, i := range registries {
		c.agents[i].kill()
		c.agents[i].start()
	}
	wait.Wait()
	for i, got := range replies {
		require.NotZero(t, got.Status, "no reply for %s", keys[i])
		requireConsistentReply(t, got, c.passRuns(keys[i]))
	}
}

// An engine crashes during streamed and unstreamed completions, which resume on another engine. The resume position must
// count tokens and not delivered events, since the first event of a chat has no token; otherwise a token is missing from
// the answer or a part of it is repeated.
func TestGenerationResumesOnAnotherEngine(t *testing.T) {
	c := startCluster(t, "model-2")
	c.setFaults(0, map[string]any{"die_after_tokens": 5, "down_ms": 500})
	const calls, tokens = 6, 40
	body := func(i int) string {
		return fmt.Sprintf(`{"model": "sample", "stream": %t, "max_tokens": %d, "messages": [{"role": "user", "content": "Question %d."}]}`,
			i%2 == 0, tokens, i)
	}
	replies := make([]reply, calls)
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			got, err := c.caller(i%2).post("/v1/chat/completions", map[string]string{"Carawaypitch-Class": "summary"}, body(i))
			if err == nil {
				replies[i] = got
			}
		})
	}
	wait.Wait()
	for i, got := range replies {
		require.Equal(t, http.StatusOK, got.Status, "%s", got.Body)
		want, err := standin.CompletionText([]byte(body(i)), "sample", tokens)
		require.NoError(t, err)
		require.Equal(t, want, completionText(t, got), "call %d", i)
	}
}

// completionText returns the text of a completion, streamed or not.
func completionText(t testing.TB, got reply) string {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(string(got.Body)) {
		line = strings.TrimSpace(strings.TrimPrefix(line, "data: "))
		if line == "" || line == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta   struct{ Content string }
				Message struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal([]byte(line), &chunk), "%s", line)
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content + choice.Message.Content)
		}
	}
	return text.String()
}

// A backend server gets SIGTERM while it streams a long answer. If its graceful leave does not wait for the requests in
// flight, the stream is truncated.
func TestServerShutdownFinishesStreams(t *testing.T) {
	c := startCluster(t)
	body := `{"model": "sample", "stream": true, "max_tokens": 150, "messages": [{"role": "user", "content": "Long."}]}`
	done := make(chan reply, 1)
	go func() {
		got, err := c.caller(0).post("/v1/chat/completions", map[string]string{"Carawaypitch-Class": "summary"}, body)
		if err != nil {
			got.Body = append(got.Body, err.Error()...)
		}
		done <- got
	}()
	c.eventually(func() bool { return c.runningStreams(0) > 0 }, "the stream does not start")
	c.engines[0].stop()
	got := <-done
	require.Equal(t, http.StatusOK, got.Status)
	require.True(t, strings.HasSuffix(strings.TrimSpace(string(got.Body)), "data: [DONE]"), "stream truncated: %s", tail(string(got.Body)))
	after := c.caller(0).mustPost(t, "/v1/chat/completions", map[string]string{"Carawaypitch-Class": "summary"}, `{`+prompt+`}`)
	require.NotEqual(t, http.StatusOK, after.Status)
	require.Equal(t, result.RanNo, after.resultError(t).Ran)
}

// runningStreams returns the number of streams in progress at a stand-in.
func (c *cluster) runningStreams(engine int) int {
	var list struct {
		Streams []struct{} `json:"streams"`
	}
	getJSON(c.t, c.engineURLs[engine]+"/v1/streams", &list)
	return len(list.Streams)
}

// An entry freezes until control ends its incarnation, and then resumes. If it registered the ended incarnation again,
// which agents reject permanently, it would look ready while every request at it is refused. The specification calls the
// rule ended_stays_ended.
func TestEntryServesAfterIncarnationEnded(t *testing.T) {
	c := startCluster(t)
	c.entries[0].signal(syscall.SIGSTOP)
	c.eventually(func() bool { return !c.isRegistered("entry-1") }, "the frozen entry stays in the directory")
	c.entries[0].signal(syscall.SIGCONT)
	c.eventually(func() bool {
		got, err := c.caller(0).gateCheck()
		return err == nil && got.Status == http.StatusOK
	}, "the resumed entry does not serve")
}

// isRegistered reports whether an entry is in the directory.
func (c *cluster) isRegistered(entry string) bool {
	status, err := c.operatorClient().Status(c.t.Context())
	require.NoError(c.t, err)
	for _, e := range status.Entries {
		if e.Instance == entry {
			return e.Registered
		}
	}
	return false
}

// All control instances freeze, so that the entry gets no messages but no refused connections either. If it took that for
// an unchanged configuration, it would admit requests under an outdated one indefinitely.
func TestEntryCutOffStopsAdmitting(t *testing.T) {
	c := startCluster(t)
	for _, p := range c.controls {
		p.signal(syscall.SIGSTOP)
	}
	c.eventually(func() bool { return !returnsOK(c.entryURLs[0] + "/readyz") }, "the entry stays ready")
	got, err := c.caller(0).gateCheck()
	require.NoError(t, err)
	require.Equal(t, result.CutOffFromControl, got.resultError(t).Code, "%s", got.Body)
	require.Equal(t, result.RanNo, got.resultError(t).Ran)
	for _, p := range c.controls {
		p.signal(syscall.SIGCONT)
	}
	c.eventually(func() bool { return returnsOK(c.entryURLs[0] + "/readyz") }, "the entry does not become ready again")
	got, err = c.caller(0).gateCheck()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.Status, "%s", got.Body)
}

// All control instances are killed, so that their ports refuse connections. No change can be accepted then; if the entry
// treated a refused connection like a missing message, gate checks would fail although only control is down.
func TestEntryServesWhileControlIsDown(t *testing.T) {
	c := startCluster(t)
	for _, p := range c.controls {
		p.kill()
	}
	observation := 4 * time.Second // longer than the entry's cut-off bound in the settings
	deadline := time.Now().Add(observation)
	for time.Now().Before(deadline) {
		got, err := c.caller(0).gateCheck()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, got.Status, "%s", got.Body)
	}
}
