package origin

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

func compareOrigins(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
}

// History follows which software versions are in the directory, from its committed changes. It is not safe for concurrent use.
type History struct {
	since  time.Time // from when on all is known; zero if it was followed from its beginning
	listed map[Origin]bool
	left   map[Origin]time.Time // when the last server of a version that has none any more left
}

// NewHistory returns the history of a directory that is empty and has always been.
func NewHistory() *History {
	return &History{listed: make(map[Origin]bool), left: make(map[Origin]time.Time)}
}

// Restart begins anew with a directory whose earlier contents are not known.
func (h *History) Restart(now time.Time, servers iter.Seq[*wire.Announcement]) {
	*h = History{since: now, listed: make(map[Origin]bool), left: make(map[Origin]time.Time)}
	h.Observe(now, servers)
}

// Observe records the servers that are in the directory from now on.
func (h *History) Observe(now time.Time, servers iter.Seq[*wire.Announcement]) {
	listed := make(map[Origin]bool, len(h.listed))
	for server := range servers {
		listed[Origin{server.GetPool(), server.GetVersion()}] = true
	}
	for o := range h.listed {
		if !listed[o] {
			h.left[o] = now
		}
	}
	for o := range listed {
		delete(h.left, o)
	}
	h.listed = listed
}

// Versions returns the pools that have had servers of several versions within Retention.
func (h *History) Versions(now time.Time) *wire.PoolVersions {
	v := &wire.PoolVersions{Complete: h.since.IsZero() || now.Sub(h.since) > Retention}
	for pool, versions := range h.count(now) {
		if versions > 1 {
			v.Mixed = append(v.Mixed, pool)
		}
	}
	slices.Sort(v.Mixed)
	return v
}

// Sole returns the version of each pool that has servers, and has had servers of that version only within Retention.
func (h *History) Sole(now time.Time) map[string]string {
	count := h.count(now)
	sole := make(map[string]string, len(count))
	for o := range h.listed {
		if count[o.Pool] == 1 {
			sole[o.Pool] = o.Version
		}
	}
	return sole
}

// count returns the number of versions that each pool has had within Retention.
func (h *History) count(now time.Time) map[string]int {
	count := make(map[string]int)
	for o := range h.listed {
		count[o.Pool]++
	}
	for o, at := range h.left {
		if now.Sub(at) > Retention {
			delete(h.left, o)
			continue
		}
		count[o.Pool]++
	}
	return count
}
