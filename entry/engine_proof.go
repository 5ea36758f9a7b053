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

// prover asks a backend server directly to end an attempt whose agent is unreachable.
//
// The engine's confirmation that the attempt ended is a proof. An unknown attempt ID is a proof only if the dispatch
// can no longer reach the engine: an agent that is merely cut off from this entry could pass the dispatch to its engine
// just after the query, and the next attempt would run concurrently with it. So the agent's process must have ended:
// its host refuses connections at its link address, both before and after residualDataWait, within which the engine
// reads what the process has sent. A host that doesn't answer proves nothing. An agent that stops gracefully closes its
// link listener only when nothing is in flight.
type prover struct {
	entry *Entry

	mu           sync.Mutex
	agentAddress map[string]string // link address of the agent, by server
	running      map[string]bool   // proofs in progress, by engine.AttemptID
}

func newProver(e *Entry) *prover {
	return &prover{entry: e, agentAddress: make(map[string]string), running: make(map[string]bool)}
}

// recordAddresses records the link addresses of the servers' agents. They are kept when an agent leaves the directory,
// as a crashed agent soon does. A server has one agent, so the table grows only with the number of distinct server
// names.
func (p *prover) recordAddresses(view *session.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, agent := range view.Agents {
		for _, server := range agent.GetServers() {
			p.agentAddress[server.GetServer()] = agent.GetLinkAddress()
		}
	}
}

func engineID(id *wire.AttemptID) engine.AttemptID {
	return engine.AttemptID(id.GetRequest() + "." + strconv.FormatUint(id.GetNumber(), 10))
}

// start starts a proof unless one for the attempt is in progress. The scheduler repeats the request as needed.
func (p *prover) start(a sched.ProveAtEngine) {
	id := string(engineID(a.Attempt))
	p.mu.Lock()
	inProgress := p.running[id]
	p.running[id] = true
	p.mu.Unlock()
	if inProgress {
		return
	}
	started := p.entry.inBackground(func(ctx context.Context) {
		defer p.removeRunning(id)
		p.prove(ctx, a)
	})
	if !started {
		p.removeRunning(id)
	}
}

func (p *prover) removeRunning(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, id)
}

func (p *prover) prove(ctx context.Context, a sched.ProveAtEngine) {
	bounded, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	proof := p.obtainProof(bounded, a)
	p.entry.meter.countProof(proof)
	if proof == wire.Proof_PROOF_UNPROVEN {
		return
	}
	_ = p.entry.postEvent(ctx, sched.EngineProved{Attempt: a.Attempt, Server: a.Server, Proof: proof})
}

// obtainProof returns PROOF_CANCELLED if the engine confirms that the attempt ended, PROOF_NEVER_STARTED if the attempt
// can no longer reach the engine, and PROOF_UNPROVEN otherwise.
func (p *prover) obtainProof(ctx context.Context, a sched.ProveAtEngine) wire.Proof {
	agentEnded := p.agentGone(ctx, a.Server) && pause.For(ctx, residualDataWait) && p.agentGone(ctx, a.Server)
	cancelResult, err := p.cancelAtEngine(ctx, a)
	switch {
	case err != nil:
		return wire.Proof_PROOF_UNPROVEN
	case cancelResult == engine.CancelConfirmed:
		return wire.Proof_PROOF_CANCELLED
	case cancelResult == engine.CancelUnknownID && agentEnded:
		return wire.Proof_PROOF_NEVER_STARTED
	default:
		return wire.Proof_PROOF_UNPROVEN
	}
}

// agentGone reports whether the host of the server's agent refuses connections at the agent's link address.
func (p *prover) agentGone(ctx context.Context, server string) bool {
	p.mu.Lock()
	address := p.agentAddress[server]
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
