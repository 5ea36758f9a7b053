package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Gate decides for one backend server. It isn't safe for use by several goroutines.
type Gate struct {
	config   Config
	now      time.Time // of the present Step
	begun    time.Time // of the first Step
	actions  []Action
	sequence uint64

	entries  entryTable
	records  recordTable
	memory   memory
	kept     []keptOver // oldest first
	waiting  waiting
	runs     []*attempt // running, cancelling or unproven, in order of start
	held     []*attempt // those that hold room: offers and runs
	use      usage
	server   server
	clearing clearing
	pace     pace
	limit    limiter
	throttle backpressure.Limiter
	headroom headroom
	room     roomState
	ahead    offerDelay
	probes   probeWork
	broken   broken
	blocked  why // why the best waiting attempt has no room

	nextSweep   time.Time
	chartErrors uint64
}

// New makes a gate. It admits nothing before the backend server has announced itself and all that the engine ran
// before is proved over.
func New(config Config) *Gate {
	config = config.withDefaults()
	g := &Gate{
		config:  config,
		entries: newEntryTable(),
		records: newRecordTable(),
		memory:  newMemory(config.MaxHistoryDigests, config.OperationLifetime),
		waiting: newWaiting(),
		pace:    newPace(),
		limit:   limiter{floor: config.SlotsFloor},
	}
	if config.TrialAtStart {
		g.throttle = backpressure.NewLimiter()
	}
	return g
}

// Step takes one event and returns what the agent has to do, in order. Times must not go back.
func (g *Gate) Step(now time.Time, event Event) []Action {
	if g.begun.IsZero() {
		g.begun = now
		g.memory.begin(now)
	}
	if now.After(g.now) {
		g.now = now
	}
	g.handle(event)
	g.pump()
	g.checkEmptied()
	g.shareRoom()
	actions := g.actions
	g.actions = nil
	return actions
}

func (g *Gate) handle(event Event) {
	switch e := event.(type) {
	case Tick:
		g.tick()
	case EntryConnected:
		g.entryUp(e.Entry)
	case EntryDisconnected:
		g.entryDown(e.Entry)
	case EntryEnded:
		g.entryEnded(e.Entry)
	case MessageReceived:
		g.received(e.Entry, e.Message)
	case Announced:
		g.announced(e.Server)
	case Leaving:
		g.fireServer(onLeave)
	case Probed:
		g.probed(e)
	case EngineListed:
		g.engineListed(e)
	case EngineProgress:
		g.engineProgress(e)
	case EngineEnded:
		g.engineEnded(e)
	case EngineCancelled:
		g.engineCancelled(e)
	case EngineLoad:
		g.engineLoad(e.Load)
	case ServerObserved:
		g.heard(e.Observation)
	case SendersChanged:
		g.shareRate(e.Count)
	case ServerVerified:
		g.verified(e)
	default:
		g.chartError("unknown event")
	}
}

// sweepInterval is how often what changes slowly is looked at: deadlines, leases, expiry.
const sweepInterval = 100 * time.Millisecond

// NextTick is when the next Tick is due. While nothing waits or runs here and nothing is to be told, they may be further apart: a
// server at rest had its agent woken 50 times a second for a look that found nothing.
func (g *Gate) NextTick() time.Duration {
	if g.cleared() && g.waiting.count == 0 && len(g.held) == 0 && len(g.runs) == 0 && !g.room.dirty {
		return RestInterval
	}
	return TickInterval
}

func (g *Gate) tick() {
	g.clearing.tick(g)
	g.lapseOffers()
	g.noteThrottle()
	g.retryCancels()
	g.pace.roll(g)
	g.noteAlone()
	if g.now.Before(g.nextSweep) {
		return
	}
	g.nextSweep = g.now.Add(sweepInterval)
	g.checkServer()
	g.expireLeases()
	g.expirePresence()
	g.sweepWaiting()
	g.dropKept()
	g.records.expire(g.now)
	g.memory.age(g.now)
	g.headroom.adjust(g)
	g.probes.retryIdle(g)
}

func (g *Gate) emit(action Action) { g.actions = append(g.actions, action) }

func (g *Gate) send(entry EntryID, message *wire.AgentMessage) {
	g.emit(Send{Entry: entry, Message: message})
}

func (g *Gate) engineLoad(load engine.Load) {
	g.use.memoryCapacity = int64(load.KVCapacity)
}

// serverName is the announced name, empty before the first announcement.
func (g *Gate) serverName() string { return g.server.record.GetServer() }
