package capacity

// Size is a deployment whose cost is worked out.
type Size struct {
	Entries       int     // entry instances
	Agents        int     // agent instances
	Controls      int     // control instances
	Servers       int     // backend servers
	Zones         int     // availability zones
	Regions       int     //
	Organisations int     //
	Models        int     //
	Tiers         int     //
	Requests      float64 // a second, at the peak
	Tokens        float64 // generated a second, at the peak
	Changes       float64 // of configuration, a day
	Failed        float64 // instances that fail, a day
	Restarted     float64 // instances that are restarted or replaced, a day
}

// Daemons of the target of letter 1.
const (
	targetDaemons  = 390
	targetControls = 7
	targetServers  = 1700
	sharedAgents   = 340 // agents if each has five backend servers
)

// target returns what both readings of the letter have in common.
func target() Size {
	return Size{
		Controls:      targetControls,
		Servers:       targetServers,
		Zones:         6,
		Regions:       3,
		Organisations: 220,
		Models:        25,
		Tiers:         3,
		Requests:      8200,
		Tokens:        3.1e6,
		Changes:       3900,
		Failed:        17,
		Restarted:     160,
	}
}

// Beside reads the letter as 390 entry and control instances in front, with an agent beside each backend server
// besides. The page uses this reading: it is the harder one, and what the brief gives today (a slot for one process
// of the system beside each backend server).
func Beside() Size {
	s := target()
	s.Entries, s.Agents = targetDaemons-targetControls, targetServers
	return s
}

// Total reads the letter as 390 daemons of all roles, with five backend servers for each agent.
func Total() Size {
	s := target()
	s.Entries, s.Agents = targetDaemons-targetControls-sharedAgents, sharedAgents
	return s
}

// Limits of what a daemon spends on control, by letter 1.
const (
	LimitCores       = 0.017    // of a core
	LimitBytes       = 32 << 20 // of memory
	LimitBytesPerS   = 3000     // sent and received
	LimitInstances   = 7        // set aside for control
	LimitChangeDelay = 4.0      // seconds until a change is in force everywhere
)
