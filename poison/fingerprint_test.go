package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Requests that differ in any part, or only in where one part ends and the next begins, must have different
// fingerprints.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	one := Content{Method: "POST", Host: "a.example", Target: "/chat/1", BodyDigest: 7, BodySize: 3}
	require.Equal(t, one.Fingerprint(), one.Fingerprint())
	require.NotZero(t, Content{}.Fingerprint())
	seen := map[Fingerprint]bool{one.Fingerprint(): true}
	for _, change := range []func(*Content){
		func(c *Content) { c.Method = "PUT" },
		func(c *Content) { c.Host = "b.example" },
		func(c *Content) { c.Host, c.Target = "a.example/", "chat/1" },
		func(c *Content) { c.Target = "/chat/1?q=2" },
		func(c *Content) { c.BodyDigest = 8 },
		func(c *Content) { c.BodySize = 4 },
	} {
		other := one
		change(&other)
		require.False(t, seen[other.Fingerprint()], "%+v", other)
		seen[other.Fingerprint()] = true
	}
}

// A small fingerprint must be padded with zeros, since logs are searched for all sixteen digits.
func TestFingerprintStringIsPadded(t *testing.T) {
	require.Equal(t, "000000000000002a", Fingerprint(42).String())
}

// BenchmarkFingerprint measures the cost of a fingerprint per request.
func BenchmarkFingerprint(b *testing.B) {
	content := Content{Method: "POST", Host: "a.example", Target: "/review/31/be06", BodyDigest: 7, BodySize: 900}
	for b.Loop() {
		content.Fingerprint()
	}
}
