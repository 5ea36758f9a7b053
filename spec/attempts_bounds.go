package spec

// attemptCase is a set of bounds of the model of attempts, and what has to be seen within them.
type attemptCase struct {
	name   string
	bounds AttemptBounds
}

// attemptCases are explored one after the other; each gives room to some of the faults. All of them at once have too
// many states.
var attemptCases = []attemptCase{
	{"no fault, repeatable", AttemptBounds{Repeatable: true, Calls: 2, Attempts: 2}},
	{"no fault, not repeatable", AttemptBounds{Calls: 2, Attempts: 2}},
	{"entry crash, repeatable", AttemptBounds{Repeatable: true, Calls: 2, Attempts: 1, EntryCrashes: 1}},
	{"entry crash, not repeatable", AttemptBounds{Calls: 2, Attempts: 2, EntryCrashes: 1}},
	{"agent crash, repeatable", AttemptBounds{Repeatable: true, Calls: 1, Attempts: 2, AgentCrashes: 1}},
	{"agent crash, not repeatable", AttemptBounds{Calls: 2, Attempts: 2, AgentCrashes: 1}},
	{"both crash, not repeatable", AttemptBounds{Calls: 2, Attempts: 1, EntryCrashes: 1, AgentCrashes: 1}},
	{"both crash, repeatable", AttemptBounds{Repeatable: true, Calls: 2, Attempts: 1, EntryCrashes: 1, AgentCrashes: 1, Whole: true}},
	{"entry cut off", AttemptBounds{Repeatable: true, Calls: 2, Attempts: 1, WrongEnds: 1, AgentCrashes: 1, Whole: true}},
	{"connection lost, leave", AttemptBounds{Repeatable: true, Calls: 1, Attempts: 2, Losses: 1, Leaves: 1}},
	{"connection lost, agent crash", AttemptBounds{Repeatable: true, Calls: 1, Attempts: 2, Losses: 1, AgentCrashes: 1}},
	{"reservations", AttemptBounds{Repeatable: true, Calls: 1, Attempts: 2, Reservations: true, AgentCrashes: 1}},
}
