package standin

import (
	"bytes"
	"fmt"
	"time"
)

// Kind is the kind of a request.
type Kind int

// Kinds of requests. Booking and Upload take a slot of the host for its service
// time; Tracking is a long poll that takes only a connection.
const (
	Booking Kind = iota + 1
	Upload
	Tracking
)

// Request is one request of a caller. On the wire it is a line followed by
// Size bytes; the answer is a line followed by AnswerSize bytes.
type Request struct {
	ID      uint64
	Service uint32
	Kind    Kind
	// Size and AnswerSize are the body lengths in bytes.
	Size, AnswerSize int
	// Poll is how long the host holds a Tracking request.
	Poll time.Duration
}

const requestFormat = "REQ %d %d %d %d %d %d"

// maxLineBytes bounds a request or answer line.
const maxLineBytes = 200

func (r Request) encode() []byte {
	line := fmt.Appendf(nil, requestFormat+"\n", r.ID, r.Service, r.Kind, r.Size, r.AnswerSize, r.Poll.Milliseconds())
	return append(line, body(r.ID, r.Size)...)
}

// decodeRequest returns the request at the start of b and its length; the
// length is 0 when b does not hold all of it.
func decodeRequest(b []byte) (Request, int, error) {
	line, ok, err := cutLine(b)
	if !ok || err != nil {
		return Request{}, 0, err
	}
	var r Request
	var poll int64
	if _, err := fmt.Sscanf(line, requestFormat, &r.ID, &r.Service, &r.Kind, &r.Size, &r.AnswerSize, &poll); err != nil {
		return Request{}, 0, fmt.Errorf("decode request %q: %w", line, err)
	}
	r.Poll = time.Duration(poll) * time.Millisecond
	total := len(line) + 1 + r.Size
	if len(b) < total {
		return Request{}, 0, nil
	}
	if !bytes.Equal(b[len(line)+1:total], body(r.ID, r.Size)) {
		return Request{}, 0, fmt.Errorf("request %d has a wrong body", r.ID)
	}
	return r, total, nil
}

type answer struct {
	id      uint64
	service uint32
	size    int
	intact  bool
}

const answerFormat = "ANS %d %d %d"

func (r Request) answer(service uint32) []byte {
	line := fmt.Appendf(nil, answerFormat+"\n", r.ID, service, r.AnswerSize)
	return append(line, body(r.ID, r.AnswerSize)...)
}

// decodeAnswer returns the answer at the start of b and its length; the length
// is 0 when b does not hold all of it.
func decodeAnswer(b []byte) (answer, int, error) {
	line, ok, err := cutLine(b)
	if !ok || err != nil {
		return answer{}, 0, err
	}
	var a answer
	if _, err := fmt.Sscanf(line, answerFormat, &a.id, &a.service, &a.size); err != nil {
		return answer{}, 0, fmt.Errorf("decode answer %q: %w", line, err)
	}
	total := len(line) + 1 + a.size
	if len(b) < total {
		return answer{}, 0, nil
	}
	a.intact = bytes.Equal(b[len(line)+1:total], body(a.id, a.size))
	return a, total, nil
}

func cutLine(b []byte) (string, bool, error) {
	end := bytes.IndexByte(b[:min(len(b), maxLineBytes)], '\n')
	if end < 0 {
		if len(b) >= maxLineBytes {
			return "", false, fmt.Errorf("line exceeds %d bytes", maxLineBytes)
		}
		return "", false, nil
	}
	return string(b[:end]), true, nil
}

// body depends on the request id, so that an answer to another request or a
// lost or repeated segment shows.
func body(id uint64, size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(id*31 + uint64(i)*7 + uint64(i)>>8)
	}
	return b
}
