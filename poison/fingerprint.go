// Package poison tells apart the requests that crash the backend servers that run them, known as poison requests or
// queries of death, from those that were only beside one.
package poison

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request over its repeats, which come with the same method, host, target and body and with another
// id each time. 0 is none.
type Fingerprint uint64

// String gives the sixteen hexadecimal digits that stand in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Content is what stays the same when a caller repeats a request.
type Content struct {
	Method string
	// Host is the Host header, or the model or service that was asked for.
	Host string
	// Target is the path with its query.
	Target string
	// BodyDigest is the xxhash64 of the body, BodySize its bytes.
	BodyDigest uint64
	BodySize   int
}

// Fingerprint is the digest of the content, never 0.
func (c Content) Fingerprint() Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	write := func(n uint64) {
		binary.LittleEndian.PutUint64(number[:], n)
		_, _ = digest.Write(number[:])
	}
	// Each text comes after its length, which keeps ("a", "bc") apart from ("ab", "c").
	for _, text := range []string{c.Method, c.Host, c.Target} {
		write(uint64(len(text)))
		_, _ = digest.WriteString(text)
	}
	write(c.BodyDigest)
	write(uint64(c.BodySize))
	return Fingerprint(max(digest.Sum64(), 1))
}
