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

// registries are the engines of the cluster that are registry services.
var registries = []int{1, 2}

func (c *cluster) passRuns(key string) int {
	c.t.Helper()
	total := 0
	for _, i := range registries {
		total += totalRuns(c.t, []string{c.engineURLs[i]}, key)
	}
	return total
}

func (c *cluster) setRegistryFaults(faults any) {
	for _, i := range registries {
		c.setFaults(i, faults)
	}
}

// requireConsistentReply checks what a caller heard of a pass issuance against how often it ran.
func requireConsistentReply(t testing.TB, got reply, runs int) {
	t.Helper()
	require.LessOrEqual(t, runs, 1, "a pass was issued %d times", runs)
	if got.Status == http.StatusOK {
		require.Equal(t, 1, runs, "an answer without a run")
		return
	}
	coded := got.resultError(t)
	if coded.Ran == result.RanNo {
		require.Zero(t, runs, "told that it did not run: %s", got.Body)
	}
}

// Symptom: a pass is issued twice. Sequence: the entry is killed while the call runs at the registry; the caller sends
// it again, with the same key, at the other entry. Cause: what the first entry had dispatched was known to it alone.
func TestEntryKilledWhileIssuing(t *testing.T) {
	c := startCluster(t)
	c.setRegistryFaults(map[string]any{"slow": 300}) // about 1.5 s a call
	lost := make(chan error, 1)
	go func() {
		_, err := c.caller(0).issuePass("pass-1")
		lost <- err
	}()
	c.eventually(func() bool { return c.passRuns("pass-1") == 1 }, "the call doesn't reach a registry")
	c.entries[0].kill()
	require.Error(t, <-lost)
	got, err := c.caller(1).issuePass("pass-1")
	require.NoError(t, err)
	requireConsistentReply(t, got, c.passRuns("pass-1"))
	require.Equal(t, 1, c.passRuns("pass-1"))
}

// Symptom: a pass is issued twice, or its caller hears that it was not. Sequence: the registry runs the call and loses
// the answer; the caller sends it again at both entries. Cause: a lost answer was taken for a call that never ran.
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

// Symptom: a caller waits for ever, or is told a lie. Sequence: the agent of each registry is killed while calls run
// there, and restarts. Cause: the loss of an agent was taken for the end of its attempts.
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

// Symptom: a token is missing from an answer, or a part of it comes twice. Sequence: an engine dies in the middle of
// streams and whole answers; they go on at another engine. Cause: the other engine was told to go on after as many
// tokens as events had been delivered, but a chat's first event has none. Found by the checks of bench.
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
		want, err := standin.Text([]byte(body(i)), "sample", tokens)
		require.NoError(t, err)
		require.Equal(t, want, completionText(t, got), "call %d", i)
	}
}

// completionText puts together the text of a completion, streamed or whole.
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

// Symptom: a stream stops in the middle when its backend server leaves. Sequence: the server gets SIGTERM while it
// streams a long answer. Cause: the leave did not wait for what was in flight.
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
	c.eventually(func() bool { return c.runningStreams(0) > 0 }, "the stream doesn't start")
	c.engines[0].stop()
	got := <-done
	require.Equal(t, http.StatusOK, got.Status)
	require.True(t, strings.HasSuffix(strings.TrimSpace(string(got.Body)), "data: [DONE]"), "cut: %s", tail(string(got.Body)))
	after := c.caller(0).mustPost(t, "/v1/chat/completions", map[string]string{"Carawaypitch-Class": "summary"}, `{`+prompt+`}`)
	require.NotEqual(t, http.StatusOK, after.Status)
	require.Equal(t, result.RanNo, after.resultError(t).Ran)
}

// runningStreams counts what runs at a stand-in.
func (c *cluster) runningStreams(engine int) int {
	var list struct {
		Streams []struct{} `json:"streams"`
	}
	getJSON(c.t, c.engineURLs[engine]+"/v1/streams", &list)
	return len(list.Streams)
}

// Symptom: an entry that came back after a long cut looks ready, and every request at it is refused. Sequence: it freezes
// until control ends its incarnation, then thaws. Cause: it registered the ended incarnation again, which agents refuse
// for good. Found by the specification (docs/SPEC.md, ended_stays_ended).
func TestEntryServesAfterIncarnationEnded(t *testing.T) {
	c := startCluster(t)
	c.entries[0].signal(syscall.SIGSTOP)
	c.eventually(func() bool { return !c.isRegistered("entry-1") }, "the silent entry stays in the directory")
	c.entries[0].signal(syscall.SIGCONT)
	c.eventually(func() bool {
		got, err := c.caller(0).gateCheck()
		return err == nil && got.Status == http.StatusOK
	}, "the entry doesn't serve again")
}

// isRegistered tells whether an entry is in the directory.
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

// Symptom: an entry that is cut off goes on by an old configuration without an end. Sequence: all control instances
// freeze, which is silence and not a refusal. Cause: silence was taken for "nothing has changed".
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
	c.eventually(func() bool { return returnsOK(c.entryURLs[0] + "/readyz") }, "the entry doesn't come back")
	got, err = c.caller(0).gateCheck()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.Status, "%s", got.Body)
}

// Symptom: gate checks fail although only control is gone. Sequence: all control instances are killed: their ports
// refuse connections. Cause: a refused connection was taken for silence, though nobody can accept a change there.
func TestEntryServesWhileControlIsDown(t *testing.T) {
	c := startCluster(t)
	for _, p := range c.controls {
		p.kill()
	}
	observation := 4 * time.Second // above the bound of the settings
	deadline := time.Now().Add(observation)
	for time.Now().Before(deadline) {
		got, err := c.caller(0).gateCheck()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, got.Status, "%s", got.Body)
	}
}
