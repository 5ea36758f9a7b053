package quorum

import "strings"

// ID identifies a replica: the instance it runs on and the identity of its
// disk, joined by a slash. An instance whose disk was wiped comes back under
// another ID. Were it to keep the old one, it could vote a second time in a
// term, or vote without the entries that it had acknowledged, and a committed
// entry would be lost with the next failed replica.
type ID string

// NoID is the ID of no replica.
const NoID ID = ""

// MakeID returns the ID of the replica on instance with the given disk
// identity. The disk identity must not contain a slash.
func MakeID(instance, disk string) ID {
	return ID(instance + "/" + disk)
}

// Instance returns the instance part of the ID.
func (id ID) Instance() string {
	i := strings.LastIndexByte(string(id), '/')
	if i < 0 {
		return string(id)
	}
	return string(id[:i])
}

// Disk returns the disk identity part of the ID.
func (id ID) Disk() string {
	return string(id[strings.LastIndexByte(string(id), '/')+1:])
}
