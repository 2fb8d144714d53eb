package standin

import (
	"fmt"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

// Flow is one flow of a caller. Its fields belong to the caller's lock.
type Flow struct {
	caller *Caller
	plan   Plan
	done   chan struct{}

	tcp      endpoint
	current  int
	attempts int
	input    []byte
	outcome  Outcome
	reason   string
	// deadline ends the flow, pauseUntil starts the next request, and
	// reopenAt the next attempt; zero times are not set.
	deadline, pauseUntil, reopenAt time.Time
	forgetAt                       time.Time
	finishing                      bool
}

// Done is closed when the flow ended.
func (f *Flow) Done() <-chan struct{} { return f.done }

// Outcome returns how the flow ended and, for a broken one, why.
func (f *Flow) Outcome() (Outcome, string) {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	return f.outcome, f.reason
}

// Finish ends the flow after its present request.
func (f *Flow) Finish() {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	f.finish(time.Now())
}

// Key returns the flow's present key.
func (f *Flow) Key() packet.Key {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	return f.tcp.key
}

// Opened reports whether the flow's connection is established.
func (f *Flow) Opened() bool {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	return f.tcp.state == stateOpen
}

func (f *Flow) assignIDs() {
	for i := range f.plan.Requests {
		f.plan.Requests[i].ID = f.caller.options.Ledger.nextID()
		f.plan.Requests[i].Service = f.plan.Service
	}
}

func (f *Flow) connect(now time.Time) {
	c := f.caller
	key := c.nextKey(f.plan.Destination)
	f.tcp = endpoint{key: key, emit: func(s packet.Segment) {
		if data, err := packet.Build(s); err == nil {
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
		delete(f.caller.flows, f.tcp.key)
		f.connect(now)
	case !f.pauseUntil.IsZero() && now.After(f.pauseUntil):
		f.pauseUntil = time.Time{}
		f.request(now)
	case !f.deadline.IsZero() && now.After(f.deadline):
		if f.tcp.state == stateSynSent {
			f.end(now, Unopened, "no answer to the SYN")
			f.tcp.state = stateDone
			return
		}
		f.end(now, Broken, "no answer before the deadline")
	}
}

// listens is false for a connection that this side gave up: its late segments
// are answered with a reset.
func (f *Flow) listens() bool { return f.tcp.state != stateDone || f.outcome == Completed }

func (f *Flow) receive(now time.Time, p *packet.Packet) {
	got := f.tcp.receive(now, p)
	if f.outcome != Pending {
		return
	}
	if got.refused {
		f.refuse(now)
		return
	}
	if got.opened {
		f.caller.options.Ledger.count(func(r *Report) *int { return &r.FlowsOpened }, "")
		f.request(now)
	}
	f.input = append(f.input, got.data...)
	for f.outcome == Pending && f.takeAnswer(now) {
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

func (f *Flow) refuse(now time.Time) {
	ledger := f.caller.options.Ledger
	if len(f.plan.Requests) > 0 {
		ledger.requestRefused(f.plan.Requests[f.current].ID, f.tcp.key)
	}
	f.attempts++
	if f.attempts > f.plan.Retries {
		f.end(now, Refused, "reset in answer to the SYN")
		return
	}
	f.deadline = time.Time{}
	f.reopenAt = now.Add(time.Duration(f.attempts) * retryDelay)
}

func (f *Flow) request(now time.Time) {
	if f.current >= len(f.plan.Requests) {
		if !f.plan.Repeat || f.finishing || len(f.plan.Requests) == 0 {
			f.complete(now)
			return
		}
		f.current = 0
		f.assignIDs()
	}
	r := f.plan.Requests[f.current]
	f.caller.options.Ledger.requestSent(r.ID)
	f.deadline = now.Add(f.caller.options.AnswerDeadline + r.Poll)
	f.tcp.write(now, r.encode())
}

// takeAnswer handles one whole answer and reports whether there was one.
func (f *Flow) takeAnswer(now time.Time) bool {
	a, size, err := decodeAnswer(f.input)
	if err != nil {
		f.wrong(now, err.Error())
		return false
	}
	if size == 0 {
		return false
	}
	f.input = f.input[size:]
	if f.current >= len(f.plan.Requests) || f.deadline.IsZero() {
		f.wrong(now, fmt.Sprintf("answer %d without a request", a.id))
		return false
	}
	r := f.plan.Requests[f.current]
	if a.service != r.Service {
		f.caller.options.Ledger.count(func(r *Report) *int { return &r.Misrouted },
			"%s: answer from service %d to a request of service %d", f.tcp.key, a.service, r.Service)
	}
	if a.id != r.ID || a.size != r.AnswerSize || !a.intact {
		f.wrong(now, fmt.Sprintf("answer %d of %d bytes, intact %v, to request %d of %d bytes", a.id, a.size, a.intact, r.ID, r.AnswerSize))
		return false
	}
	f.caller.options.Ledger.requestAnswered(r.ID)
	f.next(now)
	return true
}

func (f *Flow) next(now time.Time) {
	f.deadline = time.Time{}
	f.current++
	switch {
	case f.finishing || f.current >= len(f.plan.Requests) && !f.plan.Repeat:
		f.complete(now)
	case f.plan.Pause > 0:
		f.pauseUntil = now.Add(f.plan.Pause)
	default:
		f.request(now)
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

func (f *Flow) wrong(now time.Time, reason string) {
	f.caller.options.Ledger.count(func(r *Report) *int { return &r.WrongAnswers }, "%s: %s", f.tcp.key, reason)
	f.end(now, Broken, reason)
}

func (f *Flow) end(now time.Time, outcome Outcome, reason string) {
	f.outcome, f.reason = outcome, reason
	f.forgetAt = now.Add(lingerTime)
	ledger := f.caller.options.Ledger
	switch outcome {
	case Completed:
		ledger.count(func(r *Report) *int { return &r.FlowsCompleted }, "")
	case Refused:
		ledger.count(func(r *Report) *int { return &r.FlowsRefused }, "%s: %s", f.tcp.key, reason)
	case Unopened:
		ledger.count(func(r *Report) *int { return &r.FlowsUnopened }, "%s: %s", f.tcp.key, reason)
	case Broken:
		ledger.flowBroken(f.tcp.key, reason)
		f.tcp.abort()
	}
	close(f.done)
}
