// Package session is the side of entries and agents towards the control instances.
//
// A Session keeps a link with every control instance, holds the newest configuration and directory, proposes
// commands, and passes orders on. It also answers the two questions that decide whether a process may take work:
// Ready says whether it has seen the state as confirmed by a quorum, and CutOff whether a newer configuration might be
// in force without it, see Freshness.
package session
