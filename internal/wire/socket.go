package wire

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

// BatchSize is the maximum number of datagrams that one system call reads or
// writes.
const BatchSize = 32

// socketBufferBytes absorbs bursts that arrive while a worker processes the
// previous batch.
const socketBufferBytes = 4 << 20

// Message is one datagram of a batch.
type Message = ipv4.Message

// batchConn is implemented by ipv4.PacketConn and ipv6.PacketConn.
type batchConn interface {
	ReadBatch([]Message, int) (int, error)
	WriteBatch([]Message, int) (int, error)
}

// Socket is a UDP socket with batched reads and writes. Its methods are safe for
// concurrent use.
type Socket struct {
	conn  *net.UDPConn
	batch batchConn
}

// Listen opens a UDP socket on address, an IP address and port. The error names the
// address.
func Listen(address string) (*Socket, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse UDP address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, fmt.Errorf("listen on UDP %s: %w", address, err)
	}
	// The kernel may limit the sizes. With a smaller buffer only shorter bursts are
	// absorbed.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	s := &Socket{conn: conn}
	if addrPort.Addr().Is4() {
		s.batch = ipv4.NewPacketConn(conn)
	} else {
		s.batch = ipv6.NewPacketConn(conn)
	}
	return s, nil
}

// portAttempts bounds the ports that ListenPair tries for port 0. The kernel
// chooses a port that is free for UDP; with many TCP connections it may be in use
// for TCP.
const portAttempts = 64

// ListenPair opens a UDP socket and a TCP listener on the same port of an address,
// so that one address identifies a process. For port 0 it chooses a port that is
// free for both. The error names the address.
func ListenPair(address string) (*Socket, net.Listener, error) {
	return listenPair(address, net.Listen)
}

func listenPair(address string, listenTCP func(network, address string) (net.Listener, error)) (*Socket, net.Listener, error) {
	attempts := 1
	if requested, err := netip.ParseAddrPort(address); err == nil && requested.Port() == 0 {
		attempts = portAttempts
	}
	var tried []*Socket // kept open so that the kernel chooses another port
	defer func() {
		for _, s := range tried {
			_ = s.Close() // never used
		}
	}()
	for {
		socket, err := Listen(address)
		if err != nil {
			return nil, nil, err
		}
		listener, err := listenTCP("tcp", socket.Address().String())
		if err == nil {
			return socket, listener, nil
		}
		tried = append(tried, socket)
		if len(tried) >= attempts || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, err
		}
	}
}

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the socket. Pending reads return net.ErrClosed.
func (s *Socket) Close() error { return s.conn.Close() }

// WriteTo sends one datagram.
func (s *Socket) WriteTo(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return err
}

// ReadBatch waits for at least one datagram, reads the available ones into messages
// and returns their number.
func (s *Socket) ReadBatch(messages []Message) (int, error) {
	return s.batch.ReadBatch(messages, 0)
}

// WriteBatch sends all messages. After an error it skips the failed message and
// continues with the rest. It returns the number of messages sent and the first
// error.
func (s *Socket) WriteBatch(messages []Message) (int, error) {
	var firstErr error
	sent := 0
	for len(messages) > 0 {
		n, err := s.batch.WriteBatch(messages, 0)
		if err != nil {
			if firstErr == nil {
				firstErr = err
			}
			// messages[0] failed, and n is 0 or negative.
			messages = messages[max(n, 0)+1:]
			continue
		}
		sent += n
		messages = messages[n:]
	}
	return sent, firstErr
}

// NewReadBatch returns size messages for ReadBatch, each with a buffer of
// MaxDatagramSize bytes.
func NewReadBatch(size int) []Message {
	messages := make([]Message, size)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, MaxDatagramSize)}
	}
	return messages
}

// SourceOf returns the source address of a message that ReadBatch filled, or the
// zero value when there is none.
func SourceOf(m *Message) netip.AddrPort {
	if addr, ok := m.Addr.(*net.UDPAddr); ok {
		source := addr.AddrPort()
		return netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
	}
	return netip.AddrPort{}
}

// WriteQueue collects the outgoing datagrams of a worker and sends them in batches.
// It reuses its buffers and is not safe for concurrent use.
type WriteQueue struct {
	socket   *Socket
	messages []Message
	buffers  [][]byte
	addrs    []net.UDPAddr
	ips      [][16]byte
	queued   int
	// SendFailures is the number of datagrams that could not be sent.
	SendFailures uint64
}

// NewWriteQueue returns a queue for up to size datagrams that sends on socket.
func NewWriteQueue(socket *Socket, size int) *WriteQueue {
	q := &WriteQueue{
		socket:   socket,
		messages: make([]Message, size),
		buffers:  make([][]byte, size),
		addrs:    make([]net.UDPAddr, size),
		ips:      make([][16]byte, size),
	}
	for i := range q.messages {
		q.buffers[i] = make([]byte, 0, MaxDatagramSize)
		q.messages[i].Buffers = make([][]byte, 1)
	}
	return q
}

// Next returns an empty buffer for the next datagram. The caller appends to it and
// passes the result to Add. Next flushes a full queue first.
func (q *WriteQueue) Next() []byte {
	if q.queued == len(q.messages) {
		q.Flush()
	}
	return q.buffers[q.queued][:0]
}

// Add queues a datagram that was built in the buffer from Next.
func (q *WriteQueue) Add(datagram []byte, to netip.AddrPort) {
	i := q.queued
	q.buffers[i] = datagram
	q.messages[i].Buffers[0] = datagram
	addr := &q.addrs[i]
	if ip := to.Addr(); ip.Is4() {
		ip4 := ip.As4()
		copy(q.ips[i][:], ip4[:])
		addr.IP = q.ips[i][:4]
	} else {
		q.ips[i] = ip.As16()
		addr.IP = q.ips[i][:]
	}
	addr.Port = int(to.Port())
	q.messages[i].Addr = addr
	q.queued++
}

// Flush sends the queued datagrams.
func (q *WriteQueue) Flush() {
	if q.queued == 0 {
		return
	}
	sent, _ := q.socket.WriteBatch(q.messages[:q.queued])
	q.SendFailures += uint64(q.queued - sent)
	q.queued = 0
}
