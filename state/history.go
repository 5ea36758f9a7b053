package state

// history holds the names changed by the last versions, so that a client which is a little behind gets only what
// changed. It is no part of the replicated state: after a restore it is empty, and clients get everything.
type history struct {
	limit int
	items []historyItem
}

type historyItem struct {
	base, version uint64 // the version before the change, and after it
	name          string
}

// add notes that the step from base to version changed name. One version may change several names.
func (h *history) add(base, version uint64, name string) {
	if len(h.items) >= h.limit {
		h.items = append(h.items[:0], h.items[len(h.items)-h.limit/2:]...)
	}
	h.items = append(h.items, historyItem{base, version, name})
}

// since returns the names changed after version, each once and in order of their last change. It returns false if
// the history doesn't reach back so far.
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
