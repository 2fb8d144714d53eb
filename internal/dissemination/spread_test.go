package dissemination

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/platform"
)

const (
	spreadSeed    = 1
	spreadChanges = 5
	spreadEvery   = 20 * time.Second
)

// BenchmarkSpread measures how fast a changed bundle is in force everywhere
// and what that costs, next to two baselines. One iteration is a whole run
// under virtual time; use -benchtime 1x.
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
	config.seed, config.agents, config.dataCentres = spreadSeed, 2300, 6
	for b.Loop() {
		f := newFleet(config)
		f.runFor(60 * time.Second)
		idleMean, _ := f.traffic(30 * time.Second)
		b.ReportMetric(f.worstMinute(0), "start_reads/s_minute")
		b.ReportMetric(float64(f.worstSecond(0)), "start_reads/s_second")
		began := f.now
		last, median := f.changes(b)
		mean, worst := f.traffic(began)
		b.ReportMetric(last.Seconds(), "last_s")
		b.ReportMetric(median.Seconds(), "median_s")
		b.ReportMetric(idleMean, "idle_B/s")
		b.ReportMetric(mean, "mean_B/s")
		b.ReportMetric(worst, "worst_B/s")
		b.ReportMetric(float64(f.worstSecond(began)), "change_reads/s_second")
	}
}

// changes publishes bundles and returns the longest and the median time until
// a process had one in force.
func (f *fleet) changes(b *testing.B) (last, median time.Duration) {
	var times []time.Duration
	for i := range uint64(spreadChanges) {
		version := versionNumber(100 + i)
		began := f.now
		f.publish(version)
		f.runFor(spreadEvery)
		for _, n := range f.nodes {
			at, ok := n.inForce[version.Sequence]
			if !ok {
				b.Fatalf("vm%d does not hold %v after %v", n.index, version, spreadEvery)
			}
			times = append(times, at-began)
		}
	}
	slices.Sort(times)
	return times[len(times)-1], times[len(times)/2]
}

// BenchmarkPlatform measures the platform's reads when it comes back after an
// outage during which all processes were replaced, and when only it failed.
func BenchmarkPlatform(b *testing.B) {
	for _, replaced := range []bool{false, true} {
		b.Run(fmt.Sprintf("back_after_outage/replaced=%v", replaced), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(fleetConfig{seed: spreadSeed, entries: 440, agents: 2300, dataCentres: 6, loss: 0.05})
				f.runFor(60 * time.Second)
				f.setPlatformDown(true)
				if replaced {
					for _, n := range f.nodes {
						f.restart(n)
					}
				}
				f.runFor(10 * time.Minute)
				down := f.worstMinute(90 * time.Second)
				since := f.now
				f.platform.version = versionNumber(50)
				f.setPlatformDown(false)
				if !f.runUntil(2*time.Minute, func() bool { return f.everyoneHolds(versionNumber(50)) }) {
					b.Fatal("not everyone holds the bundle after two minutes")
				}
				b.ReportMetric((f.now - since).Seconds(), "last_s")
				f.runFor(2 * time.Minute)
				b.ReportMetric(down, "down_reads/s_minute")
				b.ReportMetric(f.worstMinute(since), "back_reads/s_minute")
				b.ReportMetric(float64(f.worstSecond(since)), "back_reads/s_second")
			}
		})
	}
}

// BenchmarkCoreSecond measures the CPU time of one core in one second without
// changes: 20 ticks, and two announcements each way.
func BenchmarkCoreSecond(b *testing.B) {
	f := newFleet(fleetConfig{seed: spreadSeed, entries: 440, agents: 2300, dataCentres: 6})
	f.runFor(30 * time.Second)
	core, peer, now := f.nodes[0].core, f.nodes[6], f.now
	var out Actions
	for b.Loop() {
		for range 2 {
			out.Reset()
			peer.core.announce(core.config.Address, false, now, &out)
			message := out.Announcements[0].Message
			out.Reset()
			core.Announcement(peer.address, message, now, &out)
			for range 10 {
				now += 50 * time.Millisecond
				core.Tick(now, &out)
			}
		}
	}
}

// BenchmarkDirectory measures the time and the memory of the list of processes
// at the design size, which is rebuilt when the VM list or the bundle changes.
func BenchmarkDirectory(b *testing.B) {
	view, err := bundle.NewView(designBundle(1, 880, 2300), bundle.Digest{})
	if err != nil {
		b.Fatal(err)
	}
	vms, err := platform.ParseVMs(designVMs(440, 2300))
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	// The second collection frees what pools kept during the first.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := NewDirectory(vms, view)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		if NewDirectory(vms, view).Size() != kept.Size() {
			b.Fatal("directories of one list differ")
		}
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "kept_B")
	runtime.KeepAlive(view)
}

// BenchmarkSequenceTag measures what the bundle sequence on every message is
// worth. During 60 s with a change every 10 s, each agent gets messages from
// entries; a message is misplaced when its receiver still holds an older
// bundle than its sender, so that it decides on old rules.
func BenchmarkSequenceTag(b *testing.B) {
	for _, loss := range []float64{0, 0.05, 0.30} {
		for _, tagged := range []bool{false, true} {
			b.Run(fmt.Sprintf("loss=%g/tag=%v", loss, tagged), func(b *testing.B) {
				for b.Loop() {
					benchmarkTag(b, loss, tagged)
				}
			})
		}
	}
}

func benchmarkTag(b *testing.B, loss float64, tagged bool) {
	f := newFleet(fleetConfig{seed: spreadSeed, entries: 220, agents: 1150, dataCentres: 6, loss: loss})
	f.runFor(30 * time.Second)
	traffic := &tagTraffic{fleet: f, tagged: tagged}
	began := f.now
	for _, n := range f.nodes[:f.config.entries] {
		traffic.start(n, began+time.Minute)
	}
	for i := range uint64(6) {
		f.publish(versionNumber(10 + i))
		f.runFor(10 * time.Second)
	}
	b.ReportMetric(float64(traffic.sent), "messages")
	b.ReportMetric(float64(traffic.behind), "receiver_behind")
	b.ReportMetric(float64(traffic.ahead), "sender_behind")
}

// tagTraffic sends 20 messages a second from every entry to random agents.
type tagTraffic struct {
	fleet               *fleet
	tagged              bool
	sent, behind, ahead int
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
	f.after(f.delay(from, to), func() {
		t.sent++
		switch held := to.core.Held().Sequence; {
		case held < sequence:
			t.behind++
		case held > sequence:
			t.ahead++
		}
		if t.tagged {
			f.do(to, func(out *Actions) { to.core.ObserveSequence(from.address, sequence, f.now, out) })
		}
	})
}
