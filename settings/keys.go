package settings

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// Lengths of keys and digests, in bytes.
const (
	// SaltBytes is the length of a new salt, and the shortest that is accepted.
	SaltBytes = 16
	// maxSaltBytes bounds the work for one digest.
	maxSaltBytes = 64
	// MaxKeyBytes is the longest key that Find looks at.
	MaxKeyBytes = 256
)

const digestPrefix = "sha256:"

// sum is a SHA-256 sum.
type sum = [sha256.Size]byte

// digest is a parsed key digest.
type digest struct {
	salt []byte
	sum  sum
}

// NewDigest returns "sha256:SALT:DIGEST" in hexadecimal, where DIGEST is SHA-256 over salt and key. Keys are random
// and long, so a fast hash is enough: there are no likely keys to try.
func NewDigest(key string, salt []byte) string {
	s := saltedSum(salt, key)
	return digestPrefix + hex.EncodeToString(salt) + ":" + hex.EncodeToString(s[:])
}

// NewSalt returns SaltBytes random bytes.
func NewSalt() []byte {
	salt := make([]byte, SaltBytes)
	_, _ = rand.Read(salt) // never fails, see crypto/rand
	return salt
}

func saltedSum(salt []byte, key string) sum {
	// A buffer of fixed size stays on the stack: scan does this for every digest.
	buf := make([]byte, 0, maxSaltBytes+MaxKeyBytes)
	buf = append(buf, salt...)
	return sha256.Sum256(append(buf, key...))
}

// parseDigest reads what NewDigest wrote. Its error never repeats the text.
func parseDigest(text string) (digest, error) {
	rest, found := strings.CutPrefix(text, digestPrefix)
	saltText, sumText, two := strings.Cut(rest, ":")
	if !found || !two {
		return digest{}, errors.New("want sha256:SALT:DIGEST")
	}
	salt, err := hex.DecodeString(saltText)
	if err != nil || len(salt) < SaltBytes || len(salt) > maxSaltBytes {
		return digest{}, errors.Errorf("want a salt of %d to %d bytes in hexadecimal", SaltBytes, maxSaltBytes)
	}
	raw, err := hex.DecodeString(sumText)
	if err != nil || len(raw) != sha256.Size {
		return digest{}, errors.Errorf("want a digest of %d bytes in hexadecimal", sha256.Size)
	}
	return digest{salt: salt, sum: sum(raw)}, nil
}

// Keyring finds whose key a bearer key is. Any number of goroutines may use it.
//
// Each digest has its own salt, so a key can't be looked up: it is hashed with every salt, and all are compared,
// each in constant time, also after a match. That takes the same time for every unknown key of one length, and at
// 220 organisations it is too much for each request. So keys that were found are remembered by their HMAC under a
// random key of this process. The time to look an HMAC up depends only on bits that nobody outside can know, and
// what is remembered can't grow beyond the number of digests.
type Keyring struct {
	entries []ringEntry
	secret  [sha256.Size]byte

	mu    sync.RWMutex
	known map[sum]string
}

type ringEntry struct {
	name string
	digest
}

// NewKeyring returns the keyring of the organisations. Digests that can't be read are an error.
func NewKeyring(organisations []Organisation) (*Keyring, error) {
	k := newKeyring()
	for _, organisation := range organisations {
		if err := k.add(organisation.Name, organisation.KeyDigests); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// NewOperatorKeyring is NewKeyring for operators.
func NewOperatorKeyring(operators []OperatorAccount) (*Keyring, error) {
	k := newKeyring()
	for _, operator := range operators {
		if err := k.add(operator.Name, operator.KeyDigests); err != nil {
			return nil, err
		}
	}
	return k, nil
}

func newKeyring() *Keyring {
	k := &Keyring{known: map[sum]string{}}
	_, _ = rand.Read(k.secret[:]) // never fails, see crypto/rand
	return k
}

func (k *Keyring) add(name string, digests []string) error {
	for _, text := range digests {
		parsed, err := parseDigest(text)
		if err != nil {
			return errors.Wrapf(err, "key digest of %s", name)
		}
		k.entries = append(k.entries, ringEntry{name: name, digest: parsed})
	}
	return nil
}

// Find returns the name of the organisation or operator whose key it is. A key longer than MaxKeyBytes, and the
// empty key, are nobody's.
func (k *Keyring) Find(key string) (name string, ok bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return "", false
	}
	mark := k.mark(key)
	k.mu.RLock()
	name, ok = k.known[mark]
	k.mu.RUnlock()
	if ok {
		return name, true
	}
	name, ok = k.scan(key)
	if ok {
		k.mu.Lock()
		k.known[mark] = name
		k.mu.Unlock()
	}
	return name, ok
}

func (k *Keyring) mark(key string) sum {
	h := hmac.New(sha256.New, k.secret[:])
	h.Write([]byte(key))
	return sum(h.Sum(nil))
}

// scan compares the key with every digest, without stopping at a match.
func (k *Keyring) scan(key string) (string, bool) {
	found := -1
	for i := range k.entries {
		s := saltedSum(k.entries[i].salt, key)
		equal := subtle.ConstantTimeCompare(s[:], k.entries[i].sum[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return k.entries[found].name, true
}
