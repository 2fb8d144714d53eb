package packet

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

const (
	defaultTTL    = 64
	defaultWindow = 65535
)

// Segment describes one TCP segment to build.
type Segment struct {
	Key      Key
	Flags    uint8
	Seq, Ack uint32
	Payload  []byte
}

// Build returns the IP packet that carries s. It fails only when the
// addresses of the key are of different families.
func Build(s Segment) ([]byte, error) {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Key.Source.Port()),
		DstPort: layers.TCPPort(s.Key.Destination.Port()),
		Seq:     s.Seq,
		Ack:     s.Ack,
		Window:  defaultWindow,
		FIN:     s.Flags&FlagFIN != 0,
		SYN:     s.Flags&FlagSYN != 0,
		RST:     s.Flags&FlagRST != 0,
		PSH:     s.Flags&FlagPSH != 0,
		ACK:     s.Flags&FlagACK != 0,
	}
	return serialize(s.Key, tcp, tcp, s.Payload)
}

// BuildUDP returns the IP packet of a UDP datagram. It fails only when the
// addresses of the key are of different families.
func BuildUDP(key Key, payload []byte) ([]byte, error) {
	udp := &layers.UDP{
		SrcPort: layers.UDPPort(key.Source.Port()),
		DstPort: layers.UDPPort(key.Destination.Port()),
	}
	return serialize(key, udp, udp, payload)
}

type checksummed interface {
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

func serialize(key Key, transport gopacket.SerializableLayer, sum checksummed, payload []byte) ([]byte, error) {
	network, layer := networkLayer(key)
	if err := sum.SetNetworkLayerForChecksum(network); err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, layer, transport, gopacket.Payload(payload)); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func networkLayer(key Key) (gopacket.NetworkLayer, gopacket.SerializableLayer) {
	source, destination := key.Source.Addr().AsSlice(), key.Destination.Addr().AsSlice()
	if key.Source.Addr().Is4() {
		ip := &layers.IPv4{
			Version: 4, TTL: defaultTTL, Flags: layers.IPv4DontFragment,
			Protocol: layers.IPProtocol(key.Protocol), SrcIP: source, DstIP: destination,
		}
		return ip, ip
	}
	ip := &layers.IPv6{
		Version: 6, HopLimit: defaultTTL,
		NextHeader: layers.IPProtocol(key.Protocol), SrcIP: source, DstIP: destination,
	}
	return ip, ip
}

// Reset returns the TCP reset that answers p in the name of p's destination,
// with the sequence numbers that RFC 9293 section 3.10.7.1 gives.
func Reset(p *Packet) ([]byte, error) {
	s := Segment{Key: p.Key.Reverse(), Flags: FlagRST}
	if p.Flags&FlagACK != 0 {
		s.Seq = p.Ack
	} else {
		s.Flags |= FlagACK
		s.Ack = p.SeqEnd()
	}
	return Build(s)
}

// ResetToHost returns the reset that clears a half-open connection at the
// host: it comes from the caller's address and acknowledges nothing.
func ResetToHost(key Key, seq uint32) ([]byte, error) {
	return Build(Segment{Key: key, Flags: FlagRST, Seq: seq})
}

// TooBig returns the ICMP message that reports mtu bytes as the largest packet
// that the path carries, in answer to the oversized packet in data. via is the
// address that the message comes from. It returns nil for an IPv4 packet that
// may be fragmented.
func TooBig(data []byte, via netip.Addr, mtu int) ([]byte, error) {
	const ipv4DontFragment = 0x40
	quoted := data
	if data[0]>>4 == 4 {
		if data[6]&ipv4DontFragment == 0 {
			return nil, nil
		}
		quoted = quoted[:min(len(quoted), int(data[0]&0xf)*4+8)]
		source, _ := netip.AddrFromSlice(data[12:16])
		icmp := &layers.ICMPv4{
			TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded),
			Seq:      uint16(mtu),
		}
		ip := &layers.IPv4{
			Version: 4, TTL: defaultTTL, Protocol: layers.IPProtocolICMPv4,
			SrcIP: via.AsSlice(), DstIP: source.AsSlice(),
		}
		return serializeAll(ip, icmp, gopacket.Payload(quoted))
	}
	const ipv6MinimumMTU = 1280
	const icmpv6Overhead = ipv6HeaderSize + icmpHeaderSize
	quoted = quoted[:min(len(quoted), ipv6MinimumMTU-icmpv6Overhead)]
	source, _ := netip.AddrFromSlice(data[8:24])
	ip := &layers.IPv6{
		Version: 6, HopLimit: defaultTTL, NextHeader: layers.IPProtocolICMPv6,
		SrcIP: via.AsSlice(), DstIP: source.AsSlice(),
	}
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0)}
	if err := icmp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, err
	}
	size := []byte{byte(mtu >> 24), byte(mtu >> 16), byte(mtu >> 8), byte(mtu)}
	return serializeAll(ip, icmp, gopacket.Payload(size), gopacket.Payload(quoted))
}

func serializeAll(all ...gopacket.SerializableLayer) ([]byte, error) {
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, all...); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}
