package relay

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
)

// The model has hosts with slots and a queue in order of arrival, of 0.7, 0.7 and 1.7 of
// the nominal speed. Three in a hundred requests cost seven times the mean.
const (
	modelHosts     = 12
	modelMean      = 30 * time.Millisecond
	modelHandshake = 8 * time.Millisecond
	modelTail      = 0.03
	modelTarget    = 200 * time.Millisecond // as in simulateBurst
)

var (
	modelDuration = flag.Duration("hostload.duration", 4*time.Second, "simulated time of each run of the model of host load")
	modelTable    = flag.Bool("hostload.table", false, "run the model of host load with all loads and policies")
)

var modelSpeeds = [...]float64{0.7, 0.7, 1.7}

type modelPolicy struct {
	name string
	// choose returns the host of an opening; nil: the agents pass it on and queue it.
	choose func(m *model, r *modelRequest) int
}

type modelRequest struct {
	index                int
	key                  packet.Key
	host                 int
	work                 time.Duration // at nominal speed
	at, arrived, started int64
	latency              time.Duration // 0 until the response
	tail                 bool
}

type modelEvent struct {
	at   int64
	kind int // an opening, a request at its host, a response
	r    *modelRequest
}

const (
	modelOpening = iota
	modelArrival
	modelResponse
)

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type modelHost struct {
	*Admission
	speed   float64
	running int
	queue   []*modelRequest
	// slotFreeAt is when each slot is free, with full information.
	slotFreeAt []int64
	busyTime   time.Duration
}

func (h *modelHost) service(r *modelRequest) time.Duration {
	return time.Duration(float64(r.work) / h.speed)
}

type model struct {
	random   *rand.Rand
	policy   modelPolicy
	hosts    []*modelHost
	events   modelEvents
	requests []*modelRequest
	now      int64
	waits    time.Duration // at the hosts
	served   int
	// estimate holds the sums of the error of the expected cost and of the actual one.
	before, running estimateError
	classes         bool // the tail has a class of its own
}

// estimateError sums up the errors of estimates and what they estimate.
type estimateError struct{ wrong, actual time.Duration }

func (e *estimateError) add(estimate, actual time.Duration) {
	e.wrong += (estimate - actual).Abs()
	e.actual += actual
}

func (e *estimateError) share() float64 { return float64(e.wrong) / float64(max(e.actual, 1)) }

// simulateHosts runs the model. load is the share of what the slots can serve.
func simulateHosts(policy modelPolicy, slots int, load float64, classes bool, seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 3)), policy: policy, classes: classes}
	var speed float64
	for i := range modelHosts {
		a := NewAdmission()
		a.SetSlots(slots)
		h := &modelHost{Admission: a, speed: modelSpeeds[i%len(modelSpeeds)], slotFreeAt: make([]int64, slots)}
		speed += h.speed
		m.hosts = append(m.hosts, h)
	}
	interval := float64(modelMean) / (load * float64(slots) * speed)
	start := int64(time.Hour)
	for at := float64(0); at < float64(*modelDuration); at += interval * m.random.ExpFloat64() {
		r := &modelRequest{index: len(m.requests), key: flowKey(len(m.requests)), at: start + int64(at)}
		if m.random.Float64() < modelTail {
			r.tail, r.work = true, 7*modelMean
		} else {
			usual := float64(modelMean) * (1 - 7*modelTail) / (1 - modelTail)
			r.work = time.Duration(usual * (0.5 + m.random.Float64()))
		}
		if classes && r.tail {
			r.key.Destination = netip.AddrPortFrom(r.key.Destination.Addr(), r.key.Destination.Port()+1)
		}
		m.requests = append(m.requests, r)
		m.schedule(r.at, modelOpening, r)
	}
	for len(m.events) > 0 && m.now < start+int64(*modelDuration) {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		m.handle(e)
	}
	return m
}

func (m *model) schedule(at int64, kind int, r *modelRequest) {
	heap.Push(&m.events, modelEvent{at, kind, r})
}

func (m *model) handle(e modelEvent) {
	r := e.r
	switch e.kind {
	case modelOpening:
		m.place(r)
		return
	case modelArrival:
		h := m.hosts[r.host]
		h.RecordDelivery(&Packet{Key: r.key, Flags: FlagACK, Length: 1}, m.now)
		r.arrived = m.now
		h.queue = append(h.queue, r)
		m.start(h)
	case modelResponse:
		h := m.hosts[r.host]
		h.running--
		r.latency = time.Duration(m.now - r.at)
		m.served++
		m.compare(h, r)
		h.RecordResponse(r.key, &Packet{Flags: FlagACK, Length: 1}, m.now)
		// The flow ends here, so that the bound on tracked flows has no effect.
		h.RecordDelivery(&Packet{Key: r.key, Flags: FlagRST}, m.now)
		m.start(h)
	}
	h := m.hosts[r.host]
	for d, _ := h.Dequeue(m.now); d != nil; d, _ = h.Dequeue(m.now) {
		m.open(m.requests[int(d[0])|int(d[1])<<8|int(d[2])<<16], r.host)
	}
}

// place gives an opening to a host as the agents do it: the first of four hosts that is not
// full takes it, otherwise the last one queues it.
func (m *model) place(r *modelRequest) {
	if m.policy.choose != nil {
		m.open(r, m.policy.choose(m, r))
		return
	}
	order := m.random.Perm(modelHosts)[:maxBusyRedirects+1]
	for _, host := range order {
		if !m.hosts[host].Full(r.key, m.now) {
			m.open(r, host)
			return
		}
	}
	i := r.index
	p := Packet{Key: r.key, Flags: FlagSYN, Datagram: []byte{byte(i), byte(i >> 8), byte(i >> 16)}}
	m.hosts[order[len(order)-1]].Enqueue(&p, m.now, m.now)
}

func (m *model) open(r *modelRequest, host int) {
	r.host = host
	h := m.hosts[host]
	h.RecordDelivery(&Packet{Key: r.key, Flags: FlagSYN}, m.now)
	h.RecordResponse(r.key, &Packet{Flags: FlagSYN | FlagACK}, m.now)
	m.schedule(m.now+int64(float64(modelHandshake)*(0.5+m.random.Float64())), modelArrival, r)
}

func (m *model) start(h *modelHost) {
	for h.running < h.slots && len(h.queue) > 0 {
		r := h.queue[0]
		h.queue = h.queue[1:]
		h.running++
		r.started = m.now
		m.waits += time.Duration(m.now - r.arrived)
		h.busyTime += h.service(r)
		m.schedule(m.now+int64(h.service(r)), modelResponse, r)
	}
}

// compare compares the estimates of a request's cost with the actual cost: before it runs,
// and after twice the mean of the host for those that are still running then.
func (m *model) compare(h *modelHost, r *modelRequest) {
	mean, ok := h.costs.Mean(classOf(r.key))
	if !ok {
		return
	}
	actual := h.service(r)
	m.before.add(mean, actual)
	elapsed := time.Duration(float64(2*modelMean) / h.speed)
	if actual > elapsed {
		rest, _ := h.costs.Remaining(classOf(r.key), elapsed)
		m.running.add(rest, actual-elapsed)
	}
}

// modelResult are the means of the figures of some runs.
type modelResult struct {
	p50, p99, wait time.Duration // wait is the mean at the host
	inTime         float64       // share of the requests
	utilization    float64
	fast           float64 // work of a fast host over that of another one
	before, during float64 // error of the estimates by the actual time
}

func simulateSeeds(p modelPolicy, slots int, load float64, classes bool, seeds uint64) (mean modelResult) {
	for seed := range seeds {
		r := simulateHosts(p, slots, load, classes, seed).result(slots)
		n := float64(seeds)
		mean.p50 += r.p50 / time.Duration(seeds)
		mean.p99 += r.p99 / time.Duration(seeds)
		mean.wait += r.wait / time.Duration(seeds)
		mean.inTime += r.inTime / n
		mean.utilization += r.utilization / n
		mean.fast += r.fast / n
		mean.before += r.before / n
		mean.during += r.during / n
	}
	return mean
}

func (m *model) result(slots int) modelResult {
	var latencies []time.Duration
	inTime, all := 0, 0
	for _, r := range m.requests {
		if m.now-r.at < int64(2*time.Second) {
			continue // may not be done
		}
		all++
		if r.latency > 0 {
			latencies = append(latencies, r.latency)
			if r.latency <= modelTarget {
				inTime++
			}
		}
	}
	slices.Sort(latencies)
	var busy, fast, slow time.Duration
	for _, h := range m.hosts {
		busy += h.busyTime
		done := time.Duration(float64(h.busyTime) * h.speed)
		if h.speed > 1 {
			fast += done
		} else {
			slow += done
		}
	}
	return modelResult{
		p50: latencies[len(latencies)/2], p99: latencies[len(latencies)*99/100],
		inTime: float64(inTime) / float64(all), utilization: float64(busy) / float64(*modelDuration*modelHosts*time.Duration(slots)),
		wait: m.waits / time.Duration(m.served), fast: 2 * float64(fast) / float64(slow),
		before: m.before.share(), during: m.running.share(),
	}
}

// leastBusyOfTwo is the power of two choices by the number of requests.
func leastBusyOfTwo(m *model, _ *modelRequest) int {
	i, j := m.random.IntN(modelHosts), m.random.IntN(modelHosts)
	if m.hosts[j].Busy() < m.hosts[i].Busy() {
		return j
	}
	return i
}

// earliestEnd knows all costs and when each slot is free, and serves the openings in the
// order of their arrival; it is no upper limit under overload.
func earliestEnd(m *model, r *modelRequest) int {
	best, bestSlot, bestEnd := 0, 0, int64(0)
	for i, h := range m.hosts {
		slot := slices.Index(h.slotFreeAt, slices.Min(h.slotFreeAt))
		end := max(h.slotFreeAt[slot], m.now+int64(modelHandshake)) + int64(h.service(r))
		if bestEnd == 0 || end < bestEnd {
			best, bestSlot, bestEnd = i, slot, end
		}
	}
	m.hosts[best].slotFreeAt[bestSlot] = bestEnd
	return best
}

// TestModelOfHostLoad guards against a limit that lets slots idle while openings wait or
// requests wait at the host while another host has a free slot, and against estimates of
// the cost of a request that say nothing once it runs.
func TestModelOfHostLoad(t *testing.T) {
	c := qt.New(t)
	const seeds = 3
	count := modelPolicy{name: "count"}
	policies, loads := []modelPolicy{count}, []float64{0.9, 1.3}
	if *modelTable {
		loads = []float64{0.5, 0.7, 0.8, 0.9, 0.95, 1.3}
		policies = append(policies, modelPolicy{name: "least busy of two", choose: leastBusyOfTwo}, modelPolicy{name: "full information", choose: earliestEnd})
	}
	c.Logf("seeds 0 to %d, %v each", seeds-1, *modelDuration)
	for _, slots := range []int{2, 4} {
		for _, load := range loads {
			for _, p := range policies {
				r := simulateSeeds(p, slots, load, false, seeds)
				c.Logf("slots %d load %.2f  %-18s p50 %4d ms  p99 %4d ms  in time %.3f  slots busy %.3f  wait at host %4d ms  fast/slow work %.2f",
					slots, load, p.name, r.p50.Milliseconds(), r.p99.Milliseconds(), r.inTime, r.utilization, r.wait.Milliseconds(), r.fast)
				if p.choose == nil && load > 1 {
					c.Check(r.utilization >= 0.97, qt.IsTrue, qt.Commentf("slots idle under a backlog"))
				}
				if p.choose == nil {
					c.Check(r.wait <= modelMean, qt.IsTrue, qt.Commentf("requests wait at the host"))
				}
			}
		}
	}
	for _, classes := range []bool{false, true} {
		r := simulateSeeds(count, 2, 0.8, classes, seeds)
		c.Logf("tail has its own class %v: error of the estimate by the actual time: before a request %.2f, of the rest after twice the mean %.2f", classes, r.before, r.during)
		c.Check(r.during < 0.5, qt.IsTrue, qt.Commentf("a running request of the tail is not known"))
	}
}
