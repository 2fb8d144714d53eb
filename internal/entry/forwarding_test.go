package entry

import (
	"context"
	"encoding/base64"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

const (
	payloadBytes = 500
	// A single worker receives from several senders, so that forwarding is the
	// bottleneck.
	forwardWorkers = 1
	senderCount    = 3
	sendDuration   = time.Second
)

func testSettings() *schema.Settings {
	return &schema.Settings{
		Name: "entry-1", DataCentre: "dc1", Listen: "127.0.0.1:0", Workers: forwardWorkers, InnerMtuBytes: 1400,
		SeedPeers: []string{"127.0.0.1:1"},
		FleetKeys: []string{base64.StdEncoding.EncodeToString(make([]byte, wire.FleetKeySize))},
		Role: &schema.Settings_Entry{Entry: &schema.EntrySettings{
			FabricListen: "127.0.0.1:0", CacheFlows: benchmarkFlows,
			StopIdle: durationpb.New(100 * time.Millisecond), StopDeadline: durationpb.New(time.Second),
		}},
	}
}

func listenLoopback(b testing.TB) *wire.Socket {
	s, err := wire.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Close() })
	return s
}

// countReceived counts the datagrams received on the socket until it is closed.
func countReceived(s *wire.Socket, count *atomic.Int64) {
	messages := wire.NewReadBatch(wire.BatchSize)
	for {
		n, err := s.ReadBatch(messages)
		if err != nil {
			return
		}
		count.Add(int64(n))
	}
}

// sendBatches sends full batches of packets for sendDuration.
func sendBatches(b *testing.B, to *wire.Socket) {
	data, err := packet.BuildTCP(packet.TCPSegment{
		Key: flowPacket(1, 0).Key, Flags: packet.FlagACK, Payload: make([]byte, payloadBytes),
	})
	if err != nil {
		b.Fatal(err)
	}
	queue := wire.NewWriteQueue(listenLoopback(b), wire.BatchSize)
	for end := time.Now().Add(sendDuration); time.Now().Before(end); {
		for range wire.BatchSize {
			queue.Add(wire.AppendGRE(queue.Next(), data), to.Address())
		}
		queue.Flush()
	}
}

func sendFromAll(b *testing.B, to *wire.Socket) {
	var senders sync.WaitGroup
	for range senderCount {
		senders.Go(func() { sendBatches(b, to) })
	}
	senders.Wait()
}

// startBareForwarder copies datagrams from in to sink with the same batch size
// and number of workers as an entry. It is the baseline of the benchmark.
func startBareForwarder(in, out, sink *wire.Socket) {
	for range forwardWorkers {
		go func() {
			messages := wire.NewReadBatch(wire.BatchSize)
			queue := wire.NewWriteQueue(out, wire.BatchSize)
			for {
				n, err := in.ReadBatch(messages)
				if err != nil {
					return
				}
				for i := range messages[:n] {
					queue.Add(append(queue.Next(), messages[i].Buffers[0][:messages[i].N]...), sink.Address())
				}
				queue.Flush()
			}
		}()
	}
}

// sinkView returns a view in which the agent address of every target is the sink.
func sinkView(b testing.TB, sink *wire.Socket) *bundle.View {
	v := testView(b, 10)
	for _, target := range v.Services[0].Targets {
		target.Agent = sink.Address()
	}
	return v
}

// BenchmarkForwarding compares the packets per second of an entry with those of
// a forwarder that only copies datagrams. The ratio must be at least 0.6.
func BenchmarkForwarding(b *testing.B) {
	measure := func(in *wire.Socket, count *atomic.Int64) float64 {
		sendFromAll(b, in) // warm-up of caches and socket buffers
		before, begin := count.Load(), time.Now()
		sendFromAll(b, in)
		return float64(count.Load()-before) / time.Since(begin).Seconds()
	}
	for b.Loop() {
		sink := listenLoopback(b)
		var count atomic.Int64
		go countReceived(sink, &count)

		in := listenLoopback(b)
		startBareForwarder(in, listenLoopback(b), sink)
		bare := measure(in, &count)
		_ = in.Close()

		e, err := New(testSettings(), zap.NewNop())
		if err != nil {
			b.Fatal(err)
		}
		e.SetView(sinkView(b, sink))
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- e.Run(ctx) }()
		entry := measure(e.fabric, &count)
		stop()
		if err := <-done; err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(bare, "bare-packets/s")
		b.ReportMetric(entry, "entry-packets/s")
		b.ReportMetric(entry/bare, "ratio")
	}
}
