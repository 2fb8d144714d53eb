package standin

import (
	"fmt"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

// Flow is one flow of a client. Client.mu guards its fields.
type Flow struct {
	client *Client
	plan   Plan
	done   chan struct{}

	tcp      endpoint
	current  int
	attempts int
	input    []byte
	outcome  Outcome
	reason   string
	// deadline is when the flow fails, pauseUntil when the next request is
	// sent, and reopenAt when the next attempt starts; zero means not set.
	deadline, pauseUntil, reopenAt time.Time
	removeAt                       time.Time
	finishing                      bool
}

// Done returns a channel that is closed when the flow ends.
func (f *Flow) Done() <-chan struct{} { return f.done }

// Outcome returns how the flow ended and, for a broken one, why.
func (f *Flow) Outcome() (Outcome, string) {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.outcome, f.reason
}

// Finish ends the flow after its current request.
func (f *Flow) Finish() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	f.finish(time.Now())
}

// Key returns the flow's current key.
func (f *Flow) Key() packet.Key {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.tcp.key
}

// Opened reports whether the flow's connection is established.
func (f *Flow) Opened() bool {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.tcp.state == stateOpen
}

func (f *Flow) assignIDs() {
	for i := range f.plan.Requests {
		f.plan.Requests[i].ID = f.client.options.Ledger.newRequestID()
		f.plan.Requests[i].Service = f.plan.Service
	}
}

func (f *Flow) connect(now time.Time) {
	c := f.client
	key := c.nextKey(f.plan.Destination)
	f.tcp = endpoint{key: key, emit: func(s packet.TCPSegment) {
		if data, err := packet.BuildTCP(s); err == nil {
			c.options.Fabric.Send(data)
		}
	}}
	f.deadline, f.reopenAt = now.Add(c.options.OpenDeadline), time.Time{}
	c.flows[key] = f
	f.tcp.connect(now, c.random.Uint32())
}

func (f *Flow) tick(now time.Time) {
	f.tcp.tick(now)
	switch {
	case f.outcome != Pending:
	case !f.reopenAt.IsZero() && now.After(f.reopenAt):
		delete(f.client.flows, f.tcp.key)
		f.connect(now)
	case !f.pauseUntil.IsZero() && now.After(f.pauseUntil):
		f.pauseUntil = time.Time{}
		f.sendRequest(now)
	case !f.deadline.IsZero() && now.After(f.deadline):
		if f.tcp.state == stateSynSent {
			f.end(now, Unopened, "no response to the SYN")
			f.tcp.state = stateDone
			return
		}
		f.end(now, Broken, "no response before the deadline")
	}
}

// acceptsSegments is false for a connection that the client has abandoned: its
// late segments are answered with a reset.
func (f *Flow) acceptsSegments() bool { return f.tcp.state != stateDone || f.outcome == Completed }

func (f *Flow) receive(now time.Time, p *packet.Packet) {
	got := f.tcp.receive(now, p)
	if f.outcome != Pending {
		return
	}
	if got.refused {
		f.handleRefusal(now)
		return
	}
	if got.opened {
		f.client.options.Ledger.count(func(r *Report) *int { return &r.FlowsOpened }, "")
		f.sendRequest(now)
	}
	f.input = append(f.input, got.data...)
	for f.outcome == Pending && f.processResponse(now) {
	}
	if f.outcome != Pending {
		return
	}
	switch {
	case got.reset:
		f.end(now, Broken, "reset")
	case got.closed:
		f.end(now, Broken, "closed by the host")
	}
}

func (f *Flow) handleRefusal(now time.Time) {
	ledger := f.client.options.Ledger
	if len(f.plan.Requests) > 0 {
		ledger.requestRefused(f.plan.Requests[f.current].ID, f.tcp.key)
	}
	f.attempts++
	if f.attempts > f.plan.Retries {
		f.end(now, Refused, "reset in response to the SYN")
		return
	}
	f.deadline = time.Time{}
	f.reopenAt = now.Add(time.Duration(f.attempts) * retryDelay)
}

func (f *Flow) sendRequest(now time.Time) {
	if f.current >= len(f.plan.Requests) {
		if !f.plan.Repeat || f.finishing || len(f.plan.Requests) == 0 {
			f.complete(now)
			return
		}
		f.current = 0
		f.assignIDs()
	}
	r := f.plan.Requests[f.current]
	f.client.options.Ledger.requestSent(r.ID)
	f.deadline = now.Add(f.client.options.ResponseDeadline + r.Poll)
	f.tcp.write(now, r.encode())
}

// processResponse handles one complete response and reports whether there was
// a correct one.
func (f *Flow) processResponse(now time.Time) bool {
	response, size, err := decodeResponse(f.input)
	if err != nil {
		f.rejectResponse(now, err.Error())
		return false
	}
	if size == 0 {
		return false
	}
	f.input = f.input[size:]
	if f.current >= len(f.plan.Requests) || f.deadline.IsZero() {
		f.rejectResponse(now, fmt.Sprintf("response %d without a request", response.id))
		return false
	}
	r := f.plan.Requests[f.current]
	if response.service != r.Service {
		f.client.options.Ledger.count(func(r *Report) *int { return &r.Misrouted },
			"%s: response from service %d to a request for service %d", f.tcp.key, response.service, r.Service)
	}
	if response.id != r.ID || response.size != r.ResponseSize || !response.intact {
		f.rejectResponse(now, fmt.Sprintf("response %d of %d bytes, intact %v, to request %d that expects %d bytes", response.id, response.size, response.intact, r.ID, r.ResponseSize))
		return false
	}
	f.client.options.Ledger.requestAnswered(r.ID)
	f.advance(now)
	return true
}

func (f *Flow) advance(now time.Time) {
	f.deadline = time.Time{}
	f.current++
	switch {
	case f.finishing || f.current >= len(f.plan.Requests) && !f.plan.Repeat:
		f.complete(now)
	case f.plan.Pause > 0:
		f.pauseUntil = now.Add(f.plan.Pause)
	default:
		f.sendRequest(now)
	}
}

func (f *Flow) finish(now time.Time) {
	f.finishing = true
	if f.outcome == Pending && !f.pauseUntil.IsZero() {
		f.complete(now)
	}
}

func (f *Flow) complete(now time.Time) {
	f.end(now, Completed, "")
	f.tcp.close(now)
}

func (f *Flow) rejectResponse(now time.Time, reason string) {
	f.client.options.Ledger.count(func(r *Report) *int { return &r.WrongAnswers }, "%s: %s", f.tcp.key, reason)
	f.end(now, Broken, reason)
}

func (f *Flow) end(now time.Time, outcome Outcome, reason string) {
	f.outcome, f.reason = outcome, reason
	f.removeAt = now.Add(lingerTime)
	ledger := f.client.options.Ledger
	switch outcome {
	case Completed:
		ledger.count(func(r *Report) *int { return &r.FlowsCompleted }, "")
	case Refused:
		ledger.count(func(r *Report) *int { return &r.FlowsRefused }, "%s: %s", f.tcp.key, reason)
	case Unopened:
		ledger.count(func(r *Report) *int { return &r.FlowsUnopened }, "%s: %s", f.tcp.key, reason)
	case Broken:
		ledger.flowBroken(FlowIdentity{f.tcp.key, f.tcp.irs}, reason)
		f.tcp.abort()
	}
	close(f.done)
}
