package entry

import (
	"context"
	"strconv"
	"sync"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// prover asks a backend server itself to end an attempt whose agent is gone.
//
// That the engine confirms the end is a proof. That it doesn't know the attempt is one only if the dispatch can't
// reach it any more: an agent that is merely cut off from this entry could hand the dispatch to its engine a moment
// after the question, and the next attempt would run beside it. So the agent's process has to be gone: its own host
// refuses connections at its link address, before and after settleTime, within which the engine reads what the process
// had sent. A host that doesn't answer proves nothing. An agent that stops gracefully closes its link listener only when
// nothing is in flight.
type prover struct {
	entry *Entry

	mu      sync.Mutex
	address map[string]string // link address of the agent, by server
	asked   map[string]bool   // by engine.AttemptID
}

func newProver(e *Entry) *prover {
	return &prover{entry: e, address: make(map[string]string), asked: make(map[string]bool)}
}

// learn remembers where the agents of the servers are, also when they leave the directory: a dead agent soon does. A
// server has one agent, so the table grows with distinct server names only.
func (p *prover) learn(view *session.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, agent := range view.Agents {
		for _, server := range agent.GetServers() {
			p.address[server.GetServer()] = agent.GetLinkAddress()
		}
	}
}

func engineID(id *wire.AttemptID) engine.AttemptID {
	return engine.AttemptID(id.GetRequest() + "." + strconv.FormatUint(id.GetNumber(), 10))
}

// ask starts a proof unless one for the attempt is under way. The scheduler repeats it as needed.
func (p *prover) ask(a sched.ProveAtEngine) {
	id := string(engineID(a.Attempt))
	p.mu.Lock()
	busy := p.asked[id]
	p.asked[id] = true
	p.mu.Unlock()
	if busy {
		return
	}
	started := p.entry.inBackground(func(ctx context.Context) {
		defer p.forget(id)
		p.prove(ctx, a)
	})
	if !started {
		p.forget(id)
	}
}

func (p *prover) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asked, id)
}

func (p *prover) prove(ctx context.Context, a sched.ProveAtEngine) {
	bounded, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	proof := p.proofOf(bounded, a)
	p.entry.meter.proved(proof)
	if proof == wire.Proof_PROOF_UNPROVEN {
		return
	}
	_ = p.entry.tell(ctx, sched.EngineProved{Attempt: a.Attempt, Server: a.Server, Proof: proof})
}

// proofOf returns PROOF_CANCELLED if the engine confirms the end, PROOF_NEVER_STARTED if it will never see the attempt
// any more, else PROOF_UNPROVEN.
func (p *prover) proofOf(ctx context.Context, a sched.ProveAtEngine) wire.Proof {
	gone := p.agentGone(ctx, a.Server) && pause.For(ctx, settleTime) && p.agentGone(ctx, a.Server)
	said, err := p.cancelAtEngine(ctx, a)
	switch {
	case err != nil:
		return wire.Proof_PROOF_UNPROVEN
	case said == engine.CancelConfirmed:
		return wire.Proof_PROOF_CANCELLED
	case said == engine.CancelUnknownID && gone:
		return wire.Proof_PROOF_NEVER_STARTED
	default:
		return wire.Proof_PROOF_UNPROVEN
	}
}

// agentGone tells whether the host of the server's agent says that nobody listens at the agent's link address.
func (p *prover) agentGone(ctx context.Context, server string) bool {
	p.mu.Lock()
	address := p.address[server]
	p.mu.Unlock()
	if address == "" {
		return false
	}
	conn, err := p.entry.network.Dial(ctx, address)
	if err == nil {
		conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (p *prover) cancelAtEngine(ctx context.Context, a sched.ProveAtEngine) (engine.CancelResult, error) {
	client, err := engine.NewHTTP(a.Address, engine.HTTPOptions{Network: p.entry.network})
	if err != nil {
		return engine.CancelNone, err
	}
	defer client.Close()
	return client.Cancel(ctx, engineID(a.Attempt))
}
