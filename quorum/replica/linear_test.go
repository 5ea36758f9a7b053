package replica_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
)

const (
	clientCount         = 5
	operationsPerClient = 250
	faultCount          = 25
)

// healInterval is after how many faults everything is mended, so that a seed
// cannot leave the group without a quorum for most of its run.
const healInterval = 4

// refusalBackoff is how long a client waits after a refusal.
const refusalBackoff = 40 * time.Millisecond

var instances = []string{"a", "b", "c"}

// operation on a register: a write, which returns the value before it, or a
// read.
type operation struct {
	write string
	// known is false for the output of a write whose outcome is unknown.
	value string
	known bool
}

// registerModel is a register whose writes return the value before.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(operation), output.(operation)
		consistent := !out.known || out.value == state.(string)
		if in.write == "" {
			return consistent, state
		}
		return consistent, in.write
	},
}

// history records operations. Its clock counts events.
type history struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

// neverReturned is the end of an operation that may still take effect.
const neverReturned = int64(1) << 60

func (h *history) add(client int, call, end int64, in, out operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: out, Return: end,
	})
}

// runClient does operations at whichever replica leads.
func (g *group) runClient(h *history, id int) {
	leader := ""
	for i := range operationsPerClient {
		g.mu.Lock()
		n := g.nodes[instances[g.rng.IntN(len(instances))]]
		if hint := g.nodes[leader]; hint != nil && g.rng.IntN(5) > 0 {
			n = hint
		}
		r, store := n.r, n.store
		write := g.rng.IntN(2) == 0
		g.mu.Unlock()
		time.Sleep(7 * time.Millisecond)
		if r == nil {
			leader = ""
			time.Sleep(refusalBackoff)
			continue
		}
		leader = r.Status().Leader.Instance()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		completed := false
		if write {
			completed = h.write(ctx, id, r, fmt.Sprintf("%d.%d", id, i))
		} else {
			completed = h.read(ctx, id, r, store)
		}
		cancel()
		if !completed {
			// Otherwise all operations could be spent while nobody leads.
			time.Sleep(refusalBackoff)
		}
	}
}

func (h *history) write(ctx context.Context, id int, r *replica.Replica, word string) (completed bool) {
	call := h.clock.Add(1)
	applied, err := r.Propose(ctx, []byte(word))
	in := operation{write: word}
	switch {
	case err == nil:
		h.add(id, call, h.clock.Add(1), in, operation{value: string(applied.Result), known: true})
	case errors.Is(err, replica.ErrUnknownOutcome):
		h.add(id, call, neverReturned, in, operation{})
	}
	// A refusal promises that there is no effect: the checker finds out.
	return err == nil
}

func (h *history) read(ctx context.Context, id int, r *replica.Replica, s *wordStore) (completed bool) {
	call := h.clock.Add(1)
	if _, err := r.Read(ctx); err != nil {
		return false
	}
	value := s.last()
	h.add(id, call, h.clock.Add(1), operation{}, operation{value: value, known: true})
	return true
}

// injectFault does something bad, or mends it.
func (g *group) injectFault() {
	var nodes []*node
	for _, name := range instances {
		nodes = append(nodes, g.nodes[name])
	}
	g.mu.Lock()
	n := nodes[g.rng.IntN(len(nodes))]
	kind := g.rng.IntN(6)
	g.mu.Unlock()
	leads := n.r != nil && n.r.Status().Role == quorum.RoleLeader
	switch {
	case kind == 0 || leads && kind == 1:
		g.isolate(n.instance)
	case kind == 1 || kind == 5:
		g.isolate()
	case kind == 2 && n.r != nil:
		g.crash(n)
	default:
		g.restartAll()
	}
}

func (g *group) restartAll() {
	for _, name := range instances {
		if g.nodes[name].r == nil {
			g.start(name)
		}
	}
}

// Symptom: a read returns old state, an acknowledged write is gone, or a
// refused one took effect.
// Sequence: clients write and read at any replica while messages are lost and
// reordered, leaders are cut off and replicas lose power.
// Cause: see the history; the seed repeats the faults.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &history{}
			runSimulated(t, seed, func(t *testing.T, g *group) {
				g.lossPercent, g.maxDelay = 3, 4*time.Millisecond
				g.bootstrap(instances...)
				g.leader()
				var wait sync.WaitGroup
				for id := range clientCount {
					wait.Go(func() { g.runClient(h, id) })
				}
				for i := range faultCount {
					time.Sleep(150 * time.Millisecond)
					g.injectFault()
					if i%healInterval == 0 {
						g.isolate()
						g.restartAll()
					}
				}
				wait.Wait()
			})
			completed := 0
			for _, o := range h.operations {
				if o.Return != neverReturned {
					completed++
				}
			}
			require.Greater(t, completed, 500, "too little happened")
			require.True(t, porcupine.CheckOperations(registerModel, h.operations), "not linearizable")
		})
	}
}
