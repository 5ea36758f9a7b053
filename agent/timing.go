package agent

import (
	"time"

	"github.com/carawaypitch/carawaypitch/gate"
)

// Durations that settings don't change.
const (
	// engineCallTimeout bounds a short call to an engine: cancel, list, load, order.
	engineCallTimeout = 2 * time.Second
	// maxDispatchDelay is how long a dispatch may be under way to an engine after its connection was closed. What a dead
	// process or a closed connection left in the network is read by the engine within it.
	maxDispatchDelay = 250 * time.Millisecond
	// cancelledRunGrace is how long the engine's own end of a stream is awaited after it confirmed the cancel.
	cancelledRunGrace = time.Second
	// returnDelay is how long after a server was told that it is drained its announcements count again. A stopping
	// server's last announcement may be under way then.
	returnDelay = 2 * time.Second
	// departureTimeout is the silence after which a drained server leaves the directory.
	departureTimeout = gate.DefaultGoneAfter
	// announceWindow is how long a new incarnation waits for announcements before it counts its servers. Every living
	// server announces itself within a second.
	announceWindow = 1200 * time.Millisecond
	// recoveryPollInterval is how often it then looks whether all of them are proved free.
	recoveryPollInterval = 50 * time.Millisecond
	// orderPollInterval is the interval at which an engine is asked how far an order is.
	orderPollInterval = time.Second
	// orderTimeout bounds an order. A model of some hundred gigabytes takes minutes at the weight store's rate.
	orderTimeout = 30 * time.Minute
	// pollsPerCutOff is how often control is polled within the bound on its silence, so that lost polls change nothing.
	pollsPerCutOff = 4
	// drainPollInterval is how often a stopping agent looks whether its servers are drained.
	drainPollInterval = 50 * time.Millisecond
	// deregisterTimeout bounds how long a stopping agent tries to commit its removal.
	deregisterTimeout = 10 * time.Second
)

// Bounds of what an agent holds.
const (
	// maxServers bounds the backend servers of one agent, unless its options say more.
	maxServers = 64
	// maxRuns bounds the attempts that run at one server at a time, above any number of slots in use.
	maxRuns = 4096
	// inputRingCapacity is the capacity of a gate duty's ring.
	inputRingCapacity = 4096
	// maxInputBatch is how many inputs a gate duty takes before it looks at its clock again.
	maxInputBatch = 256
	// runBufferBytes bounds the events of one attempt that its gate hasn't taken yet.
	runBufferBytes = 1 << 20
	// serviceChunkBytes is the size of the chunks in which a service's answer is passed on.
	serviceChunkBytes = 32 << 10
	// maxAnnouncementBytes bounds the body of an announcement or leave.
	maxAnnouncementBytes = 64 << 10
)
