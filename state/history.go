package state

// history holds the names changed by recent versions, so that a client that is slightly behind gets only the changes.
// It is not part of the replicated state: after a restore it is empty, and clients get everything.
type history struct {
	limit int
	items []historyItem
}

// historyItem is one changed name.
type historyItem struct {
	base, version uint64 // the version before the change, and after it
	name          string
}

// add records that the step from version base to version changed name. One version may change several names. When the
// limit is reached, the older half is discarded.
func (h *history) add(base, version uint64, name string) {
	if len(h.items) >= h.limit {
		h.items = append(h.items[:0], h.items[len(h.items)-h.limit/2:]...)
	}
	h.items = append(h.items, historyItem{base, version, name})
}

// since returns the names changed after a version, each once, the most recently changed first. It returns false if
// the history does not reach back to the version.
func (h *history) since(version uint64) ([]string, bool) {
	if len(h.items) == 0 || version < h.items[0].base {
		return nil, false
	}
	seen := make(map[string]bool)
	var names []string
	for i := len(h.items) - 1; i >= 0 && h.items[i].version > version; i-- {
		if !seen[h.items[i].name] {
			seen[h.items[i].name] = true
			names = append(names, h.items[i].name)
		}
	}
	return names, true
}
