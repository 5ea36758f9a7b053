// Package poison identifies requests that crash the backend servers running them, known as poison requests or queries
// of death, and distinguishes them from requests that only ran on the same server at the time.
package poison

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request across its repetitions, which have the same method, host, target and body but a
// different request ID each time. 0 means none.
type Fingerprint uint64

// String returns the sixteen hexadecimal digits used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Content is the part of a request that stays the same when a caller repeats it.
type Content struct {
	Method string
	// Host is the Host header, or the requested model or service.
	Host string
	// Target is the path including its query.
	Target string
	// BodyDigest is the xxhash64 of the body, BodySize its length in bytes.
	BodyDigest uint64
	BodySize   int
}

// Fingerprint returns the digest of the content, which is never 0.
func (c Content) Fingerprint() Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	write := func(n uint64) {
		binary.LittleEndian.PutUint64(number[:], n)
		_, _ = digest.Write(number[:])
	}
	// Each string is preceded by its length, so that ("a", "bc") and ("ab", "c") differ.
	for _, text := range []string{c.Method, c.Host, c.Target} {
		write(uint64(len(text)))
		_, _ = digest.WriteString(text)
	}
	write(c.BodyDigest)
	write(uint64(c.BodySize))
	return Fingerprint(max(digest.Sum64(), 1))
}
