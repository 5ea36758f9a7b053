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

// healInterval is the number of faults after which all instances are reconnected
// and restarted, so that no seed leaves the group without a quorum for most of
// its run.
const healInterval = 4

// refusalBackoff is the time that a client waits after a failed operation.
const refusalBackoff = 40 * time.Millisecond

var instances = []string{"a", "b", "c"}

// operation is the input or the output of an operation on a register: a write,
// which returns the previous value, or a read, whose write field is "".
type operation struct {
	write string
	// known reports whether value is the output of the operation; it is false
	// for a write with an unknown outcome.
	value string
	known bool
}

// registerModel models a register whose writes return the previous value.
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

// history records operations. Its clock is a logical one that counts events.
type history struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

// neverReturned is the end time of an operation that may still take effect.
const neverReturned = int64(1) << 60

// add records an operation that lasted from call to end.
func (h *history) add(client int, call, end int64, in, out operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: out, Return: end,
	})
}

// runClient performs random reads and writes, most of them at the last known
// leader.
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
			// Otherwise all operations could fail while there is no leader.
			time.Sleep(refusalBackoff)
		}
	}
}

// write proposes word and records the operation unless it was refused. It
// reports whether the word was applied.
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
	// A refused write must have no effect. It is not recorded, so the checker
	// detects an effect.
	return err == nil
}

// read reads the last word and records the operation. It reports whether the
// read succeeded.
func (h *history) read(ctx context.Context, id int, r *replica.Replica, s *wordStore) (completed bool) {
	call := h.clock.Add(1)
	if _, err := r.Read(ctx); err != nil {
		return false
	}
	value := s.last()
	h.add(id, call, h.clock.Add(1), operation{}, operation{value: value, known: true})
	return true
}

// injectFault isolates or crashes a random replica, or reverts an earlier fault:
// it reconnects all instances or restarts the crashed ones.
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

// restartAll starts the replicas that do not run.
func (g *group) restartAll() {
	for _, name := range instances {
		if g.nodes[name].r == nil {
			g.start(name)
		}
	}
}

// Guards against reads of stale state, lost acknowledged writes and refused
// writes that take effect. Clients write and read at any replica while messages
// are lost and reordered, leaders are isolated and replicas lose power. The seed
// determines the faults.
func TestLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &history{}
			runSimulated(t, seed, func(t *testing.T, g *group) {
				g.lossPercent, g.maxDelay = 3, 4*time.Millisecond
				g.bootstrap(instances...)
				g.leader()
				var running sync.WaitGroup
				for id := range clientCount {
					running.Go(func() { g.runClient(h, id) })
				}
				for i := range faultCount {
					time.Sleep(150 * time.Millisecond)
					g.injectFault()
					if i%healInterval == 0 {
						g.isolate()
						g.restartAll()
					}
				}
				running.Wait()
			})
			completed := 0
			for _, o := range h.operations {
				if o.Return != neverReturned {
					completed++
				}
			}
			require.Greater(t, completed, 500, "too few operations completed")
			require.True(t, porcupine.CheckOperations(registerModel, h.operations), "not linearizable")
		})
	}
}
