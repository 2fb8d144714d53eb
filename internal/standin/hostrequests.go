package standin

import (
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

// processRequests runs or queues every complete request in c.input. The caller
// holds h.mu.
func (h *Host) processRequests(key packet.Key, c *hostConn) {
	for {
		r, size, err := decodeRequest(c.input)
		if err != nil {
			h.options.Ledger.count(func(r *Report) *int { return &r.WrongAnswers }, "%s: %s: %v", h.options.Name, key, err)
			c.input = nil
			c.tcp.abort()
			return
		}
		if size == 0 {
			return
		}
		c.input = c.input[size:]
		c.pending++
		work := hostRequest{r, key, c}
		switch {
		case r.Kind == Tracking:
			h.options.Ledger.requestRun(h.options.Name, h.options.Service, r, key)
			h.respondAfter(r.Poll, work)
		case h.running < h.options.Slots:
			h.runRequest(work)
		default:
			h.waiting = append(h.waiting, work)
		}
	}
}

func (h *Host) runRequest(work hostRequest) {
	h.running++
	h.options.Ledger.requestRun(h.options.Name, h.options.Service, work.request, work.key)
	h.respondAfter(time.Duration((0.5+h.random.Float64())*float64(h.options.ServiceTime)), work)
}

// respondAfter sends the response after d, unless the host has stopped or
// restarted by then.
func (h *Host) respondAfter(d time.Duration, work hostRequest) {
	generation := h.generation
	time.AfterFunc(d, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.generation != generation {
			return
		}
		now := time.Now()
		if work.request.Kind != Tracking {
			h.running--
			h.startWaiting()
		}
		c := work.conn
		c.pending--
		c.tcp.write(now, work.request.response(h.options.Service))
		if c.tcp.peerClosed && c.pending == 0 {
			c.tcp.close(now)
		}
	})
}

// startWaiting runs the next waiting request whose connection is still open.
func (h *Host) startWaiting() {
	for len(h.waiting) > 0 {
		work := h.waiting[0]
		h.waiting = h.waiting[1:]
		if work.conn.tcp.state != stateDone {
			h.runRequest(work)
			return
		}
	}
}
