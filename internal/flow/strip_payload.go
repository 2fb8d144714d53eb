package flow

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/heathergw/heathergw/internal/packet"
)

// stripPayload returns the opening without its payload, because a repeated
// opening may be placed at another target and its data would reach two hosts.
// TCP options are kept except Fast Open, which would let the host accept data
// before the handshake (RFC 7413).
func stripPayload(p *packet.Packet) ([]byte, error) {
	first := layers.LayerTypeIPv4
	if p.Data[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	decoded := gopacket.NewPacket(p.Data, first, gopacket.NoCopy)
	network := decoded.NetworkLayer()
	tcp, ok := decoded.TransportLayer().(*layers.TCP)
	if !ok || network == nil {
		return nil, packet.ErrTruncated
	}
	if err := tcp.SetNetworkLayerForChecksum(network); err != nil {
		return nil, err
	}
	kept := tcp.Options[:0]
	for _, o := range tcp.Options {
		if o.OptionType != tcpFastOpen {
			kept = append(kept, o)
		}
	}
	tcp.Options, tcp.Padding = kept, nil
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, network.(gopacket.SerializableLayer), tcp); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// tcpFastOpen is the TCP option kind of Fast Open, as assigned by IANA.
const tcpFastOpen = 34
