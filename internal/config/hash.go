package config

import (
	"crypto/sha256"
	"encoding/hex"
)

// hashBytes is the length of a Hash before hexadecimal encoding.
const hashBytes = 16

// Hash identifies content by the first 128 bits of its SHA-256 digest, in
// lower-case hexadecimal.
type Hash string

// HashOf returns the hash of b.
func HashOf(b []byte) Hash {
	sum := sha256.Sum256(b)
	return Hash(hex.EncodeToString(sum[:hashBytes]))
}

// Short returns the first eight hexadecimal digits, for display.
func (h Hash) Short() string {
	if len(h) <= 8 {
		return string(h)
	}
	return string(h[:8])
}

// valid reports whether h is a well-formed hash.
func (h Hash) valid() bool {
	if len(h) != 2*hashBytes {
		return false
	}
	for _, c := range []byte(h) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
