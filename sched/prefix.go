package sched

import "slices"

// PrefixBlockTokens is the number of prompt tokens that one digest of Request.Prefix stands for. A CacheHint
// matches only if its digest is of blocks of the same size.
const PrefixBlockTokens = 64

const (
	// minAffinityTokens is the prompt length, in tokens, from which on the prefix cache influences where a request
	// goes.
	minAffinityTokens = 256
	// serversPerPrefix bounds the servers remembered per digest.
	serversPerPrefix = 4
)

// prefixTable records to which servers prompts with a prefix were sent, since they probably have it cached. It is a
// bounded LRU table, filled by own dispatches and corrected by cache events, which arrive late and incompletely.
type prefixTable struct {
	bound   int
	entries map[uint64]*prefixEntry
	newest  *prefixEntry
	oldest  *prefixEntry
}

type prefixEntry struct {
	digest  uint64
	servers []string // most recent first
	newer   *prefixEntry
	older   *prefixEntry
}

func newPrefixTable(bound int) *prefixTable {
	return &prefixTable{bound: bound, entries: map[uint64]*prefixEntry{}}
}

// addAll records that a prompt with these digests was sent to the server.
func (t *prefixTable) addAll(server string, digests []uint64) {
	for _, digest := range digests {
		t.add(server, digest)
	}
}

func (t *prefixTable) add(server string, digest uint64) {
	e := t.entries[digest]
	if e == nil {
		e = &prefixEntry{digest: digest}
		t.entries[digest] = e
	} else {
		t.unlink(e)
	}
	t.pushFront(e)
	if at := slices.Index(e.servers, server); at >= 0 {
		e.servers = slices.Delete(e.servers, at, at+1)
	}
	e.servers = slices.Insert(e.servers, 0, server)
	e.servers = e.servers[:min(len(e.servers), serversPerPrefix)]
	if len(t.entries) > t.bound {
		t.remove(t.oldest)
	}
}

// applyHint applies a cache event of a server.
func (t *prefixTable) applyHint(server string, digest uint64, evicted bool) {
	if !evicted {
		t.add(server, digest)
		return
	}
	e := t.entries[digest]
	if e == nil {
		return
	}
	if at := slices.Index(e.servers, server); at >= 0 {
		e.servers = slices.Delete(e.servers, at, at+1)
	}
	if len(e.servers) == 0 {
		t.remove(e)
	}
}

// cachedBlocks returns how many of the digests the server probably has cached. Each digest covers all before it.
func (t *prefixTable) cachedBlocks(server string, digests []uint64) int {
	for n := len(digests); n > 0; n-- {
		if e := t.entries[digests[n-1]]; e != nil && slices.Contains(e.servers, server) {
			return n
		}
	}
	return 0
}

// holders returns the servers with the longest known prefix, most recent first.
func (t *prefixTable) holders(digests []uint64) []string {
	for n := len(digests); n > 0; n-- {
		if e := t.entries[digests[n-1]]; e != nil {
			return e.servers
		}
	}
	return nil
}

func (t *prefixTable) remove(e *prefixEntry) {
	t.unlink(e)
	delete(t.entries, e.digest)
}

func (t *prefixTable) pushFront(e *prefixEntry) {
	e.older = t.newest
	if t.newest != nil {
		t.newest.newer = e
	}
	t.newest = e
	if t.oldest == nil {
		t.oldest = e
	}
}

func (t *prefixTable) unlink(e *prefixEntry) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		t.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		t.oldest = e.newer
	}
	e.newer, e.older = nil, nil
}

// prefixServers returns the suitable servers that hold the stream to resume or, for a prompt of at least
// minAffinityTokens, probably have its prefix cached.
func (s *Scheduler) prefixServers(r *request, suits func(*request, *server) bool) []*server {
	var picked []*server
	if r.resume != nil {
		if v := s.servers[r.resume.server]; v != nil && r.pool.has(v) && suits(r, v) {
			picked = append(picked, v)
		}
	}
	if r.PromptTokens < minAffinityTokens {
		return picked
	}
	for _, name := range s.prefixes.holders(r.Prefix) {
		v := s.servers[name]
		if v != nil && r.pool.has(v) && suits(r, v) && !slices.Contains(picked, v) {
			picked = append(picked, v)
		}
	}
	return picked
}

func (p *pool) has(v *server) bool {
	return slices.Contains(v.pools, p)
}

// cachedTokens estimates how many tokens of the prompt the server needn't compute.
func (s *Scheduler) cachedTokens(r *request, v *server) uint32 {
	if r.resume != nil && r.resume.server == v.name && v.room.GetResume() {
		return r.PromptTokens
	}
	if len(r.Prefix) == 0 {
		return 0
	}
	return min(uint32(s.prefixes.cachedBlocks(v.name, r.Prefix)*PrefixBlockTokens), r.PromptTokens)
}
