package relaynode

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/platform/platformtest"
)

// Guards against a packet that is lost with the agent to which it was forwarded: without an
// answer to its probe the packet goes on to the next candidate before the client
// retransmits it. With an answer it is sent once.
func TestPacketPassesAgentThatDoesNotRun(t *testing.T) {
	for name, answers := range map[string]bool{"no answer": false, "answer": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			running, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.4.2.2:0")))
			c.Assert(err, qt.IsNil)
			defer func() { _ = running.Close() }()
			log := logging.New(io.Discard)
			defer log.Close()
			p := newTestProcess(c, log, "127.4.2.9:0", uint16(running.LocalAddr().(*net.UDPAddr).Port), "127.4.2.1:9000", "127.4.2.2:9000")
			w := &worker{
				process: p, out: wire.NewWriteQueue(p.packetSocket, batchSize),
				decide: relay.Entry{Core: p.core, DataCentre: "dc-1"}.FromClient,
			}
			again := replayWorkers{network: w.copy()}
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan error)
			go func() { ended <- p.replayUnconfirmed(ctx, again) }()
			sent := packetFor(c, p, "127.4.2.1:9000")
			first := p.core.View.Load().Route(testDestination).Services[0].Targets[0].ID
			start := time.Now()
			w.handle(sent.Encode(), netip.MustParseAddr("100.64.0.1"), node.Clock())
			w.out.Flush()
			if answers {
				p.core.Reach.RecordAnswer(first, node.Clock())
			}
			c.Assert(running.SetReadDeadline(time.Now().Add(500*time.Millisecond)), qt.IsNil)
			buffer := make([]byte, 2048)
			n, err := running.Read(buffer)
			if answers {
				c.Check(err, qt.IsNotNil, qt.Commentf("the packet was sent again"))
			} else {
				c.Assert(err, qt.IsNil)
				c.Check(time.Since(start) >= relay.ReachConfig.AnswerTimeout, qt.IsTrue)
				got, err := platformtest.Decode(buffer[:n])
				c.Assert(err, qt.IsNil, qt.Commentf("the packet is unchanged"))
				c.Check(got.Src, qt.Equals, sent.Src)
			}
			stop()
			c.Check(<-ended, qt.IsNil)
		})
	}
}
