package agent

import (
	"time"

	"github.com/carawaypitch/carawaypitch/gate"
)

// Durations that are not configurable.
const (
	// engineCallTimeout bounds a short call to an engine: cancel, list, load, order.
	engineCallTimeout = 2 * time.Second
	// maxDispatchDelay is how long a dispatch may be in flight to an engine after its connection was closed. Within
	// this time the engine reads what a dead process or a closed connection left in the network.
	maxDispatchDelay = 250 * time.Millisecond
	// cancelledRunGrace is how long an engine has to end a stream after it confirmed the cancel.
	cancelledRunGrace = time.Second
	// discardTries and discardInterval bound the calls that free the memory of a suspended run.
	discardTries    = 3
	discardInterval = 200 * time.Millisecond
	// defaultSuspendedTime is how long a suspended run is kept at a server that doesn't say for how long it keeps one.
	defaultSuspendedTime = 30 * time.Second
	// expiryGrace is how much longer the record of a suspended run is kept than its handle, for a resumption in flight.
	expiryGrace = time.Second
	// returnDelay is how long after a server was told that it is drained its announcements count as a return. The last
	// announcement of a stopping server may be in flight until then.
	returnDelay = 2 * time.Second
	// departureTimeout is the silence after which a drained server leaves the directory.
	departureTimeout = gate.DefaultGoneAfter
	// announceWindow is how long a new incarnation waits for announcements before it checks whether all announced
	// servers are recovered. Every live server announces itself within a second.
	announceWindow = 1200 * time.Millisecond
	// recoveryPollInterval is the interval of that check.
	recoveryPollInterval = 50 * time.Millisecond
	// orderPollInterval is the interval at which an engine is asked for the progress of an order.
	orderPollInterval = time.Second
	// orderTimeout bounds an order. Loading a model of some hundred gigabytes takes minutes at the rate of the weight
	// store.
	orderTimeout = 30 * time.Minute
	// pollsPerCutOff is the number of polls of control within the silence after which the agent counts as cut off, so
	// that single lost polls have no effect.
	pollsPerCutOff = 4
	// drainPollInterval is the interval at which a stopping agent checks whether its servers are drained.
	drainPollInterval = 50 * time.Millisecond
	// deregisterTimeout bounds the commit of a stopping agent's deregistration.
	deregisterTimeout = 10 * time.Second
)

// Capacities of an agent.
const (
	// maxServers bounds the backend servers of one agent. Options.MaxServers overrides it.
	maxServers = 64
	// maxRuns bounds the concurrent attempts at one server. It exceeds any number of slots in use.
	maxRuns = 4096
	// inputRingCapacity is the capacity of the ring of a server's event loop.
	inputRingCapacity = 4096
	// maxInputBatch bounds the inputs that an event loop applies before it checks for a tick.
	maxInputBatch = 256
	// runBufferBytes bounds the buffered events of one attempt, in bytes.
	runBufferBytes = 1 << 20
	// engineReadBuffer bounds what the network buffers of each answer that is not read, if the agent's memory is bounded.
	// The system's own bound is several megabytes, which count towards the process.
	engineReadBuffer = 128 << 10
	// serviceChunkBytes is the size of the chunks in which a service's answer is passed on.
	serviceChunkBytes = 32 << 10
	// maxAnnouncementBytes bounds the body of an announcement or leave.
	maxAnnouncementBytes = 64 << 10
)
