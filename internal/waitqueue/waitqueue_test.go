package waitqueue

import (
	"flag"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
)

const start = int64(modelStart)

var host = Capacity{Slots: 1, MeanService: 50 * ms, Handshake: 10 * ms}

func at(d time.Duration) int64 { return start + int64(d) }

func opening(name string, priority int, target, timeout time.Duration) Opening {
	key := packet.Key{Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, name[0]}), 1)}
	return Opening{Key: key, Datagram: []byte(name), Policy: Policy{Priority: priority, TargetLatency: target, Timeout: timeout}}
}

// tick calls the queue as its agent does, up to a time.
func tick(q *Queue, from, to time.Duration) {
	for d := from; d < to; d += 20 * ms {
		q.observe(at(d))
	}
}

// Guards against slots that go to requests that are late, useless or given up while others
// can be in time, against slots that stay empty while a client waits, and against openings without a target that leave the current order.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	q := New()
	add := func(when time.Duration, o Opening) { q.Add(o, 0, host, at(when)) }
	add(0, opening("given up", 0, 0, 0))
	add(100*ms, opening("no use", 1, 250*ms, 1390*ms))
	add(400*ms, opening("late", 1, 250*ms, 4*time.Second))
	add(500*ms, opening("Late, newer", 2, 250*ms, 4*time.Second))
	add(1100*ms, opening("b: no target", 2, 0, 0))
	add(1200*ms, opening("a: no target, newer", 2, 0, 0))
	add(1250*ms, opening("1: older", 2, 800*ms, 4*time.Second))
	add(1300*ms, opening("2: newer", 2, 800*ms, 4*time.Second))
	add(1400*ms, opening("urgent", 1, 250*ms, 4*time.Second))
	add(1450*ms, opening("short target", 1, 100*ms, 4*time.Second)) // twice the service time is 100 ms
	for _, want := range []string{"urgent", "short target", "1: older", "2: newer", "a: no target, newer", "b: no target", "Late, newer", "late", "no use"} {
		got, _ := q.Next(host, at(1450*ms))
		c.Check(string(got.Datagram), qt.Equals, want)
	}
	_, ok := q.Next(host, at(1450*ms))
	c.Check(ok, qt.IsFalse, qt.Commentf("its client has given up"))
}

// Guards against a priority that starves while more urgent openings always wait.
func TestLowerPrioritiesGetOneOfEightTurns(t *testing.T) {
	c := qt.New(t)
	q := New()
	wide := Capacity{MeanService: ms}
	var served strings.Builder
	q.Add(opening("2", 2, time.Second, 0), 0, wide, start)
	q.Add(opening("3", 3, time.Second, 0), 0, wide, start)
	for i := range 16 {
		q.Add(opening(string(rune('a'+i)), 1, time.Second, 0), 0, wide, start)
		o, _ := q.Next(wide, start)
		served.Write(o.Datagram)
	}
	c.Check(served.String(), qt.Equals, "abcdefg23hijklmn")
}

// Guards against a reset of an opening that a host may have accepted, against openings that
// wait in vain without one, and against refusals that come too late to help.
func TestRefusal(t *testing.T) {
	const burst = 40 // openings before the one that is examined: two seconds of waiting
	for _, test := range []struct {
		name     string
		attempts []time.Duration // arrival of the copies; negative: does not arrive
		at       time.Duration
		target   time.Duration
		timeout  time.Duration
		left     bool
		paused   bool
		overflow bool
		want     string
	}{
		{"overflow", []time.Duration{0}, 50 * ms, 800 * ms, 0, false, false, true, "refused overflow"},
		{"other hosts may take it", []time.Duration{0}, 50 * ms, 800 * ms, 0, false, false, false, "waits"},
		{"no target", []time.Duration{0}, 50 * ms, 0, 0, false, false, true, "waits"},
		{"after a quarter of the target", []time.Duration{0}, 80 * ms, 250 * ms, 0, false, false, true, "waits"},
		{"attempt 1 may be on its way", []time.Duration{0}, 120 * ms, 800 * ms, 0, false, false, true, "waits"},
		{"attempts 0 and 1", []time.Duration{0, 200 * ms}, 250 * ms, 1200 * ms, 0, false, false, true, "refused overflow"},
		{"attempt 0 went elsewhere", []time.Duration{-1, 200 * ms}, 250 * ms, 1200 * ms, 0, false, false, true, "waits"},
		{"a copy left", []time.Duration{0}, 50 * ms, 800 * ms, 0, true, false, true, "waits"},
		{"after a pause", []time.Duration{0}, 50 * ms, 800 * ms, 0, false, true, true, "waits"},
		{"time-out, all attempts", []time.Duration{0, 200 * ms, 600 * ms}, 1300 * ms, 400 * ms, 1350 * ms, false, false, false, "refused past_timeout"},
		{"time-out, all attempts after a pause", []time.Duration{0, 200 * ms, 600 * ms}, 1300 * ms, 400 * ms, 1350 * ms, false, true, false, "refused past_timeout"},
		{"time-out, attempt 2 missing", []time.Duration{0, 200 * ms}, 1300 * ms, 400 * ms, 1350 * ms, false, false, false, "dropped past_timeout"},
		{"attempt over", []time.Duration{0}, 1400 * ms, 0, 0, false, false, true, "dropped attempt_over"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			q := New()
			if !test.paused {
				tick(q, -100*ms, 0)
			}
			last := time.Duration(0)
			for i, d := range test.attempts {
				if d >= 0 {
					tick(q, last, d)
					o := opening("x", 2, test.target, test.timeout)
					o.Left = test.left
					q.Add(o, i, Capacity{}, at(d))
					last = d
				}
			}
			tick(q, last, test.at)
			for i := range burst {
				q.Add(opening(string(rune('0'+i)), 1, 0, 0), 0, Capacity{}, at(test.at))
			}
			got := "waits"
			for _, r := range q.Refuse(host, test.overflow, at(test.at)) {
				c.Assert(string(r.Datagram), qt.Equals, "x")
				got = map[bool]string{true: "refused ", false: "dropped "}[r.Refuse] + r.Reason.String()
			}
			c.Check(got, qt.Equals, test.want)
			c.Check(q.Len(), qt.Equals, burst+map[bool]int{true: 1}[got == "waits"])
		})
	}
}

// Guards against an unbounded queue and against a storm of retries after refusals: the
// budget holds half a second of what the slots serve.
func TestBoundAndBudget(t *testing.T) {
	c := qt.New(t)
	q := newQueue(rules{budgetFactor: 1})
	tick(q, -100*ms, 0)
	var refused, dropped int
	for i := range 3 * waitingPerSlot {
		if r, ok := q.Add(opening(string(rune('0'+i)), i%3, 250*ms, 0), 0, host, start); ok && r.Refuse {
			refused++
		} else if ok {
			dropped++
		}
	}
	c.Check(q.Len(), qt.Equals, waitingPerSlot)
	c.Check(refused, qt.Equals, 10)
	c.Check(dropped, qt.Equals, 2*waitingPerSlot-10)
	for range waitingPerSlot {
		o, _ := q.Next(host, start)
		c.Check(o.Policy.Priority, qt.Equals, 0)
	}
	for range waitingPerSlot {
		q.Add(opening(string(rune('0'+q.Len())), 0, 250*ms, 0), 0, host, start)
	}
	r, _ := q.Add(opening("y", 0, 250*ms, 0), 0, host, at(80*ms))
	c.Check(r.Refuse, qt.IsFalse, qt.Commentf("another attempt would be late"))
	for q.Len() > 0 {
		q.Next(host, at(80*ms))
	}
	c.Check(testing.AllocsPerRun(100, func() { q.Next(host, start); q.Refuse(host, true, start) }), qt.Equals, 0.0)
}

// BenchmarkNext measures what a packet of the agent costs while 64 openings wait.
func BenchmarkNext(b *testing.B) {
	q := New()
	c := Capacity{Slots: 4, MeanService: 50 * ms, Handshake: 10 * ms}
	for i := range 64 {
		q.Add(opening(string(rune('0'+i)), 1+i%2, 800*ms, 4*time.Second), 0, c, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		o, _ := q.Next(c, start)
		q.waiting = append(q.waiting, o)
	}
}

var modelTable = flag.Bool("waitqueue.table", false, "print the model's figures for every rule that was weighed")

// TestModel guards against an order or a refusal that leaves slots without use: in a burst
// of 1.3 times the slots at least 0.9 of what they serve is in time, on average over the
// hosts, and priority 1 at least as often as priority 2.
func TestModel(t *testing.T) {
	c := qt.New(t)
	with := func(change func(r *rules), refuseOverflow bool) func(m *model) {
		r := defaultRules
		change(&r)
		return func(m *model) { m.queue, m.refuseOverflow = newQueue(r), refuseOverflow }
	}
	variants := []struct {
		name  string
		setup func(m *model)
	}{
		{"current", func(m *model) { m.current = true }},
		{"chosen", with(func(*rules) {}, true)},
		{"bound", func(m *model) { m.exact = true }},
		{"chosen, half known", func(m *model) { m.refuseOverflow, m.startsKnown = true, 0.5 }},
		{"chosen, all known", func(m *model) { m.refuseOverflow, m.startsKnown = true, 1 }},
		{"current, half known", func(m *model) { m.current, m.startsKnown = true, 0.5 }},
		{"oldest, no refusal", with(func(*rules) {}, false)},
		{"newest, no refusal", with(func(r *rules) { r.oldestFirst = false }, false)},
		{"refusal at 1", with(func(r *rules) { r.maxTargetShare = 1 }, true)},
		{"refusal at 0.75", with(func(r *rules) { r.maxTargetShare = 0.75 }, true)},
		{"budget 1", with(func(r *rules) { r.budgetFactor = 1 }, true)},
		{"newest, refusal at 0.4", with(func(r *rules) { r.oldestFirst, r.maxTargetShare = false, 0.4 }, true)},
		{"newest, refusal at 0.5", with(func(r *rules) { r.oldestFirst = false }, true)},
		{"newest, refusal at 0.6", with(func(r *rules) { r.oldestFirst, r.maxTargetShare = false, 0.6 }, true)},
		{"no refusal, margin 1", with(func(r *rules) { r.serviceMargin = 1 }, false)},
		{"no refusal, margin 3", with(func(r *rules) { r.serviceMargin = 3 }, false)},
	}
	seeds := uint64(5)
	if !*modelTable {
		variants, seeds = variants[:3], 2
	}
	hosts := []modelCase{{slots: 2, mean: 72 * ms, handshake: 25 * ms}, {slots: 4, mean: 50 * ms, handshake: 8 * ms}, {slots: 7, mean: 26 * ms, handshake: 2 * ms}, {slots: 16, mean: 40 * ms, handshake: 8 * ms}}
	for _, load := range []modelCase{
		{name: "burst", usual: 0.7, burst: 1.3, burstFor: 6 * time.Second},
		{name: "burst, tail", usual: 0.7, burst: 1.3, burstFor: 6 * time.Second, tail: true},
		{name: "power loss", usual: 0.85, burst: 0.85, burstFor: 2 * time.Second, powerLoss: true},
	} {
		means := map[string]result{}
		for _, v := range variants {
			var mean result
			for _, h := range hosts {
				var sum result
				for seed := range seeds {
					x := load
					x.slots, x.mean, x.handshake = h.slots, h.mean, h.handshake
					m := &model{modelCase: x, queue: New()}
					v.setup(m)
					m.run(seed)
					r := m.result()
					sum.add(r, 1/float64(seeds))
					if v.name == "chosen" {
						c.Check(r.inTime[1] >= r.inTime[2], qt.IsTrue, qt.Commentf("%s, %d slots, seed %d: in time %.2f", x.name, x.slots, seed, r.inTime))
					}
				}
				t.Logf("%s, %s, %d slots, seeds 0 to %d: %v", load.name, v.name, h.slots, seeds-1, sum)
				mean.add(sum, 1/float64(len(hosts)))
			}
			t.Logf("%s, %s, mean of all hosts: %v", load.name, v.name, mean)
			means[v.name] = mean
		}
		c.Check(means["chosen"].worth > means["current"].worth, qt.IsTrue, qt.Commentf("%s: %v", load.name, means))
		if !load.powerLoss {
			c.Check(means["chosen"].ofSlots >= 0.9, qt.IsTrue, qt.Commentf("%s: %v", load.name, means))
		}
	}
}

// TestOpeningsForPeers guards against openings that another host gets although they are of
// no use there or their route has no target, and against a host that pulls more while its
// own openings can still be in time.
func TestOpeningsForPeers(t *testing.T) {
	c := qt.New(t)
	host := Capacity{Slots: 1, MeanService: 30 * ms, Handshake: 5 * ms}
	q := New()
	q.Add(opening("no target", 0, 0, 0), 0, host, start)
	q.Add(opening("late", 0, 100*ms, time.Second), 0, host, start)
	c.Check(q.AnyInTime(host, at(200*ms)), qt.IsTrue, qt.Commentf("without a target there is nothing to miss"))
	q.Add(opening("in time", 0, 500*ms, time.Second), 0, host, at(200*ms))
	c.Check(q.Shareable(host, at(200*ms)), qt.Equals, 2)
	first, _ := q.NextForPeer(host, at(200*ms))
	second, _ := q.NextForPeer(host, at(200*ms))
	c.Check(string(first.Datagram)+", "+string(second.Datagram), qt.Equals, "in time, late")
	_, ok := q.NextForPeer(host, at(200*ms))
	c.Check(ok, qt.IsFalse)
	c.Check(q.Len(), qt.Equals, 1)
}

// Guards against a queue without bound while the slots are unknown: the limit of a cold
// host fills it as well.
func TestBoundWithoutSlots(t *testing.T) {
	c := qt.New(t)
	q := New()
	removals := 0
	for i := range 2000 {
		o := opening("x", 1, 0, 0)
		o.Key.Source = netip.AddrPortFrom(o.Key.Source.Addr(), uint16(i+1))
		if _, removed := q.Add(o, 0, Capacity{}, start); removed {
			removals++
		}
	}
	c.Check(q.Len() <= 256, qt.IsTrue, qt.Commentf("%d wait", q.Len()))
	c.Check(q.Len()+removals, qt.Equals, 2000)
}
