package standin

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

const (
	tickInterval = 10 * time.Millisecond
	// lingerTime keeps a closed connection to answer repeated segments.
	lingerTime = 2 * time.Second
	// firstPort and lastPort bound the source ports, which are used in turn.
	firstPort, lastPort = 10000, 65000
	// retryDelay is multiplied by the number of the refused attempt.
	retryDelay = 250 * time.Millisecond
)

// Outcome is how a flow ended for its caller.
type Outcome int

// Outcomes of a flow.
const (
	// Pending flows have not ended.
	Pending Outcome = iota
	// Completed flows got every answer.
	Completed
	// Refused flows got a reset in answer to every SYN.
	Refused
	// Unopened flows got no answer to their SYN before OpenDeadline.
	Unopened
	// Broken flows were opened and then reset, closed early, or left without
	// an answer past AnswerDeadline.
	Broken
)

// CallerOptions configures a caller. Zero durations mean 5 s.
type CallerOptions struct {
	Fabric *Fabric
	Ledger *Ledger
	// Source is the address of all flows; it is unique in the fabric.
	Source netip.Addr
	// Seed drives the initial sequence numbers.
	Seed uint64
	// OpenDeadline bounds an opening; AnswerDeadline bounds an answer, counted
	// from its request, beyond the request's Poll time.
	OpenDeadline, AnswerDeadline time.Duration
}

// Plan is what a flow does.
type Plan struct {
	Destination netip.AddrPort
	// Service is written into every request.
	Service uint32
	// Requests run one after the other; their IDs and services are filled in.
	Requests []Request
	// Pause lies between an answer and the next request.
	Pause time.Duration
	// Repeat starts over after the last request until Finish.
	Repeat bool
	// Retries is the number of further openings after a refused one; the
	// request keeps its id, because a refused request was not run.
	Retries int
}

// Caller opens flows through a fabric. All its flows share one goroutine and
// one lock. Its methods may be called concurrently.
type Caller struct {
	options CallerOptions
	stop    chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	port   uint16
	flows  map[packet.Key]*Flow
	parser packet.Parser
}

// NewCaller attaches a caller to the fabric.
func NewCaller(options CallerOptions) *Caller {
	for _, d := range []*time.Duration{&options.OpenDeadline, &options.AnswerDeadline} {
		if *d == 0 {
			*d = 5 * time.Second
		}
	}
	c := &Caller{
		options: options, stop: make(chan struct{}), done: make(chan struct{}),
		random: rand.New(rand.NewPCG(options.Seed, 2)), port: firstPort, flows: map[packet.Key]*Flow{},
	}
	options.Fabric.Attach(options.Source, c.deliver)
	go c.run()
	return c
}

// Close ends the caller without closing its flows.
func (c *Caller) Close() {
	close(c.stop)
	<-c.done
}

// Open starts a flow.
func (c *Caller) Open(plan Plan) *Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &Flow{caller: c, plan: plan, done: make(chan struct{})}
	f.plan.Requests = append([]Request(nil), plan.Requests...)
	f.assignIDs()
	f.connect(time.Now())
	return f
}

// Finish asks all flows to end after their present request and waits until
// they did or ctx ends. It returns the number of flows that are still open.
func (c *Caller) Finish(ctx context.Context) int {
	c.mu.Lock()
	var open []*Flow
	for _, f := range c.flows {
		if f.outcome == Pending {
			f.finish(time.Now())
			open = append(open, f)
		}
	}
	c.mu.Unlock()
	for i, f := range open {
		select {
		case <-f.done:
		case <-ctx.Done():
			return len(open) - i
		}
	}
	return 0
}

func (c *Caller) run() {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

func (c *Caller) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, f := range c.flows {
		f.tick(now)
		if f.outcome != Pending && now.After(f.forgetAt) {
			delete(c.flows, key)
		}
	}
}

func (c *Caller) deliver(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var p packet.Packet
	if err := c.parser.Parse(data, &p); err != nil || p.Key.Protocol != packet.ProtocolTCP || p.ICMP {
		return
	}
	if f := c.flows[p.Key.Reverse()]; f != nil && f.listens() {
		f.receive(time.Now(), &p)
		return
	}
	if p.Flags&packet.FlagRST == 0 {
		if reset, err := packet.Reset(&p); err == nil {
			c.options.Fabric.Send(reset)
		}
	}
}

func (c *Caller) nextKey(destination netip.AddrPort) packet.Key {
	for {
		c.port++
		if c.port >= lastPort {
			c.port = firstPort
		}
		key := packet.Key{
			Protocol:    packet.ProtocolTCP,
			Source:      netip.AddrPortFrom(c.options.Source, c.port),
			Destination: destination,
		}
		if c.flows[key] == nil {
			return key
		}
	}
}
