package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/carawaypitch/carawaypitch/operator"
)

// classesTable writes the counts and shares of each class beside its targets.
func classesTable(w io.Writer, s operator.Status) {
	window := time.Duration(s.WindowMS) * time.Millisecond
	fmt.Fprintf(w, "\nClasses over the last %s, as heard from %d of %d entries:\n", window, s.EntriesHeard, len(s.Entries))
	fmt.Fprintln(w, "CLASS\tTIER\tMEETS\tGOOD\tLATE\tLOST\tLATE SHARE\tLATE MAX\tLOST SHARE\tLOST MAX\tREFUSED")
	for _, c := range s.Classes {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n", c.Name, c.Tier, meetsText(c),
			c.Good, c.Late, c.Lost, percent(c.LateShare), percent(c.LateMax), percent(c.LostShare), percent(c.LostMax),
			orDash(groupsText(c.RefusedByGroup)))
	}
}

// meetsText tells whether a class meets its targets: "yes", "NO", or "-" for a class without requests in the window.
func meetsText(c operator.ClassStatus) string {
	switch {
	case c.Good+c.Late+c.Lost == 0:
		return "-"
	case c.Meets:
		return "yes"
	}
	return "NO"
}

// groupsText formats counts by group of result codes, sorted by group, such as "12xx: 3, 13xx: 1".
func groupsText(groups map[string]uint64) string {
	var parts []string
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		parts = append(parts, fmt.Sprintf("%s: %d", group, groups[group]))
	}
	return strings.Join(parts, ", ")
}

// targetsTable writes the queue of each model and service, and why it lacks capacity.
func targetsTable(w io.Writer, s operator.Status) {
	fmt.Fprintln(w, "\nTARGET\tKIND\tREADY\tSERVERS\tQUEUED BY TIER\tOLDEST WAIT\tSHORT BECAUSE")
	for _, t := range s.Targets {
		servers := 0
		for _, n := range t.ServersByCondition {
			servers += n
		}
		oldest := time.Duration(t.OldestWaitMS) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", t.Name, t.Kind, t.ReadyServers, servers,
			queuedText(t.QueuedByTier), oldest, orDash(t.ShortBecause))
	}
}

// queuedText formats queue lengths by tier, tier 1 first, such as "0/2/14".
func queuedText(queued []uint32) string {
	parts := make([]string, len(queued))
	for i, n := range queued {
		parts[i] = fmt.Sprint(n)
	}
	return strings.Join(parts, "/")
}
