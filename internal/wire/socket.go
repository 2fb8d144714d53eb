package wire

import (
	"fmt"
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

// BatchSize is the number of datagrams that one system call reads or writes
// at most.
const BatchSize = 32

// socketBufferBytes absorbs bursts between two turns of a worker.
const socketBufferBytes = 4 << 20

// Message is one datagram of a batch.
type Message = ipv4.Message

type batchConn interface {
	ReadBatch([]Message, int) (int, error)
	WriteBatch([]Message, int) (int, error)
}

// Socket is a UDP socket with batched reads and writes. Its methods may be
// called concurrently.
type Socket struct {
	conn  *net.UDPConn
	batch batchConn
}

// Listen opens a UDP socket on address. The error names the address, for
// example when the port is in use.
func Listen(address string) (*Socket, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse UDP address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort))
	if err != nil {
		return nil, fmt.Errorf("listen on UDP %s: %w", address, err)
	}
	// The kernel caps the sizes; a smaller buffer only loses bursts earlier.
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

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the socket; pending reads return net.ErrClosed.
func (s *Socket) Close() error { return s.conn.Close() }

// WriteTo sends one datagram.
func (s *Socket) WriteTo(b []byte, to netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return err
}

// ReadBatch reads at least one datagram into messages and returns their
// number.
func (s *Socket) ReadBatch(messages []Message) (int, error) {
	return s.batch.ReadBatch(messages, 0)
}

// WriteBatch sends all messages. On an error the rest of the batch is still
// tried; the first error is returned with the number of messages sent.
func (s *Socket) WriteBatch(messages []Message) (int, error) {
	var first error
	sent := 0
	for len(messages) > 0 {
		n, err := s.batch.WriteBatch(messages, 0)
		if err != nil {
			if first == nil {
				first = err
			}
			// The first message of the rest failed; n is then 0 or less.
			messages = messages[max(n, 0)+1:]
			continue
		}
		sent += n
		messages = messages[n:]
	}
	return sent, first
}

// NewReadBatch returns messages with buffers of MaxDatagramSize bytes.
func NewReadBatch(size int) []Message {
	messages := make([]Message, size)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, MaxDatagramSize)}
	}
	return messages
}

// SourceOf returns the sender of a message that ReadBatch filled.
func SourceOf(m *Message) netip.AddrPort {
	if a, ok := m.Addr.(*net.UDPAddr); ok {
		ap := a.AddrPort()
		return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
	}
	return netip.AddrPort{}
}

// WriteQueue collects outgoing datagrams of one worker and sends them in
// batches. It reuses its buffers and is not safe for concurrent use.
type WriteQueue struct {
	socket   *Socket
	messages []Message
	buffers  [][]byte
	addrs    []net.UDPAddr
	ips      [][16]byte
	used     int
	// Failed counts datagrams that the kernel refused.
	Failed uint64
}

// NewWriteQueue returns a queue of size datagrams that writes to socket.
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

// Next returns an empty buffer for the next datagram; the caller appends to it
// and passes the result to Add. A full queue is flushed first.
func (q *WriteQueue) Next() []byte {
	if q.used == len(q.messages) {
		q.Flush()
	}
	return q.buffers[q.used][:0]
}

// Add queues the datagram that was built in the buffer of Next.
func (q *WriteQueue) Add(datagram []byte, to netip.AddrPort) {
	i := q.used
	q.buffers[i] = datagram
	q.messages[i].Buffers[0] = datagram
	addr := &q.addrs[i]
	if ip := to.Addr(); ip.Is4() {
		four := ip.As4()
		copy(q.ips[i][:], four[:])
		addr.IP = q.ips[i][:4]
	} else {
		q.ips[i] = ip.As16()
		addr.IP = q.ips[i][:]
	}
	addr.Port = int(to.Port())
	q.messages[i].Addr = addr
	q.used++
}

// Flush sends the queued datagrams.
func (q *WriteQueue) Flush() {
	if q.used == 0 {
		return
	}
	sent, _ := q.socket.WriteBatch(q.messages[:q.used])
	q.Failed += uint64(q.used - sent)
	q.used = 0
}
