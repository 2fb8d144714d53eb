package bundle

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyName returns a short name of a public key for messages: the first 8
// hexadecimal digits of its SHA-256.
func KeyName(key []byte) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:4])
}
