// Package transport carries bundle transfers between processes: TLS 1.3 with
// certificates bound to the fleet key, yamux streams on top, and one request
// with one response on each stream.
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

// Errors of the check of a peer's certificate.
var (
	ErrNoFleetKey    = errors.New("transport: no fleet key")
	ErrNoCertificate = errors.New("transport: peer sent no single certificate")
	ErrNotBound      = errors.New("transport: peer's certificate is not bound to a fleet key")
)

// bindingID names the certificate extension that holds the binding of the
// public key. The arc is 2.25, for identifiers derived from a UUID.
var bindingID = asn1.ObjectIdentifier{2, 25, 1163404871, 1}

// bindingLabel keeps this use of the fleet key apart from datagram tags.
const bindingLabel = "heathergw stream certificate 1\x00"

// Identity is the certificate of one process start and the fleet keys that it
// accepts. It is immutable.
type Identity struct {
	certificate tls.Certificate
	fleetKeys   [][]byte
}

// NewIdentity makes an ed25519 key and a certificate that the first fleet key
// binds; certificates bound by any of the keys are accepted. The error is
// ErrNoFleetKey or tells what could not be generated.
func NewIdentity(fleetKeys [][]byte) (*Identity, error) {
	if len(fleetKeys) == 0 || len(fleetKeys[0]) == 0 {
		return nil, ErrNoFleetKey
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate stream key: %w", err)
	}
	der, err := selfSigned(public, private, binding(fleetKeys[0], public))
	if err != nil {
		return nil, err
	}
	return &Identity{
		certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private},
		fleetKeys:   fleetKeys,
	}, nil
}

func selfSigned(public ed25519.PublicKey, private ed25519.PrivateKey, bound []byte) ([]byte, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "heathergw"},
		// Clocks of VMs may be wrong; the binding alone decides.
		NotBefore:       time.Unix(0, 0),
		NotAfter:        time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC),
		ExtraExtensions: []pkix.Extension{{Id: bindingID, Value: bound}},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return nil, fmt.Errorf("make stream certificate: %w", err)
	}
	return der, nil
}

func binding(fleetKey []byte, public ed25519.PublicKey) []byte {
	mac := hmac.New(sha256.New, fleetKey)
	mac.Write([]byte(bindingLabel))
	mac.Write(public)
	return mac.Sum(nil)
}

// verify checks that a fleet key binds the peer's public key. The handshake
// proves that the peer holds the private key, so a copied certificate is of no
// use.
func (i *Identity) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return ErrNoCertificate
	}
	certificate := state.PeerCertificates[0]
	public, ok := certificate.PublicKey.(ed25519.PublicKey)
	if !ok {
		return ErrNotBound
	}
	for _, extension := range certificate.Extensions {
		if extension.Id.Equal(bindingID) && i.bound(public, extension.Value) {
			return nil
		}
	}
	return ErrNotBound
}

func (i *Identity) bound(public ed25519.PublicKey, value []byte) bool {
	for _, key := range i.fleetKeys {
		if hmac.Equal(value, binding(key, public)) {
			return true
		}
	}
	return false
}

// config returns the TLS configuration for both directions. Session tickets
// are off: a resumed session would outlive the fleet key that admitted it.
func (i *Identity) config() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.certificate},
		MinVersion:   tls.VersionTLS13,
		// The hybrid post-quantum key share adds about 2.2 KB to each
		// handshake, more than a typical difference between two bundles.
		CurvePreferences:       []tls.CurveID{tls.X25519},
		SessionTicketsDisabled: true,
		ClientAuth:             tls.RequireAnyClientCert,
		// Names and chains say nothing here; verify checks the binding.
		InsecureSkipVerify: true,
		VerifyConnection:   i.verify,
		ServerName:         "heathergw",
	}
}
