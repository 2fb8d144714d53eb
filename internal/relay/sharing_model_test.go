package relay

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/waitqueue"
	"github.com/heathergw/heathergw/internal/worksharing"
)

const (
	sharingSlots     = 2
	sharingHandshake = 8 * time.Millisecond
	sharingLatency   = 200 * time.Microsecond
	sharingAim       = 200 * time.Millisecond
)

// sharingModel plays openings, offers and pulls between agents whose hosts are modelled as
// slots.
type sharingModel struct {
	*fleet
	events eventQueue
	seed   uint64
	random *rand.Rand
	work   map[netip.Addr]*slotHost
	// lose reports whether a message is lost.
	lose   func(kind string, from, to netip.Addr) bool
	timers map[netip.Addr]bool
	// openedAt is when a client's opening was sent, took the time until its response.
	openedAt map[int]int64
	took     map[int]time.Duration
	// owner is the host that served a client, requestAt when its request arrived there.
	owner     map[int]netip.Addr
	requestAt map[int]int64
	// messages counts offers and pulls, pulled the openings sent on a pull.
	messages, pulled int
}

type slotHost struct {
	speed   float64
	running int
	waiting []func()
}

func newSharingModel(f *fleet, seed uint64, targetLatency time.Duration) *sharingModel {
	s := &sharingModel{
		fleet: f, seed: seed, random: rand.New(rand.NewPCG(seed, 8)), work: map[netip.Addr]*slotHost{}, timers: map[netip.Addr]bool{},
		lose:     func(string, netip.Addr, netip.Addr) bool { return false },
		openedAt: map[int]int64{}, took: map[int]time.Duration{}, owner: map[int]netip.Addr{}, requestAt: map[int]int64{},
	}
	f.put("configuration", catalog.Record{Configuration: &catalog.Configuration{Version: 2, Routes: []catalog.Route{{
		Name: "r", Destination: destination, Services: []catalog.WeightedService{{Service: "booking", Weight: 1}},
		RequestPolicy: catalog.RequestPolicy{TargetLatency: targetLatency},
	}}}})
	f.distributeView()
	for at, agent := range f.agents {
		agent.Admission.SetSlots(sharingSlots)
		agent.sharing.sharer = worksharing.New(agent.DataCentre, rand.New(rand.NewPCG(seed, uint64(agent.ID))))
		s.work[at] = &slotHost{speed: 1}
	}
	return s
}

func (s *sharingModel) after(d time.Duration, run func()) {
	heap.Push(&s.events, event{s.now + int64(d), run})
}

// runUntil plays all events up to a time.
func (s *sharingModel) runUntil(t int64) {
	for len(s.events) > 0 && s.events[0].at <= t {
		e := heap.Pop(&s.events).(event)
		s.now = max(s.now, e.at)
		e.run()
	}
	s.now = t
}

// parseModelled is the inverse of the encoding in open: client, attempt and echo.
func parseModelled(b []byte) Packet {
	return Packet{
		Key: flowKey(int(binary.BigEndian.Uint32(b))), Flags: FlagSYN, Acknowledgment: uint32(b[4]),
		Echo: binary.BigEndian.Uint32(b[5:]), Datagram: b, Service: []byte("booking"),
	}
}

func clientOf(p *Packet) int { return int(binary.BigEndian.Uint32(p.Datagram)) }

// open sends an attempt of a client's opening to the entry.
func (s *sharingModel) open(client, attempt int) {
	if attempt == 0 {
		s.openedAt[client] = s.now
	}
	b := append(binary.BigEndian.AppendUint32(nil, uint32(client)), byte(attempt), 0, 0, 0, 0)
	p := parseModelled(b)
	s.carryOut(netip.Addr{}, &p, s.entry.FromClient(&p, s.now))
}

// openWithCopies sends a client's opening and its copies until it is served.
func (s *sharingModel) openWithCopies(client int) {
	s.open(client, 0)
	for attempt := 1; attempt <= 2; attempt++ {
		s.after(waitqueue.AttemptAge(attempt), func() {
			if _, served := s.owner[client]; !served {
				s.open(client, attempt)
			}
		})
	}
}

func (s *sharingModel) carryOut(at netip.Addr, p *Packet, v Verdict) {
	switch v.Action {
	case ActionForward:
		b := slices.Clone(p.Datagram)
		binary.BigEndian.PutUint32(b[5:], v.State.Encode())
		to := v.To.Addr()
		waited := time.Duration(0)
		if v.Reason == ReasonWorkShared {
			waited = v.Waited
		}
		s.after(sharingLatency, func() {
			if agent := s.agents[to]; agent != nil {
				for _, core := range s.cores() {
					core.Reach.RecordAnswer(agent.ID, s.now)
				}
				p := parseModelled(b)
				p.Waited = waited
				s.carryOut(to, &p, agent.FromPeer(&p, s.now))
				s.admit(to)
			}
		})
	case ActionQueue:
		s.agents[at].Enqueue(p, s.now)
		s.share(at)
	case ActionDeliver:
		s.deliver(at, p)
	}
}

func (s *sharingModel) deliver(at netip.Addr, p *Packet) {
	agent, h, client := s.agents[at], s.work[at], clientOf(p)
	known := s.hosts[at].flows[p.Key]
	agent.Admission.RecordDelivery(p, s.now)
	agent.Admission.RecordResponse(p.Key, &Packet{Flags: FlagSYN | FlagACK, Sequence: 1}, s.now)
	if s.hosts[at].flows[p.Key] = true; known {
		return
	}
	key := p.Key
	s.after(sharingHandshake, func() {
		if _, served := s.owner[client]; served || s.agents[at] != agent {
			return
		}
		s.owner[client], s.requestAt[client] = at, s.now
		agent.Admission.RecordDelivery(&Packet{Key: key, Flags: FlagACK, Sequence: 1, Acknowledgment: 2, Length: 100}, s.now)
		took := time.Duration(float64(s.serviceTime(client)) / h.speed)
		serve := func() {
			h.running++
			s.after(took, func() { s.finish(at, agent, key, client) })
		}
		if h.running < sharingSlots {
			serve()
		} else {
			h.waiting = append(h.waiting, serve)
		}
	})
}

// serviceTime returns the nominal service time of a client's request, which is the same in
// each run with the seed.
func (s *sharingModel) serviceTime(client int) time.Duration {
	random := rand.New(rand.NewPCG(s.seed, uint64(client)))
	took := time.Duration(float64(25*time.Millisecond) * (0.5 + random.Float64()))
	if random.IntN(100) < 3 {
		took *= 7
	}
	return took
}

func (s *sharingModel) finish(at netip.Addr, agent *Agent, key packet.Key, client int) {
	h := s.work[at]
	h.running--
	s.took[client] = time.Duration(s.now - s.openedAt[client])
	agent.Admission.RecordResponse(key, &Packet{Flags: FlagACK, Sequence: 2, Acknowledgment: 101, Length: 10}, s.now)
	agent.Admission.RecordDelivery(&Packet{Key: key, Flags: FlagRST}, s.now)
	agent.Admission.health = outlier.Detector{} // ejection is not the subject
	if len(h.waiting) > 0 {
		next := h.waiting[0]
		h.waiting = h.waiting[1:]
		next()
	}
	if s.agents[at] == agent {
		s.admit(at)
	}
}

// admit delivers waiting openings and pulls others, as a process does after each packet.
func (s *sharingModel) admit(at netip.Addr) {
	agent := s.agents[at]
	for b, waited := agent.Admission.Dequeue(s.now); b != nil; b, waited = agent.Admission.Dequeue(s.now) {
		p := parseModelled(b)
		s.carryOut(at, &p, agent.FromQueue(&p, waited, s.now))
	}
	s.pull(at)
}

func (s *sharingModel) share(at netip.Addr) {
	agent := s.agents[at]
	if agent == nil {
		return
	}
	offer, recipients, next := agent.OffersDue(s.now)
	for _, id := range recipients {
		to := catalog.MemberAddress(id)
		s.messages++
		s.transmit(message{"offer", at, to}, func(receiver *Agent) {
			receiver.ReceiveOffer(agent.ID, offer, s.now)
			s.pull(to)
		})
	}
	if next > 0 && !s.timers[at] {
		s.timers[at] = true
		s.after(next, func() { s.timers[at] = false; s.share(at) })
	}
}

func (s *sharingModel) pull(at netip.Addr) {
	agent := s.agents[at]
	for _, r := range agent.PullsDue(s.now) {
		to := catalog.MemberAddress(r.Member)
		s.messages++
		s.transmit(message{"pull", at, to}, func(offering *Agent) { s.answer(to, offering, agent.ID, r.Room) })
	}
}

func (s *sharingModel) answer(at netip.Addr, offering *Agent, from uint32, room int) {
	m, fault := offering.ReceivePull(from, worksharing.Pull{Service: "booking", Room: room}, s.now)
	for range room {
		if fault != "" {
			return
		}
		b, waited, delayed := offering.TakeForPull(s.now)
		if b == nil {
			return
		}
		s.pulled++
		p := parseModelled(b)
		p.Delayed = delayed
		s.carryOut(at, &p, offering.ForPull(&p, m, waited, s.now))
	}
}

type message struct {
	kind     string
	from, to netip.Addr
}

// transmit delivers a message unless it is lost or its receiver does not run.
func (s *sharingModel) transmit(m message, receive func(*Agent)) {
	s.after(sharingLatency, func() {
		if agent := s.agents[m.to]; agent != nil && !s.lose(m.kind, m.from, m.to) {
			receive(agent)
		}
	})
}
