package standin

import (
	"bytes"
	"fmt"
	"time"
)

// Kind is the kind of a request.
type Kind int

// Kinds of requests. Booking and Upload occupy a slot of the host for its
// service time; Tracking is a long poll that occupies only a connection.
const (
	Booking Kind = iota + 1
	Upload
	Tracking
)

// Request is one request of a client. On the wire it is a line followed by
// Size bytes; the response is a line followed by ResponseSize bytes.
type Request struct {
	ID      uint64
	Service uint32
	Kind    Kind
	// Size and ResponseSize are the body lengths in bytes.
	Size, ResponseSize int
	// Poll is how long the host holds a Tracking request.
	Poll time.Duration
}

const requestFormat = "REQ %d %d %d %d %d %d"

// maxLineBytes is the maximum length of a request or response line.
const maxLineBytes = 200

func (r Request) encode() []byte {
	line := fmt.Appendf(nil, requestFormat+"\n", r.ID, r.Service, r.Kind, r.Size, r.ResponseSize, r.Poll.Milliseconds())
	return append(line, body(r.ID, r.Size)...)
}

// decodeRequest returns the request at the start of b and its length; the
// length is 0 when b holds only a part of it.
func decodeRequest(b []byte) (Request, int, error) {
	line, ok, err := cutLine(b)
	if !ok || err != nil {
		return Request{}, 0, err
	}
	var r Request
	var poll int64
	if _, err := fmt.Sscanf(line, requestFormat, &r.ID, &r.Service, &r.Kind, &r.Size, &r.ResponseSize, &poll); err != nil {
		return Request{}, 0, fmt.Errorf("decode request %q: %w", line, err)
	}
	r.Poll = time.Duration(poll) * time.Millisecond
	total := len(line) + 1 + r.Size
	if len(b) < total {
		return Request{}, 0, nil
	}
	if !bytes.Equal(b[len(line)+1:total], body(r.ID, r.Size)) {
		return Request{}, 0, fmt.Errorf("body of request %d is corrupt", r.ID)
	}
	return r, total, nil
}

type response struct {
	id      uint64
	service uint32
	size    int
	intact  bool
}

const responseFormat = "ANS %d %d %d"

func (r Request) response(service uint32) []byte {
	line := fmt.Appendf(nil, responseFormat+"\n", r.ID, service, r.ResponseSize)
	return append(line, body(r.ID, r.ResponseSize)...)
}

// decodeResponse returns the response at the start of b and its length; the
// length is 0 when b holds only a part of it.
func decodeResponse(b []byte) (response, int, error) {
	line, ok, err := cutLine(b)
	if !ok || err != nil {
		return response{}, 0, err
	}
	var resp response
	if _, err := fmt.Sscanf(line, responseFormat, &resp.id, &resp.service, &resp.size); err != nil {
		return response{}, 0, fmt.Errorf("decode response %q: %w", line, err)
	}
	total := len(line) + 1 + resp.size
	if len(b) < total {
		return response{}, 0, nil
	}
	resp.intact = bytes.Equal(b[len(line)+1:total], body(resp.id, resp.size))
	return resp, total, nil
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

// body depends on the request ID and the offset, so that a response to another
// request and a lost or repeated segment are detected.
func body(id uint64, size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(id*31 + uint64(i)*7 + uint64(i)>>8)
	}
	return b
}
