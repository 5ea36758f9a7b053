package capacity

import (
	"fmt"
	"time"

	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// schedule is a scheduler without an entry around it.
type schedule struct {
	s    *sched.Scheduler
	now  time.Time
	next int
}

// scheduleModels is over how many models the servers are spread.
const scheduleModels = 25

// newSchedule makes a scheduler with so many servers that have no room, and so many requests that wait for it.
func newSchedule(servers, queued, organisations int) (*schedule, error) {
	s, err := sched.New(sched.Options{MaxQueued: queued + 1000, Seed: 1})
	if err != nil {
		return nil, err
	}
	w := &schedule{s: s, now: time.Unix(1_700_000_000, 0)}
	w.step(sched.Directory{Agents: directory(servers)})
	for i := range servers {
		w.step(sched.AgentUp{Hello: &wire.AgentHello{Agent: agentName(i), Incarnation: 1}})
		w.room(i, 0)
	}
	for range queued {
		w.arrive(organisations)
	}
	return w, nil
}

// directory is a directory of agents with one backend server and one model each.
func directory(servers int) []*wire.AgentRecord {
	var agents []*wire.AgentRecord
	for i := range servers {
		agents = append(agents, agentRecord(i, "10.20.30.40:7100"))
		agents[i].Servers[0].Models = []string{modelName(i)}
	}
	return agents
}

func modelName(i int) string { return fmt.Sprint("model-", i%scheduleModels) }

func (w *schedule) step(e sched.Event) []sched.Action { return w.s.Step(w.now, e) }

func (w *schedule) room(agent int, running uint32) {
	message := roomMessage(agent, 0)
	message.GetRoom().Targets = []string{modelName(agent)}
	message.GetRoom().Running = running
	w.step(sched.MessageReceived{Agent: agentName(agent), Incarnation: 1, Message: message})
}

func (w *schedule) arrive(organisations int) {
	w.next++
	class := &wire.Class{
		Name: fmt.Sprint("class-", w.next%settings.LowestTier), Tier: uint32(w.next%settings.LowestTier) + 1,
		DeadlineMs: 600_000, LateMax: 0.5, Repeatable: true, Kind: settings.KindModel,
	}
	w.step(sched.Arrive{Request: &sched.Request{
		ID: fmt.Sprint("r", w.next), Organisation: fmt.Sprint("organisation-", w.next%organisations), Class: class,
		Target: modelName(w.next), PromptTokens: 200, Arrived: w.now, Deadline: w.now.Add(10 * time.Minute),
	}})
}
