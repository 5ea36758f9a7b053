// Package session connects entries and agents to the control instances.
//
// A Session keeps links to control instances, holds the newest configuration and directory, proposes commands, and
// delivers orders. It also answers the two questions that decide whether a process may take work: Ready reports whether
// a quorum has confirmed the state that the process holds, and CutOff whether a newer configuration might be in force
// without this process knowing it (see Freshness).
package session
