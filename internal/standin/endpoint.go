package standin

import (
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

const (
	// segmentBytes keeps an IPv4 or IPv6 packet under the default inner MTU.
	segmentBytes = 1200
	// windowBytes is the size of the send and of the receive window.
	windowBytes = 32 * segmentBytes
	// initialTimeout and maxTimeout bound the retransmission timeout, which
	// doubles after each timeout.
	initialTimeout = 200 * time.Millisecond
	maxTimeout     = 800 * time.Millisecond
	// duplicateACKThreshold is the number of duplicate acknowledgments that
	// triggers a fast retransmit (RFC 5681).
	duplicateACKThreshold = 3
)

type state int

const (
	stateClosed state = iota
	stateSynSent
	stateSynReceived
	stateOpen
	// stateDone means that both sides closed or that the connection was reset
	// or abandoned.
	stateDone
)

// segmentResult holds the events and the data that one received segment yields
// to the application.
type segmentResult struct {
	opened  bool
	reset   bool
	refused bool
	closed  bool
	data    []byte
}

// endpoint is one end of a TCP connection according to RFC 9293 and RFC 5961,
// without options, window scaling and urgent data. It reads no clock and opens
// no socket: callers pass the time, and emit sends its segments.
type endpoint struct {
	key   packet.Key
	emit  func(packet.TCPSegment)
	state state

	// iss and irs are the initial sequence numbers of both sides.
	iss, irs uint32
	// una is the oldest unacknowledged sequence number (SND.UNA), next the next
	// one to send (SND.NXT), rcvNext the next one expected (RCV.NXT).
	una, next uint32
	rcvNext   uint32
	// recover is the end of the sequence range that is retransmitted after a
	// loss.
	recover           uint32
	recovering        bool
	duplicateACKCount int

	// unacked holds the sent and the queued data from una on, without SYN and
	// FIN.
	unacked    []byte
	outOfOrder map[uint32][]byte

	closing, finSent, peerClosed bool
	finSeq                       uint32
	timeout                      time.Duration
	// retransmitAt is zero when nothing is unacknowledged.
	retransmitAt time.Time
}

func seqBefore(a, b uint32) bool { return int32(a-b) < 0 }

func (e *endpoint) sendSegment(flags uint8, seq uint32, payload []byte) {
	s := packet.TCPSegment{Key: e.key, Flags: flags, Seq: seq, Payload: payload}
	if flags&packet.FlagACK != 0 {
		s.Ack = e.rcvNext
	}
	e.emit(s)
}

func (e *endpoint) sendACK() { e.sendSegment(packet.FlagACK, e.next, nil) }

func (e *endpoint) restartTimer(now time.Time) {
	if e.una == e.next {
		e.retransmitAt, e.timeout = time.Time{}, initialTimeout
		return
	}
	e.retransmitAt = now.Add(e.timeout)
}

// connect sends the SYN.
func (e *endpoint) connect(now time.Time, iss uint32) {
	e.state, e.iss, e.una, e.next = stateSynSent, iss, iss, iss+1
	e.timeout = initialTimeout
	e.sendSegment(packet.FlagSYN, iss, nil)
	e.restartTimer(now)
}

// accept responds to the SYN in p with a SYN-ACK.
func (e *endpoint) accept(now time.Time, iss uint32, p *packet.Packet) {
	e.state, e.iss, e.una, e.next = stateSynReceived, iss, iss, iss+1
	e.irs, e.rcvNext = p.Seq, p.Seq+1
	e.timeout = initialTimeout
	e.sendSegment(packet.FlagSYN|packet.FlagACK, iss, nil)
	e.restartTimer(now)
}

// write queues data and sends as much as the window allows.
func (e *endpoint) write(now time.Time, data []byte) {
	e.unacked = append(e.unacked, data...)
	e.flush(now)
}

// close sends a FIN after all queued data.
func (e *endpoint) close(now time.Time) {
	e.closing = true
	e.flush(now)
}

func (e *endpoint) flush(now time.Time) {
	if e.state != stateOpen {
		return
	}
	for !e.finSent {
		sent := int(e.next - e.una)
		size := min(len(e.unacked)-sent, segmentBytes, windowBytes-sent)
		if size <= 0 {
			break
		}
		e.sendSegment(packet.FlagACK|packet.FlagPSH, e.next, e.unacked[sent:sent+size])
		e.next += uint32(size)
	}
	if e.closing && !e.finSent && int(e.next-e.una) == len(e.unacked) {
		e.finSent, e.finSeq = true, e.next
		e.sendSegment(packet.FlagACK|packet.FlagFIN, e.next, nil)
		e.next++
	}
	if e.retransmitAt.IsZero() {
		e.restartTimer(now)
	}
}

// tick retransmits the oldest unacknowledged segment after its timeout.
func (e *endpoint) tick(now time.Time) {
	if e.state == stateDone || e.retransmitAt.IsZero() || now.Before(e.retransmitAt) {
		return
	}
	e.timeout = min(2*e.timeout, maxTimeout)
	e.recovering, e.recover = true, e.next
	e.retransmit()
	e.restartTimer(now)
}

func (e *endpoint) retransmit() {
	switch {
	case e.state == stateSynSent:
		e.sendSegment(packet.FlagSYN, e.iss, nil)
	case e.state == stateSynReceived:
		e.sendSegment(packet.FlagSYN|packet.FlagACK, e.iss, nil)
	case e.finSent && e.una == e.finSeq:
		e.sendSegment(packet.FlagACK|packet.FlagFIN, e.finSeq, nil)
	default:
		size := min(len(e.unacked), segmentBytes, int(e.next-e.una))
		e.sendSegment(packet.FlagACK|packet.FlagPSH, e.una, e.unacked[:size])
	}
}

// receive handles a segment from the other side.
func (e *endpoint) receive(now time.Time, p *packet.Packet) segmentResult {
	payload := p.Data[len(p.Data)-p.PayloadLen:]
	if e.state == stateSynSent {
		return e.receiveSynSent(now, p)
	}
	if !e.acceptable(p) {
		if p.Flags&packet.FlagRST == 0 {
			e.respondUnacceptable(p)
		}
		return segmentResult{}
	}
	if p.Flags&packet.FlagRST != 0 {
		return e.receiveReset(p)
	}
	if p.Flags&packet.FlagSYN != 0 {
		e.sendACK() // Challenge ACK, RFC 5961 section 4.
		return segmentResult{}
	}
	if p.Flags&packet.FlagACK == 0 {
		return segmentResult{}
	}
	var result segmentResult
	if !e.receiveACK(now, p, &result) {
		return result
	}
	e.receiveData(p, payload, &result)
	e.updateDone()
	return result
}

// receiveSynSent follows RFC 9293 section 3.10.7.3.
func (e *endpoint) receiveSynSent(now time.Time, p *packet.Packet) segmentResult {
	if p.Flags&packet.FlagACK == 0 {
		return segmentResult{}
	}
	if p.Ack != e.next {
		if p.Flags&packet.FlagRST == 0 {
			e.emit(packet.TCPSegment{Key: e.key, Flags: packet.FlagRST, Seq: p.Ack})
		}
		return segmentResult{}
	}
	if p.Flags&packet.FlagRST != 0 {
		e.state = stateDone
		return segmentResult{refused: true}
	}
	if p.Flags&packet.FlagSYN == 0 {
		return segmentResult{}
	}
	e.irs, e.rcvNext = p.Seq, p.Seq+1
	e.una, e.state = p.Ack, stateOpen
	e.restartTimer(now)
	e.sendACK()
	e.flush(now)
	return segmentResult{opened: true}
}

// acceptable implements the acceptability test of RFC 9293 section 3.4 for a
// receive window that is never 0.
func (e *endpoint) acceptable(p *packet.Packet) bool {
	end := p.SeqEnd()
	return !seqBefore(p.Seq, e.rcvNext) && seqBefore(p.Seq, e.rcvNext+windowBytes) ||
		seqBefore(e.rcvNext, end) && !seqBefore(e.rcvNext+windowBytes, end)
}

func (e *endpoint) respondUnacceptable(p *packet.Packet) {
	if e.state == stateSynReceived && p.IsOpening() && p.Seq == e.irs {
		e.retransmit()
		return
	}
	e.sendACK()
}

// receiveReset follows RFC 5961 section 3: a reset takes effect only if it has
// exactly the expected sequence number.
func (e *endpoint) receiveReset(p *packet.Packet) segmentResult {
	if p.Seq != e.rcvNext {
		e.sendACK()
		return segmentResult{}
	}
	e.state = stateDone
	return segmentResult{reset: true}
}

// receiveACK processes the acknowledgment and reports whether to process the
// rest of the segment.
func (e *endpoint) receiveACK(now time.Time, p *packet.Packet, result *segmentResult) bool {
	if e.state == stateSynReceived {
		if p.Ack != e.next {
			e.emit(packet.TCPSegment{Key: e.key, Flags: packet.FlagRST, Seq: p.Ack})
			return false
		}
		e.una, e.state, result.opened = p.Ack, stateOpen, true
		e.restartTimer(now)
		return true
	}
	if seqBefore(e.next, p.Ack) {
		e.sendACK()
		return false
	}
	if !seqBefore(e.una, p.Ack) {
		e.countDuplicateACK(p)
		return true
	}
	e.una += e.removeAcked(p.Ack - e.una)
	e.duplicateACKCount, e.timeout = 0, initialTimeout
	if e.recovering = e.recovering && seqBefore(e.una, e.recover); e.recovering {
		e.retransmit()
	}
	e.restartTimer(now)
	e.flush(now)
	return true
}

// removeAcked removes acknowledged data. A count beyond the data covers the FIN.
func (e *endpoint) removeAcked(count uint32) uint32 {
	e.unacked = e.unacked[min(int(count), len(e.unacked)):]
	return count
}

func (e *endpoint) countDuplicateACK(p *packet.Packet) {
	if p.Ack != e.una || e.una == e.next || p.SeqEnd() != p.Seq {
		return
	}
	if e.duplicateACKCount++; e.duplicateACKCount == duplicateACKThreshold && !e.recovering {
		e.recovering, e.recover = true, e.next
		e.retransmit()
	}
}

func (e *endpoint) receiveData(p *packet.Packet, payload []byte, result *segmentResult) {
	if len(payload) == 0 && p.Flags&packet.FlagFIN == 0 {
		return
	}
	if seqBefore(e.rcvNext, p.Seq) {
		if e.outOfOrder == nil {
			e.outOfOrder = map[uint32][]byte{}
		}
		if p.Flags&packet.FlagFIN == 0 {
			e.outOfOrder[p.Seq] = append([]byte(nil), payload...)
		}
		e.sendACK()
		return
	}
	e.appendInOrder(p.Seq, payload, result)
	for {
		next, ok := e.outOfOrder[e.rcvNext]
		if !ok {
			break
		}
		delete(e.outOfOrder, e.rcvNext)
		e.appendInOrder(e.rcvNext, next, result)
	}
	if p.Flags&packet.FlagFIN != 0 && p.SeqEnd()-1 == e.rcvNext && !e.peerClosed {
		e.rcvNext++
		e.peerClosed, result.closed = true, true
	}
	e.sendACK()
}

func (e *endpoint) appendInOrder(seq uint32, payload []byte, result *segmentResult) {
	skip := int(e.rcvNext - seq)
	if skip >= len(payload) || e.peerClosed {
		return
	}
	result.data = append(result.data, payload[skip:]...)
	e.rcvNext += uint32(len(payload) - skip)
}

func (e *endpoint) updateDone() {
	if e.finSent && e.una == e.next && e.peerClosed {
		e.state = stateDone
	}
}

// abort ends the connection and sends a reset if it is open.
func (e *endpoint) abort() {
	if e.state == stateOpen {
		e.sendSegment(packet.FlagRST|packet.FlagACK, e.next, nil)
	}
	e.state = stateDone
}
