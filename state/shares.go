package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// usageShares holds how much of each organisation's usage cap each entry may use.
//
// The invariant of usage caps: the shares of a cap that are held never add up to more than the cap plus the tolerance
// that operators configure, and in any window an entry uses no more than its share. Thus no window exceeds this
// bound, regardless of lost or delayed messages, of crashes, and of whether control is reachable. Three rules
// maintain it: a share is raised only as far as the sum allows; it is lowered only by its holder, which reduces its
// use before it proposes that; and the share of a holder that has died stays held until its use has left the window,
// see [quota.Releaser].
type usageShares struct {
	holders map[shareHolder]*heldShares
	totals  map[string]uint64 // by organisation, the sum over all holders
	ended   map[string]uint64 // by organisation, the sum over the holders that have ended
}

// shareHolder is one incarnation of an entry.
type shareHolder struct {
	entry       string
	incarnation uint64
}

func (h shareHolder) compare(other shareHolder) int {
	return cmp.Or(cmp.Compare(h.entry, other.entry), cmp.Compare(h.incarnation, other.incarnation))
}

// heldShares are the shares of one holder.
type heldShares struct {
	sequence uint64 // of the last applied proposal
	units    map[string]uint64
	windowMS uint32 // of the usage window at the last applied proposal
	ended    bool   // the entry uses nothing, or stops when its lease expires
	replaced bool   // a later incarnation of the entry is registered, so this one is dead
}

func newUsageShares() usageShares {
	return usageShares{
		holders: make(map[shareHolder]*heldShares),
		totals:  make(map[string]uint64),
		ended:   make(map[string]uint64),
	}
}

// moveShares sets the shares of a registered entry and returns them. Units by which a share is lowered are available
// to other entries at once, so the entry must respect the lower share before it proposes it. A proposal that is not
// newer than the last applied one changes nothing.
func (s *State) moveShares(cmd *wire.MoveShares) *wire.CommandResult {
	holder := shareHolder{cmd.GetEntry(), cmd.GetIncarnation()}
	if listed := s.entries[holder.entry]; listed == nil || listed.GetIncarnation() != holder.incarnation {
		return refuse(result.AttemptSuperseded, "incarnation %d of entry %s is not listed", holder.incarnation, holder.entry)
	}
	held := s.shares.holders[holder]
	if held == nil {
		held = &heldShares{units: make(map[string]uint64)}
		s.shares.holders[holder] = held
	}
	if cmd.GetSequence() > held.sequence {
		held.sequence = cmd.GetSequence()
		held.windowMS = cmd.GetTolerance().GetWindowMs()
		for _, share := range cmd.GetShares() {
			s.adjustShare(held, share, cmd.GetTolerance())
		}
	}
	res := accepted()
	for _, share := range cmd.GetShares() {
		name := share.GetOrganisation()
		res.Shares = append(res.Shares, &wire.Share{
			Organisation: name,
			Units:        held.units[name],
			Others:       s.shares.totals[name] - held.units[name],
		})
	}
	return res
}

// adjustShare lowers a share as requested, or raises it as far as the sum of all shares allows.
//
// It is raised from what its holder currently applies. After the cap was lowered that is less than what is held here,
// because each holder scales its share at once: if it were raised from the held value, the shares would add up to the
// higher cap again.
func (s *State) adjustShare(held *heldShares, requested *wire.Share, tolerance *wire.CapTolerance) {
	name := requested.GetOrganisation()
	current, bound := min(held.units[name], requested.GetUses()), uint64(0)
	if member := s.organisation(name); member != nil {
		bound = tolerance.Bound(member)
	}
	units := requested.GetUnits()
	if units > current {
		others := s.shares.totals[name] - held.units[name]
		units = max(current, min(units, bound-min(others, bound)))
	}
	s.shares.set(held, name, units)
}

// organisation returns an organisation of the current desired state, nil if there is none of that name.
func (s *State) organisation(name string) *wire.Member {
	for _, member := range s.desired.GetOrganisations() {
		if member.GetName() == name {
			return member
		}
	}
	return nil
}

// set sets the units of a holder and updates the totals of the organisation.
func (s *usageShares) set(held *heldShares, name string, units uint64) {
	addUnits(s.totals, name, units-held.units[name])
	if held.ended {
		addUnits(s.ended, name, units-held.units[name])
	}
	held.units[name] = units
	if units == 0 {
		delete(held.units, name)
	}
}

// addUnits adds units, which wrap around for a decrease, to a total.
func addUnits(totals map[string]uint64, name string, units uint64) {
	totals[name] += units
	if totals[name] == 0 {
		delete(totals, name)
	}
}

// end marks a holder as ended.
func (s *usageShares) end(holder shareHolder, held *heldShares) {
	if !held.ended {
		held.ended = true
		for name, units := range held.units {
			addUnits(s.ended, name, units)
		}
	}
	s.removeIfEmpty(holder)
}

// releaseShares lowers the shares of a holder that has ended. It never raises a share.
func (s *State) releaseShares(cmd *wire.ReleaseShares) *wire.CommandResult {
	holder := shareHolder{cmd.GetEntry(), cmd.GetIncarnation()}
	held := s.shares.holders[holder]
	if held == nil || !held.ended {
		return accepted()
	}
	for _, share := range cmd.GetShares() {
		name := share.GetOrganisation()
		s.shares.set(held, name, min(share.GetUnits(), held.units[name]))
	}
	s.shares.removeIfEmpty(holder)
	return accepted()
}

// removeIfEmpty removes a holder that has ended and holds nothing.
func (s *usageShares) removeIfEmpty(holder shareHolder) {
	if held := s.holders[holder]; held != nil && held.ended && len(held.units) == 0 {
		delete(s.holders, holder)
	}
}

// endShareHolder marks an entry as ended. Its shares stay held: its use is in the current window, and it may not have
// learnt of its end.
func (s *State) endShareHolder(entry string, incarnation uint64) {
	holder := shareHolder{entry, incarnation}
	if held := s.shares.holders[holder]; held != nil {
		s.shares.end(holder, held)
	}
}

// endReplacedHolders marks all earlier incarnations of an entry as ended and dead.
func (s *State) endReplacedHolders(entry string, incarnation uint64) {
	for holder, held := range s.shares.holders {
		if holder.entry == entry && holder.incarnation < incarnation {
			held.replaced = true
			s.shares.end(holder, held)
		}
	}
}

// TotalHeldUnits returns how many units of an organisation's cap all holders hold together.
func (s *State) TotalHeldUnits(organisation string) uint64 { return s.shares.totals[organisation] }

// HeldByOthers returns how many units of an organisation's cap all incarnations of entries except one hold, and how many
// of them are held by incarnations that have ended.
func (s *State) HeldByOthers(entry string, incarnation uint64, organisation string) (others, ended uint64) {
	return s.shares.totals[organisation] - s.HeldUnits(entry, incarnation, organisation), s.shares.ended[organisation]
}

// HeldUnits returns how many units of an organisation's cap one incarnation of an entry holds.
func (s *State) HeldUnits(entry string, incarnation uint64, organisation string) uint64 {
	held := s.shares.holders[shareHolder{entry, incarnation}]
	if held == nil {
		return 0
	}
	return held.units[organisation]
}

// SharesOfEndedEntries returns the shares that ended entries hold, sorted by holder and organisation. Usually
// there are none, and the leader calls it 10 times per second.
func (s *State) SharesOfEndedEntries() []*wire.HeldShares {
	return s.shares.records(func(held *heldShares) bool { return held.ended })
}

// HeldShares returns all shares, sorted by holder and organisation.
func (s *State) HeldShares() []*wire.HeldShares {
	return s.shares.records(func(*heldShares) bool { return true })
}

// records returns the shares of the selected holders, sorted by holder and organisation.
func (s *usageShares) records(include func(*heldShares) bool) []*wire.HeldShares {
	var holders []shareHolder
	for holder, held := range s.holders {
		if include(held) {
			holders = append(holders, holder)
		}
	}
	slices.SortFunc(holders, shareHolder.compare)
	var list []*wire.HeldShares
	for _, holder := range holders {
		list = append(list, s.holders[holder].record(holder))
	}
	return list
}

func (h *heldShares) record(holder shareHolder) *wire.HeldShares {
	record := &wire.HeldShares{
		Entry:       holder.entry,
		Incarnation: holder.incarnation,
		Sequence:    h.sequence,
		Ended:       h.ended,
		Replaced:    h.replaced,
		WindowMs:    h.windowMS,
	}
	for _, name := range slices.Sorted(maps.Keys(h.units)) {
		record.Shares = append(record.Shares, &wire.Share{Organisation: name, Units: h.units[name]})
	}
	return record
}

func (s *usageShares) restore(records []*wire.HeldShares) {
	for _, record := range records {
		held := &heldShares{
			sequence: record.GetSequence(),
			units:    make(map[string]uint64, len(record.GetShares())),
			ended:    record.GetEnded(),
			replaced: record.GetReplaced(),
			windowMS: record.GetWindowMs(),
		}
		s.holders[shareHolder{record.GetEntry(), record.GetIncarnation()}] = held
		for _, share := range record.GetShares() {
			s.set(held, share.GetOrganisation(), share.GetUnits())
		}
	}
}
