package standin

import (
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

const (
	// segmentBytes keeps an IPv4 or IPv6 packet under the default inner MTU.
	segmentBytes = 1200
	// windowBytes bounds the data in flight and the accepted sequence range.
	windowBytes = 32 * segmentBytes
	// firstTimeout and lastTimeout bound the retransmission timeout.
	firstTimeout = 200 * time.Millisecond
	lastTimeout  = 800 * time.Millisecond
	// duplicateACKs is the number of duplicate acknowledgments that repeats a
	// segment before its timeout (RFC 5681).
	duplicateACKs = 3
)

type state int

const (
	stateClosed state = iota
	stateSynSent
	stateSynReceived
	stateOpen
	// stateDone: both sides closed, or the connection was reset.
	stateDone
)

// progress is what one segment changed for the application.
type progress struct {
	opened  bool
	reset   bool
	refused bool
	closed  bool
	data    []byte
}

// endpoint is one end of a TCP connection after RFC 9293 and RFC 5961, without
// options, window scaling and urgent data. It reads no clock and opens no
// socket: emit receives every segment that it sends.
type endpoint struct {
	key   packet.Key
	emit  func(packet.Segment)
	state state

	// iss and irs are the initial sequence numbers of both sides.
	iss, irs uint32
	// una is the oldest unacknowledged number, next the next one to send.
	una, next uint32
	receiveAt uint32
	// recover is the end of the range that is repeated after a loss.
	recover    uint32
	recovering bool
	duplicates int

	// unacked holds the data from una on, without SYN and FIN.
	unacked []byte
	early   map[uint32][]byte

	closing, finSent, peerClosed bool
	finSeq                       uint32
	timeout                      time.Duration
	// resendAt is zero when nothing waits for an acknowledgment.
	resendAt time.Time
}

func before(a, b uint32) bool { return int32(a-b) < 0 }

func (e *endpoint) segment(flags uint8, seq uint32, payload []byte) {
	s := packet.Segment{Key: e.key, Flags: flags, Seq: seq, Payload: payload}
	if flags&packet.FlagACK != 0 {
		s.Ack = e.receiveAt
	}
	e.emit(s)
}

func (e *endpoint) ack() { e.segment(packet.FlagACK, e.next, nil) }

func (e *endpoint) arm(now time.Time) {
	if e.una == e.next {
		e.resendAt, e.timeout = time.Time{}, firstTimeout
		return
	}
	e.resendAt = now.Add(e.timeout)
}

// connect sends the SYN.
func (e *endpoint) connect(now time.Time, iss uint32) {
	e.state, e.iss, e.una, e.next = stateSynSent, iss, iss, iss+1
	e.timeout = firstTimeout
	e.segment(packet.FlagSYN, iss, nil)
	e.arm(now)
}

// accept answers the SYN in p.
func (e *endpoint) accept(now time.Time, iss uint32, p *packet.Packet) {
	e.state, e.iss, e.una, e.next = stateSynReceived, iss, iss, iss+1
	e.irs, e.receiveAt = p.Seq, p.Seq+1
	e.timeout = firstTimeout
	e.segment(packet.FlagSYN|packet.FlagACK, iss, nil)
	e.arm(now)
}

// write queues data and sends what the window allows.
func (e *endpoint) write(now time.Time, data []byte) {
	e.unacked = append(e.unacked, data...)
	e.flush(now)
}

// close sends a FIN after the queued data.
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
		e.segment(packet.FlagACK|packet.FlagPSH, e.next, e.unacked[sent:sent+size])
		e.next += uint32(size)
	}
	if e.closing && !e.finSent && int(e.next-e.una) == len(e.unacked) {
		e.finSent, e.finSeq = true, e.next
		e.segment(packet.FlagACK|packet.FlagFIN, e.next, nil)
		e.next++
	}
	if e.resendAt.IsZero() {
		e.arm(now)
	}
}

// tick repeats the oldest unacknowledged segment after its timeout.
func (e *endpoint) tick(now time.Time) {
	if e.state == stateDone || e.resendAt.IsZero() || now.Before(e.resendAt) {
		return
	}
	e.timeout = min(2*e.timeout, lastTimeout)
	e.recovering, e.recover = true, e.next
	e.resend()
	e.arm(now)
}

func (e *endpoint) resend() {
	switch {
	case e.state == stateSynSent:
		e.segment(packet.FlagSYN, e.iss, nil)
	case e.state == stateSynReceived:
		e.segment(packet.FlagSYN|packet.FlagACK, e.iss, nil)
	case e.finSent && e.una == e.finSeq:
		e.segment(packet.FlagACK|packet.FlagFIN, e.finSeq, nil)
	default:
		size := min(len(e.unacked), segmentBytes, int(e.next-e.una))
		e.segment(packet.FlagACK|packet.FlagPSH, e.una, e.unacked[:size])
	}
}

// receive handles a segment from the other side.
func (e *endpoint) receive(now time.Time, p *packet.Packet) progress {
	payload := p.Data[len(p.Data)-p.PayloadLen:]
	if e.state == stateSynSent {
		return e.receiveSynSent(now, p)
	}
	if !e.acceptable(p) {
		if p.Flags&packet.FlagRST == 0 {
			e.answerUnacceptable(p)
		}
		return progress{}
	}
	if p.Flags&packet.FlagRST != 0 {
		return e.receiveReset(p)
	}
	if p.Flags&packet.FlagSYN != 0 {
		e.ack() // Challenge, RFC 5961 section 4.
		return progress{}
	}
	if p.Flags&packet.FlagACK == 0 {
		return progress{}
	}
	var out progress
	if !e.receiveACK(now, p, &out) {
		return out
	}
	e.receiveData(p, payload, &out)
	e.finish()
	return out
}

// receiveSynSent follows RFC 9293 section 3.10.7.3.
func (e *endpoint) receiveSynSent(now time.Time, p *packet.Packet) progress {
	if p.Flags&packet.FlagACK == 0 {
		return progress{}
	}
	if p.Ack != e.next {
		if p.Flags&packet.FlagRST == 0 {
			e.emit(packet.Segment{Key: e.key, Flags: packet.FlagRST, Seq: p.Ack})
		}
		return progress{}
	}
	if p.Flags&packet.FlagRST != 0 {
		e.state = stateDone
		return progress{refused: true}
	}
	if p.Flags&packet.FlagSYN == 0 {
		return progress{}
	}
	e.irs, e.receiveAt = p.Seq, p.Seq+1
	e.una, e.state = p.Ack, stateOpen
	e.arm(now)
	e.ack()
	e.flush(now)
	return progress{opened: true}
}

// acceptable is the test of RFC 9293 section 3.4 for a window that is never 0.
func (e *endpoint) acceptable(p *packet.Packet) bool {
	end := p.SeqEnd()
	return !before(p.Seq, e.receiveAt) && before(p.Seq, e.receiveAt+windowBytes) ||
		before(e.receiveAt, end) && !before(e.receiveAt+windowBytes, end)
}

func (e *endpoint) answerUnacceptable(p *packet.Packet) {
	if e.state == stateSynReceived && p.IsOpening() && p.Seq == e.irs {
		e.resend()
		return
	}
	e.ack()
}

// receiveReset follows RFC 5961 section 3: only the exact number resets.
func (e *endpoint) receiveReset(p *packet.Packet) progress {
	if p.Seq != e.receiveAt {
		e.ack()
		return progress{}
	}
	e.state = stateDone
	return progress{reset: true}
}

// receiveACK reports whether the rest of the segment is to be processed.
func (e *endpoint) receiveACK(now time.Time, p *packet.Packet, out *progress) bool {
	if e.state == stateSynReceived {
		if p.Ack != e.next {
			e.emit(packet.Segment{Key: e.key, Flags: packet.FlagRST, Seq: p.Ack})
			return false
		}
		e.una, e.state, out.opened = p.Ack, stateOpen, true
		e.arm(now)
		return true
	}
	if before(e.next, p.Ack) {
		e.ack()
		return false
	}
	if !before(e.una, p.Ack) {
		e.countDuplicate(p)
		return true
	}
	e.una += e.dropAcked(p.Ack - e.una)
	e.duplicates, e.timeout = 0, firstTimeout
	if e.recovering = e.recovering && before(e.una, e.recover); e.recovering {
		e.resend()
	}
	e.arm(now)
	e.flush(now)
	return true
}

// dropAcked removes acknowledged data; the rest of count is the FIN.
func (e *endpoint) dropAcked(count uint32) uint32 {
	e.unacked = e.unacked[min(int(count), len(e.unacked)):]
	return count
}

func (e *endpoint) countDuplicate(p *packet.Packet) {
	if p.Ack != e.una || e.una == e.next || p.SeqEnd() != p.Seq {
		return
	}
	if e.duplicates++; e.duplicates == duplicateACKs && !e.recovering {
		e.recovering, e.recover = true, e.next
		e.resend()
	}
}

func (e *endpoint) receiveData(p *packet.Packet, payload []byte, out *progress) {
	if len(payload) == 0 && p.Flags&packet.FlagFIN == 0 {
		return
	}
	if before(e.receiveAt, p.Seq) {
		if e.early == nil {
			e.early = map[uint32][]byte{}
		}
		if p.Flags&packet.FlagFIN == 0 {
			e.early[p.Seq] = append([]byte(nil), payload...)
		}
		e.ack()
		return
	}
	e.take(p.Seq, payload, out)
	for {
		next, ok := e.early[e.receiveAt]
		if !ok {
			break
		}
		delete(e.early, e.receiveAt)
		e.take(e.receiveAt, next, out)
	}
	if p.Flags&packet.FlagFIN != 0 && p.SeqEnd()-1 == e.receiveAt && !e.peerClosed {
		e.receiveAt++
		e.peerClosed, out.closed = true, true
	}
	e.ack()
}

func (e *endpoint) take(seq uint32, payload []byte, out *progress) {
	skip := int(e.receiveAt - seq)
	if skip >= len(payload) || e.peerClosed {
		return
	}
	out.data = append(out.data, payload[skip:]...)
	e.receiveAt += uint32(len(payload) - skip)
}

func (e *endpoint) finish() {
	if e.finSent && e.una == e.next && e.peerClosed {
		e.state = stateDone
	}
}

// abort resets the connection from this side.
func (e *endpoint) abort() {
	if e.state == stateOpen {
		e.segment(packet.FlagRST|packet.FlagACK, e.next, nil)
	}
	e.state = stateDone
}
