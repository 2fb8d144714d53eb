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
	// lingerTime is how long a closed connection still acknowledges
	// retransmitted segments.
	lingerTime = 2 * time.Second
	// firstPort and lastPort bound the source ports, which are used in order.
	firstPort, lastPort = 10000, 65000
	// retryDelay is multiplied by the number of refused attempts so far.
	retryDelay = 250 * time.Millisecond
)

// Outcome is the result of a flow as its client saw it.
type Outcome int

// Outcomes of a flow.
const (
	// Pending flows have not ended.
	Pending Outcome = iota
	// Completed flows received every response.
	Completed
	// Refused flows received a reset in response to every SYN.
	Refused
	// Unopened flows received no response to their SYN within OpenDeadline.
	Unopened
	// Broken flows were opened and then reset, closed early, or received a
	// wrong response or none within ResponseDeadline.
	Broken
)

// ClientOptions configures a client. Zero durations mean 5 s.
type ClientOptions struct {
	Fabric *Fabric
	Ledger *Ledger
	// Source is the source address of all flows; it is unique in the fabric.
	Source netip.Addr
	// Seed drives the initial sequence numbers.
	Seed uint64
	// OpenDeadline bounds the wait for a SYN-ACK. ResponseDeadline bounds the
	// wait for a response, in addition to the Poll time of the request.
	OpenDeadline, ResponseDeadline time.Duration
}

// Plan describes the requests of a flow.
type Plan struct {
	Destination netip.AddrPort
	// Service is written into every request.
	Service uint32
	// Requests are sent one after the other; Open fills in their ID and Service.
	Requests []Request
	// Pause is the time between a response and the next request.
	Pause time.Duration
	// Repeat restarts with the first request after the last one, until Finish.
	Repeat bool
	// Retries is the number of further attempts after a refused opening. The
	// request keeps its ID, because a refused request was not run.
	Retries int
}

// Client opens flows through a fabric. All its flows share one goroutine and
// one lock. Its methods may be called concurrently.
type Client struct {
	options ClientOptions
	stop    chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	port   uint16
	flows  map[packet.Key]*Flow
	parser packet.Parser
}

// NewClient attaches a client to the fabric.
func NewClient(options ClientOptions) *Client {
	for _, d := range []*time.Duration{&options.OpenDeadline, &options.ResponseDeadline} {
		if *d == 0 {
			*d = 5 * time.Second
		}
	}
	c := &Client{
		options: options, stop: make(chan struct{}), done: make(chan struct{}),
		random: rand.New(rand.NewPCG(options.Seed, 2)), port: firstPort, flows: map[packet.Key]*Flow{},
	}
	options.Fabric.Attach(options.Source, c.deliver)
	go c.run()
	return c
}

// Close stops the client without closing its flows.
func (c *Client) Close() {
	close(c.stop)
	<-c.done
}

// Open starts a flow.
func (c *Client) Open(plan Plan) *Flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &Flow{client: c, plan: plan, done: make(chan struct{})}
	f.plan.Requests = append([]Request(nil), plan.Requests...)
	f.assignIDs()
	f.connect(time.Now())
	return f
}

// Finish ends all flows after their current request and waits until they have
// ended or ctx is done. It returns the number of flows that are still open.
func (c *Client) Finish(ctx context.Context) int {
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

func (c *Client) run() {
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

func (c *Client) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, f := range c.flows {
		f.tick(now)
		if f.outcome != Pending && now.After(f.removeAt) {
			delete(c.flows, key)
		}
	}
}

func (c *Client) deliver(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var p packet.Packet
	if err := c.parser.Parse(data, &p); err != nil || p.Key.Protocol != packet.ProtocolTCP || p.ICMP {
		return
	}
	if f := c.flows[p.Key.Reverse()]; f != nil && f.acceptsSegments() {
		f.receive(time.Now(), &p)
		return
	}
	if p.Flags&packet.FlagRST == 0 {
		if reset, err := packet.Reset(&p); err == nil {
			c.options.Fabric.Send(reset)
		}
	}
}

func (c *Client) nextKey(destination netip.AddrPort) packet.Key {
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
