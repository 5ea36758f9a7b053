package settings

import (
	"encoding/binary"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// newTestKeyring returns a keyring of n organisations: "org-0" with the key "key-0", and so on.
func newTestKeyring(tb testing.TB, n int) *Keyring {
	tb.Helper()
	organisations := make([]Organisation, n)
	for i := range organisations {
		salt := make([]byte, SaltBytes)
		binary.BigEndian.PutUint64(salt, uint64(i))
		digest := NewDigest(fmt.Sprintf("key-%d", i), salt)
		organisations[i] = Organisation{Name: fmt.Sprintf("org-%d", i), KeyDigests: []string{digest}}
	}
	ring, err := NewKeyring(organisations)
	require.NoError(tb, err)
	return ring
}

// Guards against matching a wrong or similar key, and against a result that differs once the key is cached. Unknown
// keys must not be cached, since the cache would then grow without limit.
func TestFind(t *testing.T) {
	ring := newTestKeyring(t, 3)
	cases := map[string]string{
		"key-0": "org-0", "key-2": "org-2", "key-3": "", "": "", "key-": "", "key-00": "", "KEY-0": "",
		strings.Repeat("k", MaxKeyBytes+1): "",
	}
	for range 2 { // the second pass uses the cache
		for key, want := range cases {
			name, ok := ring.Find(key)
			require.Equal(t, want, name, key)
			require.Equal(t, want != "", ok, key)
		}
	}
	require.Len(t, ring.cache, 2)
}

// Guards against a wrong owner when goroutines look keys up while others add them to the cache.
func TestConcurrentFind(t *testing.T) {
	ring := newTestKeyring(t, 5)
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			name, _ := ring.Find(fmt.Sprintf("key-%d", i%5))
			if want := fmt.Sprintf("org-%d", i%5); name != want {
				t.Errorf("want %s, got %s", want, name)
			}
		})
	}
	group.Wait()
}

// Guards against rejected requests while a key is replaced: the old and the new key must both be accepted.
func TestEveryDigestOfAnOperatorIsAccepted(t *testing.T) {
	ring, err := NewOperatorKeyring([]OperatorAccount{{Name: "ops", KeyDigests: []string{alphaDigest, betaDigest}}})
	require.NoError(t, err)
	for _, key := range []string{"alpha", "beta"} {
		name, ok := ring.Find(key)
		require.True(t, ok)
		require.Equal(t, "ops", name)
	}
}

// Guards against accepting a malformed digest, such as one with a short salt.
func TestBadDigests(t *testing.T) {
	salt, sum, _ := strings.Cut(strings.TrimPrefix(alphaDigest, digestPrefix), ":")
	for _, text := range []string{
		"", "alpha", "md5:" + salt + ":" + sum, digestPrefix + salt, digestPrefix + "zz:" + sum,
		digestPrefix + salt[2:] + ":" + sum, digestPrefix + salt + ":" + sum[2:], digestPrefix + salt + ":" + sum + ":",
		digestPrefix + strings.Repeat("0", 2*maxSaltBytes+2) + ":" + sum,
	} {
		_, err := NewKeyring([]Organisation{{Name: "o", KeyDigests: []string{text}}})
		require.Error(t, err, text)
	}
	require.NotEqual(t, NewSalt(), NewSalt())
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{5, 220} {
		ring := newTestKeyring(b, n)
		known := fmt.Sprintf("key-%d", n-1)
		b.Run(fmt.Sprintf("known/%d", n), func(b *testing.B) {
			for b.Loop() {
				ring.Find(known)
			}
		})
		b.Run(fmt.Sprintf("unknown/%d", n), func(b *testing.B) {
			for b.Loop() {
				ring.Find("nobody")
			}
		})
	}
}
