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

// TCPSegment describes a TCP segment for BuildTCP.
type TCPSegment struct {
	Key      Key
	Flags    uint8
	Seq, Ack uint32
	Payload  []byte
}

// BuildTCP returns an IP packet that contains the segment. It fails only when the
// addresses of the key are of different families.
func BuildTCP(segment TCPSegment) ([]byte, error) {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(segment.Key.Source.Port()),
		DstPort: layers.TCPPort(segment.Key.Destination.Port()),
		Seq:     segment.Seq,
		Ack:     segment.Ack,
		Window:  defaultWindow,
		FIN:     segment.Flags&FlagFIN != 0,
		SYN:     segment.Flags&FlagSYN != 0,
		RST:     segment.Flags&FlagRST != 0,
		PSH:     segment.Flags&FlagPSH != 0,
		ACK:     segment.Flags&FlagACK != 0,
	}
	return serialize(segment.Key, tcp, tcp, segment.Payload)
}

// BuildUDP returns an IP packet that contains a UDP datagram. It fails only when the
// addresses of the key are of different families.
func BuildUDP(key Key, payload []byte) ([]byte, error) {
	udp := &layers.UDP{
		SrcPort: layers.UDPPort(key.Source.Port()),
		DstPort: layers.UDPPort(key.Destination.Port()),
	}
	return serialize(key, udp, udp, payload)
}

// checksumLayer is a transport layer whose checksum covers addresses of the network
// layer.
type checksumLayer interface {
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

// serialize returns the IP packet with the given transport header and payload.
// transport and checksum are the same layer.
func serialize(key Key, transport gopacket.SerializableLayer, checksum checksumLayer, payload []byte) ([]byte, error) {
	network, serializable := networkLayer(key)
	if err := checksum.SetNetworkLayerForChecksum(network); err != nil {
		return nil, err
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, serializable, transport, gopacket.Payload(payload)); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// networkLayer returns the IP header for packets of key, as both of the interfaces
// that it implements.
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

// Reset returns the TCP reset that answers p. Its source is p's destination, and its
// sequence numbers follow RFC 9293, section 3.10.7.1.
func Reset(p *Packet) ([]byte, error) {
	segment := TCPSegment{Key: p.Key.Reverse(), Flags: FlagRST}
	if p.Flags&FlagACK != 0 {
		segment.Seq = p.Ack
	} else {
		segment.Flags |= FlagACK
		segment.Ack = p.SeqEnd()
	}
	return BuildTCP(segment)
}

// ResetToHost returns the TCP reset that aborts a half-open connection at the host.
// Its source is the client's address, and it has no ACK flag.
func ResetToHost(key Key, seq uint32) ([]byte, error) {
	return BuildTCP(TCPSegment{Key: key, Flags: FlagRST, Seq: seq})
}

// TooBig returns the ICMP message that answers the oversized packet in data and
// reports mtu as the path MTU in bytes: Fragmentation Needed for IPv4, Packet Too Big
// for IPv6. from is the source address of the message. TooBig returns nil for an IPv4
// packet that may be fragmented.
func TooBig(data []byte, from netip.Addr, mtu int) ([]byte, error) {
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
			SrcIP: from.AsSlice(), DstIP: source.AsSlice(),
		}
		return serializeLayers(ip, icmp, gopacket.Payload(quoted))
	}
	const ipv6MinimumMTU = 1280
	const icmpv6Overhead = ipv6HeaderSize + icmpHeaderSize
	quoted = quoted[:min(len(quoted), ipv6MinimumMTU-icmpv6Overhead)]
	source, _ := netip.AddrFromSlice(data[8:24])
	ip := &layers.IPv6{
		Version: 6, HopLimit: defaultTTL, NextHeader: layers.IPProtocolICMPv6,
		SrcIP: from.AsSlice(), DstIP: source.AsSlice(),
	}
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0)}
	if err := icmp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, err
	}
	size := []byte{byte(mtu >> 24), byte(mtu >> 16), byte(mtu >> 8), byte(mtu)}
	return serializeLayers(ip, icmp, gopacket.Payload(size), gopacket.Payload(quoted))
}

func serializeLayers(stack ...gopacket.SerializableLayer) ([]byte, error) {
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, stack...); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}
