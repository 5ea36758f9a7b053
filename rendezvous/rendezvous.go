// Package rendezvous implements rendezvous hashing: each process ranks candidates by a hash of both names. The choices of
// all processes spread evenly over the candidates, and a candidate that is added or removed changes few choices.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Rank returns the hash by which self orders other among its candidates; the candidate with the lowest rank comes first.
func Rank(self, other string) uint64 { return xxhash.Sum64String(self + "\n" + other) }
