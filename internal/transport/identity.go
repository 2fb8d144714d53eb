// Package transport transfers bundles between processes. Connections use TLS 1.3
// with certificates that are bound to a fleet key, the secret that all processes
// share. yamux multiplexes streams over a connection, and each stream carries one
// request and one response.
package transport

import (
	"crypto/ed25519"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/asn1"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// Errors of NewIdentity and of the verification of a peer's certificate.
var (
	ErrNoFleetKey         = errors.New("transport: no fleet key")
	ErrCertificateCount   = errors.New("transport: peer did not send exactly one certificate")
	ErrUnboundCertificate = errors.New("transport: peer's certificate is not bound to a fleet key")
)

// bindingOID identifies the certificate extension that holds the binding tag of
// the certificate's public key. It lies in the arc 2.25, for identifiers derived
// from a UUID.
var bindingOID = asn1.ObjectIdentifier{2, 25, 1163404871, 1}

// bindingLabel separates binding tags from other uses of the fleet key, such as
// datagram tags.
const bindingLabel = "heathergw stream certificate 1\x00"

// Identity holds the certificate that a process generated at its start and the
// fleet keys that the process accepts from peers. It is immutable.
type Identity struct {
	certificate tls.Certificate
	fleetKeys   [][]byte
}

// NewIdentity generates an Ed25519 key pair and a certificate for it that is bound
// to the first fleet key. Peers are accepted when their certificate is bound to any
// of the fleet keys. The error is ErrNoFleetKey or names what could not be
// generated.
func NewIdentity(fleetKeys [][]byte) (*Identity, error) {
	if len(fleetKeys) == 0 || len(fleetKeys[0]) == 0 {
		return nil, ErrNoFleetKey
	}
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate certificate key: %w", err)
	}
	der, err := createCertificate(publicKey, privateKey, bindingTag(fleetKeys[0], publicKey))
	if err != nil {
		return nil, err
	}
	return &Identity{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey},
		fleetKeys:   fleetKeys,
	}, nil
}

// createCertificate returns a self-signed certificate in DER form that carries tag
// in the binding extension.
func createCertificate(publicKey ed25519.PublicKey, privateKey ed25519.PrivateKey, tag []byte) ([]byte, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "heathergw"},
		// Clocks of VMs may be wrong, so the validity period excludes nothing; only
		// the binding tag is checked.
		NotBefore:       time.Unix(0, 0),
		NotAfter:        time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC),
		ExtraExtensions: []pkix.Extension{{Id: bindingOID, Value: tag}},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, privateKey)
	if err != nil {
		return nil, fmt.Errorf("create certificate: %w", err)
	}
	return der, nil
}

// bindingTag returns the HMAC-SHA256 of the public key under the fleet key.
func bindingTag(fleetKey []byte, publicKey ed25519.PublicKey) []byte {
	mac := hmac.New(sha256.New, fleetKey)
	mac.Write([]byte(bindingLabel))
	mac.Write(publicKey)
	return mac.Sum(nil)
}

// verifyPeer checks that the peer's public key is bound to an accepted fleet key.
// The TLS handshake proves that the peer holds the private key, so a copied
// certificate is useless without it.
func (i *Identity) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return ErrCertificateCount
	}
	certificate := state.PeerCertificates[0]
	publicKey, ok := certificate.PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrUnboundCertificate
	}
	for _, extension := range certificate.Extensions {
		if extension.Id.Equal(bindingOID) && i.isBindingTag(publicKey, extension.Value) {
			return nil
		}
	}
	return ErrUnboundCertificate
}

// isBindingTag reports whether tag binds the public key to an accepted fleet key.
func (i *Identity) isBindingTag(publicKey ed25519.PublicKey, tag []byte) bool {
	for _, key := range i.fleetKeys {
		if hmac.Equal(tag, bindingTag(key, publicKey)) {
			return true
		}
	}
	return false
}

// tlsConfig returns the TLS configuration for clients and servers. Session tickets
// are disabled because a resumed session would outlive the fleet key that
// authenticated it.
func (i *Identity) tlsConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		MinVersion:   tls.VersionTLS13,
		// The hybrid post-quantum key share adds about 2.2 KB to each handshake,
		// more than the typical difference between two bundles.
		CurvePreferences:       []tls.CurveID{tls.X25519},
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// Certificates are self-signed and carry no host name; verifyPeer checks
		// their binding to a fleet key instead.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verifyPeer,
		ServerName:         "heathergw",
	}
}
