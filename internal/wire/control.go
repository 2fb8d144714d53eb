package wire

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/schema"
)

// SealControl returns an authenticated datagram that carries m. It fails when m
// does not fit into one datagram.
func (k *Keyring) SealControl(m *schema.Control) ([]byte, error) {
	datagram, err := proto.MarshalOptions{}.MarshalAppend(BeginDatagram(nil, KindControl), m)
	if err != nil {
		return nil, fmt.Errorf("encode control message: %w", err)
	}
	if len(datagram) > MaxDatagramSize {
		return nil, fmt.Errorf("control message of %d bytes exceeds %d bytes", len(datagram), MaxDatagramSize)
	}
	return k.Seal(datagram, nil), nil
}

// DecodeControl decodes the header that Keyring.Open returned for a datagram of
// KindControl.
func DecodeControl(header []byte) (*schema.Control, error) {
	m := &schema.Control{}
	if err := proto.Unmarshal(header, m); err != nil {
		return nil, fmt.Errorf("decode control message: %w", err)
	}
	return m, nil
}
