package standin

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/heathergw/heathergw/internal/packet"
)

const testSeed = 7

var bookingAddress = netip.MustParseAddrPort("198.51.100.1:443")

type fixture struct {
	fabric *Fabric
	ledger *Ledger
	client *Client
	host   *Host
}

// newFixture connects one host directly to the fabric, without heathergw: the
// host is the fabric's only entry.
func newFixture(c *qt.C, change func(*HostOptions)) *fixture {
	fx := &fixture{ledger: NewLedger()}
	var err error
	fx.fabric, err = NewFabric(testSeed)
	c.Assert(err, qt.IsNil)
	options := HostOptions{
		Name: "host-1", Service: 1, Addresses: []netip.AddrPort{bookingAddress}, Agent: fx.fabric.Address(),
		Slots: 4, ServiceTime: 5 * time.Millisecond, Seed: testSeed, Ledger: fx.ledger,
	}
	if change != nil {
		change(&options)
	}
	fx.host, err = NewHost(options)
	c.Assert(err, qt.IsNil)
	fx.fabric.AddEntry(fx.host.Address())
	fx.client = NewClient(ClientOptions{
		Fabric: fx.fabric, Ledger: fx.ledger, Source: netip.MustParseAddr("192.0.2.1"), Seed: testSeed,
		// A request of the loss case can need eight retransmissions.
		ResponseDeadline: 10 * time.Second, OpenDeadline: 10 * time.Second,
	})
	c.Cleanup(func() {
		fx.client.Close()
		fx.host.Kill()
		fx.fabric.Close()
	})
	return fx
}

func (fx *fixture) plan() Plan {
	return Plan{Destination: bookingAddress, Service: 1, Requests: []Request{
		{Kind: Booking, Size: 300, ResponseSize: 5000},
		{Kind: Upload, Size: 40000, ResponseSize: 10},
		{Kind: Tracking, ResponseSize: 2000, Poll: 20 * time.Millisecond},
	}}
}

// TestFlows guards against fakes that themselves lose, repeat or mix up requests,
// and against fakes that do not report the faults of a system under test.
func TestFlows(t *testing.T) {
	t.Logf("seed %d", testSeed)
	tests := []struct {
		name   string
		change func(*HostOptions)
		fault  func(*fixture)
		during func(*fixture)
		check  func(*qt.C, Report)
	}{
		{name: "no fault", check: allAnswered},
		{name: "loss", fault: faults(Faults{Loss: 0.05}), check: allAnswered},
		{name: "duplicates", fault: faults(Faults{Duplicate: 0.5}), check: allAnswered},
		{name: "reorder", fault: faults(Faults{Reorder: 0.3}), check: allAnswered},
		{
			name: "host of another service", change: func(o *HostOptions) { o.Service = 2 },
			check: func(c *qt.C, r Report) { c.Assert(r.Misrouted > 0, qt.IsTrue) },
		},
		{
			name: "packets for another service", change: func(o *HostOptions) { o.Addresses = nil },
			check: func(c *qt.C, r Report) { c.Assert(r.StrayPackets > 0, qt.IsTrue) },
		},
		{
			name: "connection limit", change: func(o *HostOptions) { o.MaxConnections = 1 },
			check: func(c *qt.C, r Report) {
				c.Assert(r.FlowsOpened, qt.Equals, 1)
				c.Assert(r.FlowsRefused, qt.Equals, flowCount-1)
			},
		},
		{
			name: "accept and close", fault: func(fx *fixture) { fx.host.SetAcceptAndClose(true) },
			check: func(c *qt.C, r Report) { c.Assert(r.FlowsBroken, qt.Equals, flowCount) },
		},
		{
			name: "host restarts", fault: shortDeadlines, during: func(fx *fixture) { _ = fx.host.Restart() },
			check: func(c *qt.C, r Report) { c.Assert(r.FlowsBroken, qt.Equals, flowCount) },
		},
		{
			name: "entry unreachable", fault: func(fx *fixture) { shortDeadlines(fx); fx.fabric.SetEntryUnreachable(fx.host.Address(), true) },
			check: func(c *qt.C, r Report) { c.Assert(r.FlowsUnopened, qt.Equals, flowCount) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fx := newFixture(c, test.change)
			defer func() {
				if t.Failed() {
					t.Logf("%+v\n%s", fx.ledger.Report(), strings.Join(fx.ledger.Events(), "\n"))
				}
			}()
			if test.fault != nil {
				test.fault(fx)
			}
			var flows []*Flow
			for range flowCount {
				flows = append(flows, fx.client.Open(fx.plan()))
			}
			if test.during != nil {
				time.Sleep(15 * time.Millisecond)
				test.during(fx)
			}
			for _, f := range flows {
				<-f.Done()
			}
			got := fx.ledger.Report()
			test.check(c, got)
		})
	}
}

const flowCount = 20

func faults(f Faults) func(*fixture) { return func(fx *fixture) { fx.fabric.SetFaults(f) } }

// shortDeadlines is for flows that receive no response.
func shortDeadlines(fx *fixture) {
	fx.client.options.OpenDeadline, fx.client.options.ResponseDeadline = time.Second, time.Second
}

func allAnswered(c *qt.C, r Report) {
	c.Assert(r.RequestsAnswered, qt.Equals, 3*flowCount)
	c.Assert(r.FlowsCompleted, qt.Equals, flowCount)
	c.Assert(r.Violations(), qt.Equals, 0)
}

// TestLongFlow guards against a client that loses an idle flow, and against a
// Finish that interrupts a request in progress.
func TestLongFlow(t *testing.T) {
	c := qt.New(t)
	fx := newFixture(c, nil)
	f := fx.client.Open(Plan{
		Destination: bookingAddress, Service: 1, Repeat: true, Pause: 30 * time.Millisecond,
		Requests: []Request{{Kind: Tracking, ResponseSize: 100, Poll: 30 * time.Millisecond}},
	})
	for fx.ledger.Report().RequestsAnswered < 4 {
		time.Sleep(tickInterval)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c.Assert(fx.client.Finish(ctx), qt.Equals, 0)
	outcome, reason := f.Outcome()
	c.Assert(outcome, qt.Equals, Completed, qt.Commentf(reason))
	got := fx.ledger.Report()
	c.Assert(got.RequestsAnswered, qt.Equals, got.RequestsSent)
}

// TestLedger guards against guarantee violations that the ledger misses, and
// against a permitted retry that it counts as a violation.
func TestLedger(t *testing.T) {
	c := qt.New(t)
	l := NewLedger()
	first, second := packet.Key{Protocol: 6}, packet.Key{Protocol: 17}
	l.requestSent(1)
	l.requestRefused(1, first)
	l.requestRun("a", 1, Request{ID: 1, Service: 1}, second)
	c.Assert(l.Report().Violations(), qt.Equals, 0, qt.Commentf("a retry after a refusal is allowed"))
	l.requestRun("b", 1, Request{ID: 1, Service: 1}, first)
	got := l.Report()
	c.Assert([]int{got.RefusedButRun, got.RequestsRunTwice, got.Misrouted}, qt.DeepEquals, []int{1, 1, 0})
	l.requestRun("c", 2, Request{ID: 2, Service: 1}, first)
	c.Assert(l.Report().Misrouted, qt.Equals, 1)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
