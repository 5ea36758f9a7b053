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
	// SaltBytes is the length of a new salt, and the minimum length of an accepted one.
	SaltBytes = 16
	// maxSaltBytes is the maximum length of a salt. It limits the cost of computing one digest.
	maxSaltBytes = 64
	// MaxKeyBytes is the maximum length of a key that Find accepts.
	MaxKeyBytes = 256
)

const digestPrefix = "sha256:"

// sum is a SHA-256 checksum.
type sum = [sha256.Size]byte

// digest is a parsed key digest.
type digest struct {
	salt []byte
	sum  sum
}

// NewDigest returns "sha256:SALT:DIGEST", where SALT and DIGEST are hexadecimal and DIGEST is the SHA-256 checksum of
// the salt followed by the key. A fast hash suffices, since keys are long and random and can't be guessed by trying
// likely values.
func NewDigest(key string, salt []byte) string {
	s := saltedSum(salt, key)
	return digestPrefix + hex.EncodeToString(salt) + ":" + hex.EncodeToString(s[:])
}

// NewSalt returns SaltBytes random bytes.
func NewSalt() []byte {
	salt := make([]byte, SaltBytes)
	_, _ = rand.Read(salt) // crypto/rand.Read never returns an error
	return salt
}

func saltedSum(salt []byte, key string) sum {
	// A buffer of constant capacity stays on the stack. This saves an allocation for each digest that scan compares.
	buf := make([]byte, 0, maxSaltBytes+MaxKeyBytes)
	buf = append(buf, salt...)
	return sha256.Sum256(append(buf, key...))
}

// parseDigest parses the result of NewDigest. Its error never contains the text, which may be a key given by mistake.
func parseDigest(text string) (digest, error) {
	rest, found := strings.CutPrefix(text, digestPrefix)
	saltText, sumText, separated := strings.Cut(rest, ":")
	if !found || !separated {
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

// Keyring maps bearer keys to the names of their owners. It is safe for concurrent use.
//
// Each digest has its own salt, so digests can't be indexed by key. A key is hashed with every salt and compared with
// every digest, each in constant time, even after a match, which takes the same time for all unknown keys of one
// length. With 220 organisations this is too expensive for each request, so matched keys are cached by their HMAC under
// a random key of this process. The time of a cache lookup depends only on bits of the HMAC, which callers can't
// predict. The cache holds at most one entry for each digest.
type Keyring struct {
	entries []keyringEntry
	hmacKey [sha256.Size]byte

	mu    sync.RWMutex
	cache map[sum]string
}

type keyringEntry struct {
	name string
	digest
}

// NewKeyring returns the keyring of the organisations. It returns an error if a digest can't be parsed.
func NewKeyring(organisations []Organisation) (*Keyring, error) {
	k := newKeyring()
	for _, organisation := range organisations {
		if err := k.add(organisation.Name, organisation.KeyDigests); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// NewOperatorKeyring returns the keyring of the operators. It returns an error if a digest can't be parsed.
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
	k := &Keyring{cache: map[sum]string{}}
	_, _ = rand.Read(k.hmacKey[:]) // crypto/rand.Read never returns an error
	return k
}

func (k *Keyring) add(name string, digests []string) error {
	for _, text := range digests {
		parsed, err := parseDigest(text)
		if err != nil {
			return errors.Wrapf(err, "key digest of %s", name)
		}
		k.entries = append(k.entries, keyringEntry{name: name, digest: parsed})
	}
	return nil
}

// Find returns the name of the organisation or operator that owns the key, and whether there is one. It finds no owner
// for an empty key or one longer than MaxKeyBytes.
func (k *Keyring) Find(key string) (name string, ok bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return "", false
	}
	fingerprint := k.fingerprint(key)
	k.mu.RLock()
	name, ok = k.cache[fingerprint]
	k.mu.RUnlock()
	if ok {
		return name, true
	}
	name, ok = k.scan(key)
	if ok {
		k.mu.Lock()
		k.cache[fingerprint] = name
		k.mu.Unlock()
	}
	return name, ok
}

func (k *Keyring) fingerprint(key string) sum {
	h := hmac.New(sha256.New, k.hmacKey[:])
	h.Write([]byte(key))
	return sum(h.Sum(nil))
}

// scan compares the key with every digest and doesn't stop at a match, so that its duration doesn't depend on the
// owner.
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
