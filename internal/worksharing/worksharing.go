// Package worksharing decides when an agent offers its waiting openings to other agents of
// its service, and when it pulls openings that others offer. It addresses this load:
// openings wait at one host while another host of the service has a free slot, because the
// hash fills the hosts unevenly or the hosts differ in speed.
//
// Offers and pulls may be lost, late or duplicate; that costs time only. The package opens
// no sockets, starts no goroutines and reads no clock.
package worksharing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxRecipients bounds the agents that get one offer, maxLocalRecipients those of
	// the own data centre, so that at least three offers reach the others. If one in
	// four hosts has room, none of eight has it once in ten offers.
	maxRecipients      = 8
	maxLocalRecipients = 5
	// maxDraws bounds the members that are examined for one offer. It finds eight usable
	// ones among members of which seven in eight are not.
	maxDraws = 64
	// OfferInterval is the time between two offers while openings wait: a few times the
	// service time of a request, so that a wait of half a target latency is offered twice.
	OfferInterval = 100 * time.Millisecond
	// offerLifetime is how long an offer is kept: one interval and half of the next, in
	// case the next is lost.
	offerLifetime = 150 * time.Millisecond
	// arrivalTimeout is how long a pulled opening counts as in flight: three round trips
	// between data centres of 10 ms each.
	arrivalTimeout = 30 * time.Millisecond
	// messagesPerSecond and messageBurst bound the offers and pulls of an agent: about
	// 6 KB/s, and four offers at once.
	messagesPerSecond = 100
	messageBurst      = 32
	// maxOffers bounds the offers that are kept: five times what arrives in offerLifetime
	// when every agent offers.
	maxOffers = 64
)

// Limits of the values in messages.
const (
	// MaxWaiting is the number of openings that wait at a host of 256 slots.
	MaxWaiting = 4096
	// MaxWait is the time after which clients give up.
	MaxWait = 1400 * time.Millisecond
	// MaxRoom is the number of openings that a host of 256 slots takes at once.
	MaxRoom = 1024
	// maxNameBytes bounds the name of a data centre.
	maxNameBytes = 64
)

// Offer announces openings that wait at the sender's host.
type Offer struct {
	Service string
	// Waiting is the number of openings that wait; ExpectedWait is how long the last of
	// them waits for a slot, 0 if unknown.
	Waiting      int
	ExpectedWait time.Duration
	DataCentre   string
}

// Pull requests up to Room of the openings that wait at the receiver's host.
type Pull struct {
	Service string
	Room    int
}

// Fault is the reason why a message is ignored, used as a counter label.
type Fault string

// Faults of a message. The empty value means none.
const (
	FaultOtherService  Fault = "other_service"
	FaultUnknownSender Fault = "unknown_sender"
	FaultOutOfRange    Fault = "out_of_range"
	// FaultNotReady means that the sender's host gets no openings now.
	FaultNotReady Fault = "sender_not_ready"
	// FaultOverflow means that earlier messages have not been handled yet.
	FaultOverflow Fault = "overflow"
)

// Faults lists all faults.
var Faults = []Fault{FaultOtherService, FaultUnknownSender, FaultOutOfRange, FaultNotReady, FaultOverflow}

// Check returns the fault of an offer to an agent of the service.
func (o *Offer) Check(service string) Fault {
	switch {
	case o.Service != service:
		return FaultOtherService
	case o.Waiting < 1 || o.Waiting > MaxWaiting || o.ExpectedWait < 0 || o.ExpectedWait > MaxWait,
		o.DataCentre == "" || len(o.DataCentre) > maxNameBytes:
		return FaultOutOfRange
	}
	return ""
}

// Check returns the fault of a pull from an agent of the service.
func (p *Pull) Check(service string) Fault {
	switch {
	case p.Service != service:
		return FaultOtherService
	case p.Room < 1 || p.Room > MaxRoom:
		return FaultOutOfRange
	}
	return ""
}

// Request is a pull of Room openings from the agent of a member.
type Request struct {
	Member uint32
	Room   int
}

// Sharer is the state of one agent. It is not safe for concurrent use. Times are
// nanoseconds of the monotonic clock.
type Sharer struct {
	dataCentre string
	random     *rand.Rand
	budget     *rate.Limiter
	nextOffer  int64
	offers     []keptOffer
	// inFlight holds the pulls whose openings have not all arrived, the oldest first.
	inFlight []inFlight
}

type keptOffer struct {
	Offer
	from       uint32
	receivedAt int64
}

type inFlight struct {
	openings int
	pulledAt int64
}

// New returns the Sharer of an agent in the data centre.
func New(dataCentre string, random *rand.Rand) *Sharer {
	return &Sharer{dataCentre: dataCentre, random: random, budget: rate.NewLimiter(messagesPerSecond, messageBurst)}
}

// takeBudget takes n messages from the budget, or as many as it has left.
func (s *Sharer) takeBudget(n int, now int64) int {
	t := time.Unix(0, now)
	n = min(n, int(s.budget.TokensAt(t)))
	if n <= 0 || !s.budget.AllowN(t, n) {
		return 0
	}
	return n
}

// Recipients returns the members that get an offer now: at once for the first opening
// that waits, then once every OfferInterval. It draws from the ids of the members in the
// own data centre and elsewhere, whose order it changes.
func (s *Sharer) Recipients(first bool, local, remote []uint32, usable func(id uint32) bool, now int64) []uint32 {
	if !first && now < s.nextOffer {
		return nil
	}
	s.nextOffer = now + int64(OfferInterval)
	recipients := s.draw(nil, local, maxLocalRecipients, usable)
	recipients = s.draw(recipients, remote, maxRecipients, usable)
	s.random.Shuffle(len(recipients), func(i, j int) { recipients[i], recipients[j] = recipients[j], recipients[i] })
	return recipients[:s.takeBudget(len(recipients), now)]
}

// draw appends random usable ids to dst until it has limit of them.
func (s *Sharer) draw(dst, ids []uint32, limit int, usable func(id uint32) bool) []uint32 {
	for i := 0; i < min(len(ids), maxDraws) && len(dst) < limit; i++ {
		j := i + s.random.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
		if usable(ids[i]) {
			dst = append(dst, ids[i])
		}
	}
	return dst
}

// RecordOffer records an offer from the agent of a member; it replaces an earlier one.
func (s *Sharer) RecordOffer(from uint32, o Offer, now int64) {
	s.offers = slices.DeleteFunc(s.offers, func(k keptOffer) bool { return k.from == from })
	if len(s.offers) >= maxOffers {
		s.offers = slices.Delete(s.offers, 0, 1)
	}
	s.offers = append(s.offers, keptOffer{o, from, now})
}

// HoldsOffers reports whether an offer is in force.
func (s *Sharer) HoldsOffers(now int64) bool {
	s.offers = slices.DeleteFunc(s.offers, func(k keptOffer) bool { return time.Duration(now-k.receivedAt) >= offerLifetime })
	return len(s.offers) > 0
}

// InFlight returns the number of openings that were pulled and have not arrived.
func (s *Sharer) InFlight(now int64) int {
	n := 0
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlight) bool { return time.Duration(now-f.pulledAt) >= arrivalTimeout })
	for _, f := range s.inFlight {
		n += f.openings
	}
	return n
}

// RecordArrival records that a pulled opening arrived.
func (s *Sharer) RecordArrival(now int64) {
	if s.InFlight(now) == 0 {
		return
	}
	if s.inFlight[0].openings--; s.inFlight[0].openings == 0 {
		s.inFlight = slices.Delete(s.inFlight, 0, 1)
	}
}

// Pulls returns the pulls to send when the host can take room openings, less those in
// flight. Offers of the own data centre come first, then those with the longest wait.
func (s *Sharer) Pulls(room int, now int64) []Request {
	room = min(room, MaxRoom) - s.InFlight(now)
	if room <= 0 || !s.HoldsOffers(now) {
		return nil
	}
	slices.SortStableFunc(s.offers, func(a, b keptOffer) int {
		return cmp.Or(s.distance(&a)-s.distance(&b), cmp.Compare(b.ExpectedWait, a.ExpectedWait), cmp.Compare(b.Waiting, a.Waiting))
	})
	var requests []Request
	for i := range s.offers {
		k := &s.offers[i]
		n := min(room, k.Waiting)
		if n == 0 {
			continue
		}
		if s.takeBudget(1, now) == 0 {
			break
		}
		k.Waiting -= n
		room -= n
		s.inFlight = append(s.inFlight, inFlight{n, now})
		requests = append(requests, Request{k.from, n})
	}
	s.offers = slices.DeleteFunc(s.offers, func(k keptOffer) bool { return k.Waiting == 0 })
	return requests
}

// distance is 0 for an offer of the own data centre and 1 for others.
func (s *Sharer) distance(k *keptOffer) int {
	if k.DataCentre == s.dataCentre {
		return 0
	}
	return 1
}
