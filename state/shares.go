package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// shares holds who may use how much of each organisation's usage cap.
//
// The invariant of usage caps: the shares of a cap that are held never add up to more than the cap with what operators
// tolerate beyond it, and in any window an entry uses no more than its share. So no window sees more, whatever messages are
// lost or late, whoever dies, and whether or not control is heard. Three guards keep it: a share is raised only as far as
// the sum allows; it is lowered only by its holder, which uses less from before it asks for that; and one of a holder that
// has died stays until its use has left the window, see [quota.Releaser].
type shares struct {
	holders map[shareHolder]*heldShares
	held    map[string]uint64 // by organisation, the sum over all holders
}

// shareHolder is one start of an entry.
type shareHolder struct {
	entry       string
	incarnation uint64
}

func (h shareHolder) compare(other shareHolder) int {
	return cmp.Or(cmp.Compare(h.entry, other.entry), cmp.Compare(h.incarnation, other.incarnation))
}

type heldShares struct {
	sequence uint64 // of the last proposal that was applied
	units    map[string]uint64
	windowMS uint32
	ended    bool // it uses nothing any more, or stops when its lease is over
	replaced bool // a later start of the same entry is there, so this one is dead
}

func newShares() shares {
	return shares{holders: make(map[shareHolder]*heldShares), held: make(map[string]uint64)}
}

// moveShares sets the shares of a listed entry. What it lowers is free for others at once, so the entry must keep to it
// from before it proposes it.
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
			s.moveShare(held, share, cmd.GetTolerance())
		}
	}
	res := accepted()
	for _, share := range cmd.GetShares() {
		name := share.GetOrganisation()
		res.Shares = append(res.Shares, &wire.Share{
			Organisation: name,
			Units:        held.units[name],
			Others:       s.shares.held[name] - held.units[name],
		})
	}
	return res
}

// moveShare lowers a share as asked, or raises it as far as the sum of all shares allows.
//
// It is raised from what its holder goes by. That is less than what is held here after the cap was lowered, when each holder
// scales its share at once: raised from what is held, shares would add up to the higher cap again.
func (s *State) moveShare(held *heldShares, asked *wire.Share, tolerance *wire.CapTolerance) {
	name := asked.GetOrganisation()
	now, most := min(held.units[name], asked.GetUses()), uint64(0)
	if member := s.member(name); member != nil {
		most = tolerance.Bound(member)
	}
	units := asked.GetUnits()
	if units > now {
		others := s.shares.held[name] - held.units[name]
		units = max(now, min(units, most-min(others, most)))
	}
	s.shares.set(held, name, units)
}

// member is an organisation of the desired state in force, nil if it has none.
func (s *State) member(name string) *wire.Member {
	for _, member := range s.desired.GetOrganisations() {
		if member.GetName() == name {
			return member
		}
	}
	return nil
}

func (s *shares) set(held *heldShares, name string, units uint64) {
	s.held[name] += units - held.units[name]
	held.units[name] = units
	if units == 0 {
		delete(held.units, name)
	}
	if s.held[name] == 0 {
		delete(s.held, name)
	}
}

// releaseShares lowers what a holder that has ended still holds. It raises nothing.
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
	s.shares.drop(holder)
	return accepted()
}

// drop forgets a holder that has ended and holds nothing.
func (s *shares) drop(holder shareHolder) {
	if held := s.holders[holder]; held != nil && held.ended && len(held.units) == 0 {
		delete(s.holders, holder)
	}
}

// endShares notes that an entry has ended. Its shares stay held: its use is in the window, and it may not know of its end.
func (s *State) endShares(entry string, incarnation uint64) {
	holder := shareHolder{entry, incarnation}
	if held := s.shares.holders[holder]; held != nil {
		held.ended = true
		s.shares.drop(holder)
	}
}

// replaceShares notes that all starts of an entry before this one are dead.
func (s *State) replaceShares(entry string, incarnation uint64) {
	for holder, held := range s.shares.holders {
		if holder.entry == entry && holder.incarnation < incarnation {
			held.ended, held.replaced = true, true
			s.shares.drop(holder)
		}
	}
}

// TotalHeldUnits is how much of an organisation's cap is held in all.
func (s *State) TotalHeldUnits(organisation string) uint64 { return s.shares.held[organisation] }

// HeldUnits is how much of an organisation's cap one start of an entry holds.
func (s *State) HeldUnits(entry string, incarnation uint64, organisation string) uint64 {
	held := s.shares.holders[shareHolder{entry, incarnation}]
	if held == nil {
		return 0
	}
	return held.units[organisation]
}

// SharesOfEndedEntries returns what entries that have ended still hold, sorted. Most of the time there are none, and the leader asks
// ten times a second.
func (s *State) SharesOfEndedEntries() []*wire.HeldShares {
	return s.shares.records(func(held *heldShares) bool { return held.ended })
}

// HeldShares returns all shares, sorted by holder and organisation.
func (s *State) HeldShares() []*wire.HeldShares {
	return s.shares.records(func(*heldShares) bool { return true })
}

// records returns what the selected holders hold.
func (s *shares) records(selects func(*heldShares) bool) []*wire.HeldShares {
	var holders []shareHolder
	for holder, held := range s.holders {
		if selects(held) {
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

func (s *shares) restore(records []*wire.HeldShares) {
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
