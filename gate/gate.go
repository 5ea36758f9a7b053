package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Gate makes the admission decisions for one backend server. It isn't safe for concurrent use.
type Gate struct {
	config    Config
	now       time.Time // time of the present Step
	firstStep time.Time // time of the first Step
	actions   []Action
	sequence  uint64

	entries   entryTable
	records   recordTable
	history   requestHistory
	retained  []retainedOver // oldest first
	keptBytes int64          // of answers, as counted in config.Answers
	// answersDropped is the number of the oldest of retained whose answers have been given up for want of room.
	answersDropped int
	waiting        waitingList
	runs           []*attempt // running, cancelling or unproven, in order of start
	held           []*attempt // attempts that hold room: offered, admitted early or started
	suspended      []*attempt // stopped runs whose memory the engine keeps, in order of their suspension
	suspension     suspensionControl
	usage          resourceUsage
	server         server
	clearing       clearing
	pace           pace
	limit          concurrencyLimiter
	throttle       backpressure.Limiter
	headroom       headroom
	room           roomBroadcast
	offerLatency   offerLatency
	probes         recoveryProbes
	brokenRuns     brokenRuns
	blocked        blockReason // why the best waiting attempt has no room

	nextSweep   time.Time
	chartErrors uint64
}

// New returns a gate. It admits nothing before the backend server has announced itself and everything that the
// engine ran before is proved over.
func New(config Config) *Gate {
	config = config.withDefaults()
	g := &Gate{
		config:  config,
		entries: newEntryTable(),
		records: newRecordTable(),
		history: newRequestHistory(config.MaxHistoryDigests, config.OperationLifetime),
		waiting: newWaitingList(),
		pace:    newPace(),
		limit:   concurrencyLimiter{floor: config.SlotsFloor},

		suspension: newSuspensionControl(),
	}
	if config.TrialAtStart {
		g.throttle = backpressure.NewLimiter()
	}
	return g
}

// Step processes one event and returns the actions that the agent has to carry out, in order. An earlier time than
// that of the previous Step counts as the same time.
func (g *Gate) Step(now time.Time, event Event) []Action {
	if g.firstStep.IsZero() {
		g.firstStep = now
		g.history.start(now)
	}
	if now.After(g.now) {
		g.now = now
	}
	g.handle(event)
	g.schedule()
	g.checkDrained()
	g.broadcastRoom()
	actions := g.actions
	g.actions = nil
	return actions
}

func (g *Gate) handle(event Event) {
	switch e := event.(type) {
	case Tick:
		g.tick()
	case EntryConnected:
		g.entryConnected(e.Entry)
	case EntryDisconnected:
		g.entryDisconnected(e.Entry)
	case EntryEnded:
		g.entryEnded(e.Entry)
	case MessageReceived:
		g.handleMessage(e.Entry, e.Message)
	case Announced:
		g.handleAnnounced(e.Server)
	case Leaving:
		g.fireServer(onLeave)
	case Probed:
		g.handleProbed(e)
	case EngineListed:
		g.engineListed(e)
	case EngineProgress:
		g.engineProgress(e)
	case ReaderWaits:
		g.readerWaits(e)
	case EngineEnded:
		g.engineEnded(e)
	case EngineCancelled:
		g.engineCancelled(e)
	case EngineSuspended:
		g.engineSuspended(e)
	case EngineLoad:
		g.engineLoad(e.Load)
	case ServerObserved:
		g.handleObservation(e.Observation)
	case SendersChanged:
		g.setSenders(e.Count)
	case ServerVerified:
		g.handleVerified(e)
	default:
		g.chartError("unknown event")
	}
}

// sweepInterval is the period of the checks that need no tick precision: deadlines, leases and expiry.
const sweepInterval = 100 * time.Millisecond

// NextTick returns the time until the next Tick is due. The interval is longer while nothing waits or runs and no
// room update is pending: an idle server would otherwise wake its agent 50 times a second for checks that find
// nothing.
func (g *Gate) NextTick() time.Duration {
	if g.cleared() && g.waiting.count == 0 && len(g.held) == 0 && len(g.runs) == 0 && len(g.suspended) == 0 && !g.room.dirty {
		return RestInterval
	}
	return TickInterval
}

func (g *Gate) tick() {
	g.clearing.tick(g)
	g.lapseOffers()
	g.checkThrottleChange()
	g.retryCancels()
	g.retrySuspensions()
	g.pace.closeWindow(g)
	g.checkExclusive()
	if g.now.Before(g.nextSweep) {
		return
	}
	g.nextSweep = g.now.Add(sweepInterval)
	g.checkSilence()
	g.expireLeases()
	g.expireOrganisations()
	g.sweepWaiting()
	g.expireRetained()
	g.countAnswers()
	g.records.expire(g.now)
	g.history.rotateIfDue(g.now)
	g.headroom.adjust(g)
	g.probes.retryIdle(g)
}

func (g *Gate) emit(action Action) { g.actions = append(g.actions, action) }

func (g *Gate) send(entry EntryID, message *wire.AgentMessage) {
	g.emit(Send{Entry: entry, Message: message})
}

func (g *Gate) engineLoad(load engine.Load) {
	g.usage.memoryCapacity = int64(load.KVCapacity)
}

// serverName returns the announced name, empty before the first announcement.
func (g *Gate) serverName() string { return g.server.record.GetServer() }
