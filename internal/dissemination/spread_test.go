package dissemination

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/configstore"
)

const (
	benchmarkSeed  = 1
	changeCount    = 5
	changeInterval = 20 * time.Second
)

// BenchmarkSpread measures how fast a changed bundle becomes the current bundle
// in all processes and what that costs, compared with two baselines. One
// iteration is a whole simulation in virtual time; use -benchtime 1x.
func BenchmarkSpread(b *testing.B) {
	for _, entries := range []int{50, 110, 220, 440} {
		for _, loss := range []float64{0, 0.05, 0.30} {
			b.Run(fmt.Sprintf("entries=%d/loss=%g", entries, loss), func(b *testing.B) {
				benchmarkSpread(b, fleetConfig{entries: entries, loss: loss})
			})
		}
	}
	b.Run("baseline=all_watch/entries=440/loss=0.05", func(b *testing.B) {
		benchmarkSpread(b, fleetConfig{entries: 440, loss: 0.05, allWatch: true})
	})
	b.Run("baseline=whole_gossip/entries=440/loss=0.05", func(b *testing.B) {
		benchmarkSpread(b, fleetConfig{entries: 440, loss: 0.05, wholeGossip: true})
	})
}

func benchmarkSpread(b *testing.B, config fleetConfig) {
	config.seed, config.agents, config.dataCentres = benchmarkSeed, 2300, 6
	for b.Loop() {
		f := newFleet(config)
		f.runFor(60 * time.Second)
		idleMean, _ := f.traffic(30 * time.Second)
		b.ReportMetric(f.peakMinuteReadRate(0), "start_reads/s_minute")
		b.ReportMetric(float64(f.peakSecondReads(0)), "start_reads/s_second")
		startedAt := f.now
		last, median := f.publishChanges(b)
		mean, peak := f.traffic(startedAt)
		b.ReportMetric(last.Seconds(), "last_s")
		b.ReportMetric(median.Seconds(), "median_s")
		b.ReportMetric(idleMean, "idle_B/s")
		b.ReportMetric(mean, "mean_B/s")
		b.ReportMetric(peak, "worst_B/s")
		b.ReportMetric(float64(f.peakSecondReads(startedAt)), "change_reads/s_second")
	}
}

// publishChanges publishes bundles and returns the longest and the median time
// until a process held one of them.
func (f *fleet) publishChanges(b *testing.B) (last, median time.Duration) {
	var times []time.Duration
	for i := range uint64(changeCount) {
		version := testVersion(100 + i)
		startedAt := f.now
		f.publish(version)
		f.runFor(changeInterval)
		for _, n := range f.nodes {
			at, ok := n.heldAt[version.Sequence]
			if !ok {
				b.Fatalf("vm%d does not hold %v after %v", n.index, version, changeInterval)
			}
			times = append(times, at-startedAt)
		}
	}
	slices.Sort(times)
	return times[len(times)-1], times[len(times)/2]
}

// BenchmarkPlatform measures the rate of platform reads when the platform comes
// back after an outage: one during which all processes were replaced, and one
// during which none was.
func BenchmarkPlatform(b *testing.B) {
	for _, replaced := range []bool{false, true} {
		b.Run(fmt.Sprintf("back_after_outage/replaced=%v", replaced), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(fleetConfig{seed: benchmarkSeed, entries: 440, agents: 2300, dataCentres: 6, loss: 0.05})
				f.runFor(60 * time.Second)
				f.setPlatformDown(true)
				if replaced {
					for _, n := range f.nodes {
						f.restart(n)
					}
				}
				f.runFor(10 * time.Minute)
				down := f.peakMinuteReadRate(90 * time.Second)
				since := f.now
				f.platform.version = testVersion(50)
				f.setPlatformDown(false)
				if !f.runUntil(2*time.Minute, func() bool { return f.allHold(testVersion(50)) }) {
					b.Fatal("not all processes hold the bundle after two minutes")
				}
				b.ReportMetric((f.now - since).Seconds(), "last_s")
				f.runFor(2 * time.Minute)
				b.ReportMetric(down, "down_reads/s_minute")
				b.ReportMetric(f.peakMinuteReadRate(since), "back_reads/s_minute")
				b.ReportMetric(float64(f.peakSecondReads(since)), "back_reads/s_second")
			}
		})
	}
}

// BenchmarkCoreSecond measures the CPU time that a core uses in one second
// without changes: 20 ticks, and two announcements in each direction.
func BenchmarkCoreSecond(b *testing.B) {
	f := newFleet(fleetConfig{seed: benchmarkSeed, entries: 440, agents: 2300, dataCentres: 6})
	f.runFor(30 * time.Second)
	core, peer, now := f.nodes[0].core, f.nodes[6], f.now
	var out Actions
	for b.Loop() {
		for range 2 {
			out.Reset()
			peer.core.announce(core.config.Address, false, now, &out)
			message := out.Announcements[0].Message
			out.Reset()
			core.HandleAnnouncement(peer.address, message, now, &out)
			for range 10 {
				now += 50 * time.Millisecond
				core.Tick(now, &out)
			}
		}
	}
}

// BenchmarkDirectory measures the time and memory to build the directory at the
// design size; it is rebuilt when the VM list or the bundle changes.
func BenchmarkDirectory(b *testing.B) {
	view, err := bundle.NewView(designBundle(1, 880, 2300), bundle.Digest{})
	if err != nil {
		b.Fatal(err)
	}
	vms, err := configstore.ParseVMs(designVMList(440, 2300))
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	// The second collection frees what sync.Pool kept during the first.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := NewDirectory(vms, view)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		if NewDirectory(vms, view).Size() != kept.Size() {
			b.Fatal("directories built from the same list differ in size")
		}
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "kept_B")
	runtime.KeepAlive(view)
}

// BenchmarkSequenceTag measures the benefit of carrying the bundle sequence in
// every message. During 60 s with a change every 10 s, each agent receives
// messages from entries; receiver_behind counts the messages whose receiver
// still holds an older bundle than the sender and therefore decides by outdated
// rules.
func BenchmarkSequenceTag(b *testing.B) {
	for _, loss := range []float64{0, 0.05, 0.30} {
		for _, tagged := range []bool{false, true} {
			b.Run(fmt.Sprintf("loss=%g/tag=%v", loss, tagged), func(b *testing.B) {
				for b.Loop() {
					benchmarkSequenceTag(b, loss, tagged)
				}
			})
		}
	}
}

func benchmarkSequenceTag(b *testing.B, loss float64, tagged bool) {
	f := newFleet(fleetConfig{seed: benchmarkSeed, entries: 220, agents: 1150, dataCentres: 6, loss: loss})
	f.runFor(30 * time.Second)
	traffic := &tagTraffic{fleet: f, tagged: tagged}
	startedAt := f.now
	for _, n := range f.nodes[:f.config.entries] {
		traffic.start(n, startedAt+time.Minute)
	}
	for i := range uint64(6) {
		f.publish(testVersion(10 + i))
		f.runFor(10 * time.Second)
	}
	b.ReportMetric(float64(traffic.sent), "messages")
	b.ReportMetric(float64(traffic.receiverBehind), "receiver_behind")
	b.ReportMetric(float64(traffic.senderBehind), "sender_behind")
}

// tagTraffic sends 20 messages a second from every entry to random agents.
type tagTraffic struct {
	fleet                              *fleet
	tagged                             bool
	sent, receiverBehind, senderBehind int
}

const tagInterval = 50 * time.Millisecond

func (t *tagTraffic) start(n *node, end time.Duration) {
	f := t.fleet
	if f.now >= end {
		return
	}
	f.after(tagInterval/2+time.Duration(f.random.Int64N(int64(tagInterval))), func() {
		t.send(n)
		t.start(n, end)
	})
}

func (t *tagTraffic) send(from *node) {
	f := t.fleet
	to := f.nodes[f.config.entries+f.random.IntN(f.config.agents)]
	sequence := from.core.Held().Sequence
	if f.lost(from, to) {
		return
	}
	f.after(f.linkDelay(from, to), func() {
		t.sent++
		switch held := to.core.Held().Sequence; {
		case held < sequence:
			t.receiverBehind++
		case held > sequence:
			t.senderBehind++
		}
		if t.tagged {
			f.dispatch(to, func(out *Actions) { to.core.ObserveSequence(from.address, sequence, f.now, out) })
		}
	})
}
