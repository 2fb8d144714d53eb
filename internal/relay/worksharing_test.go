package relay

import (
	"maps"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/waitqueue"
	"github.com/heathergw/heathergw/internal/worksharing"
)

// fill occupies a host with requests; release answers them.
func (s *sharingModel) fill(at netip.Addr) {
	for i := 0; !s.agents[at].Admission.Full(flowKey(0), s.now); i++ {
		k := flowKey(1000 + i)
		s.agents[at].Admission.RecordDelivery(&Packet{Key: k, Flags: FlagSYN}, s.now)
		s.agents[at].Admission.RecordResponse(k, &Packet{Flags: FlagSYN | FlagACK, Sequence: 1}, s.now)
		s.agents[at].Admission.RecordDelivery(&Packet{Key: k, Flags: FlagACK, Sequence: 1, Acknowledgment: 2, Length: 100}, s.now)
	}
}

func (s *sharingModel) release(at netip.Addr) {
	if agent := s.agents[at]; agent != nil {
		for i := range 2 * sharingSlots {
			agent.Admission.RecordResponse(flowKey(1000+i), &Packet{Flags: FlagACK, Sequence: 2, Acknowledgment: 101, Length: 10}, s.now)
		}
		s.admit(at)
	}
}

// probeAll sends what other clients' packets send within a few hundred milliseconds: a
// probe from each process to each agent, which those that run answer.
func (s *sharingModel) probeAll() {
	for _, target := range s.view().Service("booking").Targets {
		for _, core := range s.cores() {
			core.Reach.Probe(target.ID, s.now)
			if s.agents[target.Agent.Addr()] != nil {
				core.Reach.RecordAnswer(target.ID, s.now)
			}
		}
	}
}

// TestWaitingOpeningReachesFreeHost brings about each failure of the failure table in
// docs/design/work-sharing.md while an opening waits at a full host. It guards against
// openings that are lost for good, that wait although another host is free, and whose
// later packets do not find the owner.
func TestWaitingOpeningReachesFreeHost(t *testing.T) {
	const (
		released = 10 * time.Millisecond // the time at which one host gets free slots
		late     = 700 * time.Millisecond
		deadline = waitqueue.AttemptTimeout + 50*time.Millisecond
	)
	loseFirstPull := func(s *sharingModel, _, _ netip.Addr) {
		pulls := 0
		s.lose = func(kind string, _, _ netip.Addr) bool {
			if kind == "pull" {
				pulls++
			}
			return kind == "pull" && pulls == 1
		}
	}
	for _, tc := range []struct {
		name string
		// prepare sets the failure up; waitsAt has the opening, free gets free slots.
		prepare func(s *sharingModel, waitsAt, free netip.Addr)
		// atFree is set if the free host must serve the opening; by is the latest time.
		atFree bool
		by     time.Duration
		// after happens once the opening is served.
		after func(s *sharingModel, first netip.Addr)
	}{
		{name: "no failure", atFree: true, by: released + 20*time.Millisecond},
		{name: "offer lost", atFree: true, by: worksharing.OfferInterval + 20*time.Millisecond},
		{name: "pull lost", prepare: loseFirstPull, atFree: true, by: worksharing.OfferInterval + 20*time.Millisecond},
		{name: "puller dies after the pull", prepare: func(s *sharingModel, _, free netip.Addr) {
			s.lose = func(kind string, from, _ netip.Addr) bool {
				if kind == "pull" && from == free {
					delete(s.agents, free)
				}
				return false
			}
		}, by: deadline},
		{name: "offering agent dies", prepare: func(s *sharingModel, waitsAt, _ netip.Addr) { delete(s.agents, waitsAt) }, by: deadline},
		{name: "offering agent's view lacks the free host", prepare: func(s *sharingModel, waitsAt, free netip.Addr) {
			s.remove("i-" + free.String())
			s.agents[waitsAt].View.Store(s.view())
		}, by: deadline},
		{name: "free host's view lacks the offering agent", prepare: func(s *sharingModel, waitsAt, free netip.Addr) {
			s.remove("i-" + waitsAt.String())
			s.agents[free].View.Store(s.view())
		}, by: deadline},
		{name: "first candidate restarts", atFree: true, by: released + 20*time.Millisecond, after: func(s *sharingModel, first netip.Addr) {
			agent, err := NewAgent(NewCore(testPort), first, s.agents[first].DataCentre, "booking")
			s.c.Assert(err, qt.IsNil)
			s.agents[first] = agent
			s.distributeView()
		}},
		{name: "another entry", atFree: true, by: released + 20*time.Millisecond, after: func(s *sharingModel, _ netip.Addr) {
			s.entry = Entry{Core: NewCore(testPort), DataCentre: "dc-2"}
			s.distributeView()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list := targets(6)
			s := newSharingModel(newFleet(t, list...), 1, sharingAim)
			lossless := s.lose
			start := s.now
			for _, target := range list {
				s.fill(target.Host.Addr())
			}
			p := Packet{Key: flowKey(1), Flags: FlagSYN}
			first := s.entry.FromClient(&p, s.now).To.Addr()
			var waitsAt, free netip.Addr
			s.lose = func(kind string, _, _ netip.Addr) bool { return tc.name == "offer lost" && kind == "offer" }
			s.openWithCopies(1)
			s.runUntil(start + int64(5*time.Millisecond))
			for _, target := range list {
				at := target.Host.Addr()
				_, hinted := s.agents[at].hints.lookup(flowKey(1), s.now)
				switch {
				case s.agents[at].Admission.Waiting() > 0:
					waitsAt = at
				case !hinted:
					free = at
				}
			}
			s.c.Assert(waitsAt.IsValid() && free.IsValid(), qt.IsTrue)
			s.lose = lossless
			if tc.prepare != nil {
				tc.prepare(s, waitsAt, free)
			}
			s.after(400*time.Millisecond, s.probeAll)
			s.runUntil(start + int64(released))
			s.release(free)
			s.runUntil(start + int64(late))
			for _, target := range list {
				s.release(target.Host.Addr())
			}
			s.runUntil(start + int64(deadline))
			owner, served := s.owner[1]
			s.c.Assert(served, qt.IsTrue)
			if tc.atFree {
				s.c.Check(owner, qt.Equals, free)
			}
			s.c.Check(s.requestAt[1]-start <= int64(tc.by), qt.IsTrue, qt.Commentf("after %s", time.Duration(s.requestAt[1]-start)))
			if tc.after != nil {
				tc.after(s, first)
			}
			s.sendUntil(owner, 1)
			at, v := s.sendData(1)
			s.c.Check(at, qt.Equals, owner, qt.Commentf("%s", v.Reason))
		})
	}
}

// TestOpeningsAreSharedOnlyIfConfigured guards against a change of behaviour while hosts
// have free slots, or for routes without a target latency: the same openings find the same
// hosts, and no message is sent.
func TestOpeningsAreSharedOnlyIfConfigured(t *testing.T) {
	play := func(targetLatency, interval time.Duration) *sharingModel {
		s := newSharingModel(newFleet(t, targets(6)...), 1, targetLatency)
		for client := range 300 {
			s.after(time.Duration(client)*interval, func() { s.open(client, 0) })
		}
		s.runUntil(s.now + int64(6*time.Second))
		return s
	}
	const idle, busy = 18 * time.Millisecond, 2 * time.Millisecond // 12 slots serve one in 2.5 ms
	shared := play(sharingAim, idle)
	qt.Check(t, maps.Equal(shared.owner, play(0, idle).owner), qt.IsTrue)
	qt.Check(t, shared.owner, qt.HasLen, 300)
	qt.Check(t, shared.messages, qt.Equals, 0)
	qt.Check(t, play(0, busy).messages, qt.Equals, 0)
	qt.Check(t, play(sharingAim, busy).pulled > 0, qt.IsTrue)
}

// TestHostThatGetsNoOpeningsPullsNone guards against pulls of hosts that must get no
// openings, and against messages that are invalid or from processes that are not members.
func TestHostThatGetsNoOpeningsPullsNone(t *testing.T) {
	list := targets(3)
	at, peer := list[0].Host.Addr(), catalog.MemberID(list[1].Host.Addr())
	valid := worksharing.Offer{Service: "booking", Waiting: 9, ExpectedWait: time.Second, DataCentre: "dc-1"}
	for name, change := range map[string]func(s *sharingModel, a *Agent){
		"nothing": func(*sharingModel, *Agent) {},
		"drains": func(s *sharingModel, _ *Agent) {
			leaving := list[0]
			leaving.Draining = true
			s.add(leaving)
		},
		"evacuated": func(s *sharingModel, _ *Agent) { s.put("op/evacuate/dc-1", catalog.Record{Evacuated: "dc-1"}) },
		"unknown":   func(s *sharingModel, _ *Agent) { s.remove("i-" + at.String()) },
		"full":      func(s *sharingModel, _ *Agent) { s.fill(at) },
		"down":      func(s *sharingModel, a *Agent) { a.HostDownUntil.Store(s.now + int64(time.Second)) },
		"silent": func(s *sharingModel, a *Agent) {
			a.Admission.RecordDelivery(&Packet{Key: flowKey(7), Flags: FlagSYN}, s.now-int64(HostSilenceTimeout))
		},
		"ejected": func(s *sharingModel, a *Agent) {
			for range 10 {
				a.Admission.health.Failed(s.now)
			}
		},
		"cold": func(s *sharingModel, a *Agent) {
			cold := &catalog.Service{Settings: catalog.ServiceSettings{ColdRate: 1, SlowStart: time.Second}}
			m := &catalog.Member{SlowStartRemaining: time.Second, HostStartedAtMillis: 1}
			a.Admission.SetColdStart(m, cold, ColdLimits{}, s.now)
			a.Admission.RecordDelivery(&Packet{Key: flowKey(7), Flags: FlagSYN}, s.now)
		},
		"own opening waits": func(s *sharingModel, a *Agent) { a.Enqueue(&Packet{Key: flowKey(7), Flags: FlagSYN}, s.now) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSharingModel(newFleet(t, list...), 1, sharingAim)
			a := s.agents[at]
			change(s, a)
			s.distributeView()
			s.c.Assert(a.ReceiveOffer(peer, valid, s.now), qt.Equals, worksharing.Fault(""))
			s.c.Check(len(a.PullsDue(s.now)) > 0, qt.Equals, name == "nothing")
		})
	}

	s := newSharingModel(newFleet(t, list...), 1, sharingAim)
	a, stranger := s.agents[at], catalog.MemberID(netip.MustParseAddr("10.9.0.1"))
	foreign, excessive := valid, valid
	foreign.Service, excessive.Waiting = "manifest", worksharing.MaxWaiting+1
	s.c.Check(a.ReceiveOffer(stranger, valid, s.now), qt.Equals, worksharing.FaultUnknownSender)
	s.c.Check(a.ReceiveOffer(peer, foreign, s.now), qt.Equals, worksharing.FaultOtherService)
	s.c.Check(a.ReceiveOffer(peer, excessive, s.now), qt.Equals, worksharing.FaultOutOfRange)
	s.c.Check(a.PullsDue(s.now), qt.HasLen, 0)
	_, fault := a.ReceivePull(stranger, worksharing.Pull{Service: "booking", Room: 1}, s.now)
	s.c.Check(fault, qt.Equals, worksharing.FaultUnknownSender)
	_, fault = a.ReceivePull(peer, worksharing.Pull{Service: "booking"}, s.now)
	s.c.Check(fault, qt.Equals, worksharing.FaultOutOfRange)
}

// TestPulledOpeningIsNotReset guards against a reset of an opening of which a copy may
// run at another host, and against a service whose name changes with the time attached.
func TestPulledOpeningIsNotReset(t *testing.T) {
	s := newSharingModel(newFleet(t, targets(3)...), 1, sharingAim)
	a := s.agents[targets(3)[0].Host.Addr()]
	m := s.view().Member(catalog.MemberID(targets(3)[1].Host.Addr()), "booking")
	for waited, want := range map[time.Duration]Action{copyMargin - 1: ActionReset, copyMargin: ActionDrop} {
		p := Packet{Key: flowKey(1), Flags: FlagSYN}
		state := a.ForPull(&p, m, waited, s.now).State
		s.c.Check(a.endSearch(&p, state, s.now).Action, qt.Equals, want)
	}
	for _, waited := range []time.Duration{0, 200 * time.Millisecond, waitqueue.AttemptTimeout} {
		name, got := SplitWaited([]byte(AppendWaited("booking", waited)))
		s.c.Check(string(name), qt.Equals, "booking")
		s.c.Check(got, qt.Equals, waited)
	}
	name, waited := SplitWaited([]byte("booking"))
	s.c.Check(string(name), qt.Equals, "booking")
	s.c.Check(waited, qt.Equals, time.Duration(0))
}

// newRefusalModel returns a model whose agents refuse each opening that waits and of which
// no host may have a copy: the requests take longer than their time-out. The service time
// is unknown to the agent that offers.
func newRefusalModel(t *testing.T, hosts int) (s *sharingModel, offering *Agent) {
	s = newSharingModel(newFleet(t, targets(hosts)...), 1, sharingAim)
	s.put("configuration", catalog.Record{Configuration: &catalog.Configuration{Version: 3, Routes: []catalog.Route{{
		Name: "r", Destination: destination, Services: []catalog.WeightedService{{Service: "booking", Weight: 1}},
		RequestPolicy: catalog.RequestPolicy{TargetLatency: sharingAim, Timeout: 300 * time.Millisecond},
	}}}})
	s.distributeView()
	offering = s.agents[targets(hosts)[0].Host.Addr()]
	for _, a := range s.agents {
		a.Admission.SetRoutes(s.view())
		if a != offering {
			a.Admission.serviceTime = movingAverage(time.Second)
		}
	}
	return s, offering
}

// keepAwake advances the time while all agents look at their queues, as a process does that
// is not paused.
func (s *sharingModel) keepAwake(d time.Duration) {
	for end := s.now + int64(d); s.now < end; s.now += int64(10 * time.Millisecond) {
		for _, a := range s.agents {
			a.Admission.Dequeue(s.now)
		}
	}
}

// refuses reports whether an agent refuses an opening once it waits there.
func (s *sharingModel) refuses(a *Agent, p *Packet) bool {
	a.Enqueue(p, s.now)
	removed := a.Admission.RemoveUseless(s.now)
	return len(removed) == 1 && removed[0].Refuse
}

// TestPulledOpeningIsNotRefusedAfterDelay guards against a refusal by the agent that pulled
// an opening: the agent that offered it held it or was paused, and a copy may have reached
// another host in the meantime.
func TestPulledOpeningIsNotRefusedAfterDelay(t *testing.T) {
	for _, test := range []struct {
		name           string
		paused, held   bool
		refusedAtOther bool
	}{
		{name: "no delay", refusedAtOther: true},
		{name: "offering agent held it", held: true},
		{name: "offering agent was paused", paused: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, offering := newRefusalModel(t, 2)
			other := s.agents[targets(2)[1].Host.Addr()]
			s.keepAwake(200 * time.Millisecond)
			if test.paused {
				delete(s.agents, targets(2)[0].Host.Addr())
				s.keepAwake(500 * time.Millisecond)
			}
			p := Packet{Key: flowKey(1), Flags: FlagSYN, Datagram: []byte{0}, Delayed: test.held}
			offering.Enqueue(&p, s.now)
			b, waited, delayed := offering.TakeForPull(s.now)
			s.c.Assert(b, qt.IsNotNil)
			m := s.view().Member(other.ID, "booking")
			p = Packet{Key: flowKey(1), Flags: FlagSYN, Delayed: delayed}
			v := offering.ForPull(&p, m, waited, s.now)
			pulled := Packet{Key: flowKey(1), Flags: FlagSYN, Echo: v.State.Encode(), Waited: v.Waited}
			s.c.Check(s.refuses(other, &pulled), qt.Equals, test.refusedAtOther)
		})
	}
}

// TestPulledOpeningIsNotRefusedElsewhere guards against a refusal, or a reset at the end of
// the search, by an agent that gets an opening from the one that pulled it and does not know
// how long it waited before: its copies are under way by then.
func TestPulledOpeningIsNotRefusedElsewhere(t *testing.T) {
	const waited = copyMargin - time.Millisecond
	for _, test := range []struct {
		name string
		// pass returns what the agent that pulled the opening decides in the end.
		pass func(a *Agent, p *Packet, now int64) Verdict
	}{
		{"host returns it", func(a *Agent, p *Packet, now int64) Verdict {
			p.Echo = a.FromPeer(p, now).State.Encode()
			return a.FromHost(&Packet{Key: p.Key, Flags: FlagSYN | FlagReturned, Echo: p.Echo}, now)
		}},
		{"host is down", func(a *Agent, p *Packet, now int64) Verdict {
			a.HostRefused(&Packet{Key: flowKey(2), Flags: FlagACK}, now)
			return a.FromPeer(p, now)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, _ := newRefusalModel(t, 3)
			s.keepAwake(200 * time.Millisecond)
			for _, target := range targets(3)[1:] {
				pulled := Packet{Key: flowKey(1), Flags: FlagSYN, Service: []byte("booking"), Waited: waited}
				v := test.pass(s.agents[target.Host.Addr()], &pulled, s.now)
				if v.Action != ActionForward {
					s.c.Check(v.Action, qt.Equals, ActionDrop)
					continue
				}
				next := s.agents[v.To.Addr()]
				next.Admission.serviceTime = movingAverage(time.Second)
				s.c.Check(s.refuses(next, &Packet{Key: flowKey(1), Flags: FlagSYN, Echo: v.State.Encode()}), qt.IsFalse)
			}
		})
	}
}

// playLoad plays 10 s of openings on 12 hosts at a share of their capacity, and returns the
// share of the requests that are answered within sharingAim, and the messages that an agent
// sends in a second.
func playLoad(t *testing.T, seed uint64, load float64, speeds []float64, targetLatency time.Duration) (inTime, messages float64) {
	const hosts, seconds, meanService = 12, 10, 0.0295 // of 25 ms and the tail of deliver
	s := newSharingModel(newFleet(t, targets(hosts)...), seed, targetLatency)
	capacity := 0.0
	for i, target := range targets(hosts) {
		speed := speeds[i%len(speeds)]
		s.work[target.Host.Addr()].speed = speed
		capacity += speed * sharingSlots / meanService
	}
	clients := 0
	var arrive func()
	arrive = func() {
		clients++
		client := clients
		s.openWithCopies(client)
		s.after(time.Duration(s.random.ExpFloat64()/(load*capacity)*float64(time.Second)), arrive)
	}
	arrive()
	for range seconds {
		s.runUntil(s.now + int64(time.Second))
		s.distributeView()
	}
	for _, took := range s.took {
		if took <= sharingAim {
			inTime++
		}
	}
	return inTime / float64(clients), float64(s.messages) / hosts / seconds
}

// TestSharingServesMoreInTime guards against sharing that serves fewer requests in time
// than redirects without load information, on even and on uneven hosts.
func TestSharingServesMoreInTime(t *testing.T) {
	const seeds = 2
	for _, speeds := range [][]float64{{1}, {0.7, 0.7, 1.7}} {
		for _, load := range []float64{0.95, 1.1} {
			var alone, shared, messages float64
			for seed := range uint64(seeds) {
				x, _ := playLoad(t, seed, load, speeds, 0)
				y, m := playLoad(t, seed, load, speeds, sharingAim)
				alone, shared, messages = alone+x/seeds, shared+y/seeds, messages+m/seeds
			}
			t.Logf("speeds %v load %.2f: in time %.4f, with sharing %.4f, %.0f messages a second", speeds, load, alone, shared, messages)
			qt.Check(t, shared > alone, qt.IsTrue)
			qt.Check(t, messages <= 100+32.0/10, qt.IsTrue)
		}
	}
}

// TestForcedOpeningUsesNoTrial guards against a change for routes without a target latency:
// an opening that a host on trial gets after three redirects uses up the trial, and the
// opening that would show that the host is back goes elsewhere.
func TestForcedOpeningUsesNoTrial(t *testing.T) {
	f := newFleet(t, targets(6)...)
	a := f.agents[targets(6)[0].Host.Addr()]
	for range 10 {
		a.Admission.health.Failed(f.now)
	}
	f.c.Assert(a.Admission.health.State(), qt.Equals, outlier.Ejected)
	f.advance(time.Minute) // longer than the ejection
	f.distributeView()
	opening := func(client, hops int) Verdict {
		state := SearchState{Hops: hops, Service: a.ServiceHash}
		return a.FromPeer(&Packet{Key: flowKey(client), Flags: FlagSYN, Service: []byte("booking"), Echo: state.Encode()}, f.now)
	}
	f.c.Check(opening(1, maxBusyRedirects).Action, qt.Equals, ActionDeliver)
	f.c.Check(opening(2, 0).Reason, qt.Equals, ReasonOwnHost)
}

// TestDuplicateOpeningIsNotRefused guards against a refusal of an opening that the network
// duplicated, or that was late in a paused entry, while another host has a copy that this
// agent forwarded.
func TestDuplicateOpeningIsNotRefused(t *testing.T) {
	list := targets(2)
	for _, forwarded := range []bool{false, true} {
		s, _ := newRefusalModel(t, 2)
		a, other := s.agents[list[1].Host.Addr()], catalog.MemberID(list[0].Host.Addr())
		if forwarded {
			a.hints.record(flowKey(1), other, s.now)
		}
		for range ReachConfig.SilentAfterProbes { // the duplicate cannot follow the original
			a.Reach.Probe(other, s.now)
			s.keepAwake(ReachConfig.AnswerFreshness)
		}
		s.fill(list[1].Host.Addr())
		p := Packet{Key: flowKey(1), Flags: FlagSYN, Service: []byte("booking"), Echo: SearchState{Service: a.ServiceHash}.Encode()}
		s.c.Assert(a.FromPeer(&p, s.now).Action, qt.Equals, ActionQueue)
		s.c.Check(s.refuses(a, &p), qt.Equals, !forwarded)
	}
}
