package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
)

const pemType = "PRIVATE KEY"

// KeyFingerprint returns a fingerprint of a public key for messages: the first 8
// hexadecimal digits of its SHA-256.
func KeyFingerprint(key []byte) string {
	sum := sha256.Sum256(key)
	return hex.EncodeToString(sum[:4])
}

// EncodePrivateKey returns the key as PKCS #8 in PEM. The error is a
// MalformedError for a key of a wrong size.
func EncodePrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	if len(key) != ed25519.PrivateKeySize {
		return nil, MalformedError.New("the private key has %d bytes, want %d", len(key), ed25519.PrivateKeySize)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, MalformedError.New("private key: %v", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: der}), nil
}

// DecodePrivateKey decodes the output of EncodePrivateKey. The error is a
// MalformedError and never contains the input.
func DecodePrivateKey(data []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, MalformedError.New("the file holds no PEM block %q", pemType)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, MalformedError.New("the PEM block %q is not PKCS #8", pemType)
	}
	privateKey, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, MalformedError.New("the key is not an ed25519 key")
	}
	return privateKey, nil
}
