package quorum

import "strings"

// ID identifies a replica: the instance that it runs on and the identity of its
// disk, joined by a slash. An instance whose disk was wiped gets a new ID.
// Under its old ID it could vote twice in a term, or vote without entries that
// it had acknowledged, and the failure of one more replica would then lose a
// committed entry.
type ID string

// NoID is the zero ID, which identifies no replica.
const NoID ID = ""

// MakeID returns the ID of the replica on the given instance with the given
// disk identity. The disk identity must not contain a slash.
func MakeID(instance, disk string) ID {
	return ID(instance + "/" + disk)
}

// Instance returns the instance part of the ID, or the whole ID if it has no
// slash.
func (id ID) Instance() string {
	i := strings.LastIndexByte(string(id), '/')
	if i < 0 {
		return string(id)
	}
	return string(id[:i])
}

// Disk returns the disk identity part of the ID, or the whole ID if it has no
// slash.
func (id ID) Disk() string {
	return string(id[strings.LastIndexByte(string(id), '/')+1:])
}
