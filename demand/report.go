// Package demand sums the demand that entries see, so that each entry knows what the others have queued. An entry reports its
// own demand with its polls, a control instance adds up the reports, and answers with the sums of the others. The package does no
// I/O, starts no goroutine and reads no clock.
package demand

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Limits of reports and summaries.
const (
	// MaxReportBytes bounds the size of a report. Two a second then take two thirds of what control may cost an entry.
	MaxReportBytes = 1024
	// MaxOrganisations bounds the organisations of a pool, in a report and in a summary.
	MaxOrganisations = 32
	// rowOverhead is the size of the tag and the length of a nested message of less than 16 KiB.
	rowOverhead = 3
	// reportOverhead is the size of a report's sequence number.
	reportOverhead = 11
)

// Trim returns the part of the pools that fits into a report: whole pools, those with most requests first, then the organisations
// with most requests, at most MaxOrganisations of a pool, then pools without demand. Classes and organisations keep their order by
// name.
//
// A pool is never reported with some of its classes, since its backlog would then appear shorter than it is.
func Trim(pools []*wire.PoolDemand) []*wire.PoolDemand {
	ordered := slices.Clone(pools)
	slices.SortStableFunc(ordered, func(a, b *wire.PoolDemand) int {
		if c := cmp.Compare(requestsOf(b), requestsOf(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.GetPool(), b.GetPool())
	})
	left := MaxReportBytes - reportOverhead
	kept := make([]*wire.PoolDemand, 0, len(ordered))
	var idle []*wire.PoolDemand
	for _, p := range ordered {
		if len(p.GetClasses()) == 0 {
			idle = append(idle, p)
			continue
		}
		without := &wire.PoolDemand{Pool: p.GetPool(), Classes: p.GetClasses(), Entries: p.GetEntries()}
		// The length of the pool's message grows by a byte once organisations are added.
		size := proto.Size(without) + rowOverhead
		if size > left {
			continue
		}
		left -= size
		kept = append(kept, without)
	}
	left = addOrganisations(kept, pools, left)
	for _, p := range idle {
		if size := proto.Size(p) + rowOverhead; size <= left {
			left -= size
			kept = append(kept, p)
		}
	}
	slices.SortFunc(kept, func(a, b *wire.PoolDemand) int { return cmp.Compare(a.GetPool(), b.GetPool()) })
	return kept
}

// addOrganisations adds the organisations of the kept pools with most requests, as many as fit into the given size, and returns the
// size that is left.
func addOrganisations(kept, pools []*wire.PoolDemand, left int) int {
	type candidate struct {
		pool         *wire.PoolDemand
		organisation *wire.OrganisationDemand
	}
	var candidates []candidate
	for _, to := range kept {
		from := pools[slices.IndexFunc(pools, func(p *wire.PoolDemand) bool { return p.GetPool() == to.GetPool() })]
		for _, o := range largest(from.GetOrganisations()) {
			candidates = append(candidates, candidate{to, o})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return compareOrganisations(a.organisation, b.organisation) })
	for _, c := range candidates {
		if size := proto.Size(c.organisation) + rowOverhead; size <= left {
			left -= size
			c.pool.Organisations = append(c.pool.Organisations, c.organisation)
		}
	}
	return left
}

// largest returns the MaxOrganisations organisations with most requests.
func largest(organisations []*wire.OrganisationDemand) []*wire.OrganisationDemand {
	sorted := slices.Clone(organisations)
	slices.SortFunc(sorted, compareOrganisations)
	return sorted[:min(len(sorted), MaxOrganisations)]
}

// compareOrganisations orders organisations by their requests, most first.
func compareOrganisations(a, b *wire.OrganisationDemand) int {
	return cmp.Or(
		cmp.Compare(uint64(b.GetQueued())+uint64(b.GetRunning()), uint64(a.GetQueued())+uint64(a.GetRunning())),
		cmp.Compare(a.GetTier(), b.GetTier()),
		cmp.Compare(a.GetOrganisation(), b.GetOrganisation()),
	)
}

func requestsOf(p *wire.PoolDemand) uint64 {
	n := uint64(0)
	for _, c := range p.GetClasses() {
		n += uint64(c.GetQueued()) + uint64(c.GetRunning())
	}
	return n
}
