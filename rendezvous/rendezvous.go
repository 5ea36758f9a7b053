// Package rendezvous ranks others by a hash, as in rendezvous hashing: each process has an order of its own, so that the choices of
// all spread evenly, and one that comes or goes changes the choices of few.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Rank is where other stands in self's order, the lowest first.
func Rank(self, other string) uint64 { return xxhash.Sum64String(self + "\n" + other) }
