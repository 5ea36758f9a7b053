package entry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: two engines write one summary, or the caller that sent again reads a fragment. Sequence: a keyed stream has
// delivered its first event; the caller sends the key again, to the same entry or another one, for the first call to end
// or for its connection to be lost meanwhile. Cause: a stream that has begun isn't taken for one that is at work, or the
// second call is joined to it in its middle.
func TestKeyedCallWhileTheFirstStreams(t *testing.T) {
	for name, second := range map[string]int{"same entry": 1, "other entry": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				agents := []*fakeAgent{r.addModel(1), r.addModel(2)}
				for _, agent := range agents {
					agent.script(func(d *dispatched) { d.frame(0, chatEvent("Hel")) }, nil)
				}
				a := r.goCall(1, chatPath, chatSSE, key("k"))
				synctest.Wait()
				b := r.goCall(second, chatPath, chatSSE, key("k"))
				time.Sleep(2 * time.Second)
				require.Equal(t, 1, ranAt(agents))
				d := startedAt(agents)[0]
				d.frame(1, chatEvent("lo"))
				d.frame(2, chatEnd)
				d.end("text/event-stream", chatEvent("Hel"), chatEvent("lo"), chatEnd)
				first, again := <-a, <-b
				require.Equal(t, 200, first.status)
				require.Contains(t, first.body, "data: [DONE]\n\n")
				require.Equal(t, first.body, again.body, "the whole answer from its beginning")
				require.Equal(t, 1, ranAt(agents))
			})
		})
	}
}

// Symptom: two engines work on one summary. Sequence: a keyed stream has begun; its caller's connection is lost; the
// caller sends again to another entry while the engine hasn't confirmed the cancel. Cause: the key is free once the
// caller is gone.
func TestKeyedCallAfterALostStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agents := []*fakeAgent{r.addModel(1), r.addModel(2)}
		for _, agent := range agents {
			agent.script(func(d *dispatched) { d.frame(0, chatEvent("Hel")) }, func(link.EntryID, *wire.Cancel) {})
		}
		ctx, leave := context.WithCancel(context.Background())
		go func() { _, _ = r.do(r.request(ctx, 1, http.MethodPost, chatPath, chatSSE, key("k"))) }()
		synctest.Wait()
		require.Equal(t, 1, ranAt(agents))
		leave()
		b := r.goCall(2, chatPath, chatSSE, key("k"))
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, ranAt(agents), "the first attempt isn't proved over")
		d := startedAt(agents)[0]
		require.NotZero(t, d.agent.cancelled())
		for _, agent := range agents {
			agent.script(nil, nil)
		}
		d.over(&wire.Over{Proof: wire.Proof_PROOF_CANCELLED})
		again := <-b
		require.Equal(t, 200, again.status, again.body)
		require.Contains(t, again.body, "data: [DONE]\n\n")
		require.Equal(t, 2, ranAt(agents), "once more, after the proof")
	})
}

// ranAt returns how many attempts were dispatched to any of the agents.
func ranAt(agents []*fakeAgent) int {
	return len(startedAt(agents))
}

func startedAt(agents []*fakeAgent) []*dispatched {
	var all []*dispatched
	for _, agent := range agents {
		all = append(all, agent.all()...)
	}
	return all
}
