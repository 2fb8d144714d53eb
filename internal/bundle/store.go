package bundle

import (
	"crypto/ed25519"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathergw/heathergw/schema"
)

// Outcome is what became of an offered bundle.
type Outcome int

// Outcomes of an offer. The first four put the offered bundle in force.
const (
	// Applied follows the held bundle, or is the first one.
	Applied Outcome = iota
	// Gap is applied; its predecessor is a higher bundle that was not seen.
	Gap
	// Fork is applied; its predecessor is not the held bundle, although it is
	// not higher.
	Fork
	// Conflict is applied; the held bundle has the same sequence and a lower
	// digest, so that it is superseded.
	Conflict
	// AlreadyHeld is the bundle in force.
	AlreadyHeld
	// Lower has a lower sequence than the bundle in force.
	Lower
	// Superseded has the sequence of the bundle in force and a lower digest.
	Superseded
	// Refused is malformed, too large, wrongly signed or cannot be compiled.
	Refused

	outcomes = iota
)

var outcomeNames = [outcomes]string{
	"applied", "gap", "fork", "conflict", "already_held", "lower", "superseded", "refused",
}

// String returns the name of the outcome in counters and audit records.
func (o Outcome) String() string { return outcomeNames[o] }

// Decision is the result of an offer and its record for the audit trail.
type Decision struct {
	Outcome Outcome
	Time    time.Time
	// Source names who offered the bundle, for example "platform" or a peer.
	Source string
	// From is the bundle in force before the offer, To the offered one; To is
	// the zero value when the bytes name no bundle.
	From, To Version
	// SignedBy is the KeyName of the offered bundle's key; empty when the
	// bytes name no bundle.
	SignedBy string
	Reason   string
}

// InForce tells whether the offer replaced the bundle in force.
func (d Decision) InForce() bool { return d.Outcome <= Conflict }

// String formats the decision for a log line.
func (d Decision) String() string {
	return fmt.Sprintf("bundle %s from %s: %s (held %s): %s", d.To, d.Source, d.Outcome, d.From, d.Reason)
}

// StoreOptions configure a Store.
type StoreOptions struct {
	// Roots are the keys that may sign bundles or endorse other keys.
	Roots []ed25519.PublicKey
	// Now supplies the time of records and of retired targets.
	Now func() time.Time
	// Record receives every decision in the order of the decisions; it may be
	// nil. It is called with the store locked and must not call Offer.
	Record func(Decision)
}

// Store holds the bundle in force of one process. The bundle only grows in the
// order of Compare. All methods are safe for concurrent use; readers take no
// lock.
type Store struct {
	options StoreOptions
	// mu serializes offers. No other lock of this package is taken under it.
	mu      sync.Mutex
	current atomic.Pointer[inForce]
	counts  [outcomes]atomic.Uint64
}

type inForce struct {
	signed *Signed
	view   *View
}

// NewStore returns a store without a bundle.
func NewStore(o StoreOptions) *Store {
	s := &Store{options: o}
	s.current.Store(&inForce{})
	return s
}

// View returns the compiled bundle in force; nil before the first one.
func (s *Store) View() *View { return s.current.Load().view }

// Signed returns the bundle in force; nil before the first one.
func (s *Store) Signed() *Signed { return s.current.Load().signed }

// Version returns the version in force; the zero value before the first one.
func (s *Store) Version() Version { return s.Signed().Version() }

// Count returns the number of offers with the outcome.
func (s *Store) Count(o Outcome) uint64 { return s.counts[o].Load() }

// OfferBytes parses and offers the bytes of a signed bundle. The error is that
// of Parse or of Offer.
func (s *Store) OfferBytes(data []byte, source string) (Decision, error) {
	candidate, err := Parse(data)
	if err != nil {
		return s.refuse(source, err)
	}
	return s.Offer(candidate, source)
}

// OfferResponse assembles a bundle from a peer's response and the bundle in
// force, and offers it. The error is that of Assemble or of Offer.
func (s *Store) OfferResponse(response *schema.BundleResponse, source string) (Decision, error) {
	candidate, err := Assemble(response, s.Signed())
	if err != nil {
		return s.refuse(source, err)
	}
	return s.Offer(candidate, source)
}

// Offer verifies the candidate and puts it in force if it is greater than the
// held bundle. The error is a SignatureError or ContentError and comes only
// with the outcome Refused; the bundle in force then stays.
func (s *Store) Offer(candidate *Signed, source string) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.Signed()
	d := Decision{
		Time: s.options.Now(), Source: source,
		From: held.Version(), To: candidate.Version(), SignedBy: KeyName(candidate.PublicKey()),
	}
	d.Outcome, d.Reason = Order(held, candidate)
	err := s.settle(d, candidate)
	if err != nil {
		d.Outcome, d.Reason = Refused, err.Error()
	}
	s.record(d)
	return d, err
}

// settle verifies a candidate that changes something or is audited as a valid
// bundle that lost, and puts it in force when the decision says so.
func (s *Store) settle(d Decision, candidate *Signed) error {
	if !d.InForce() && d.Outcome != Superseded {
		return nil
	}
	if err := Verify(candidate, s.options.Roots); err != nil {
		return err
	}
	if !d.InForce() {
		return nil
	}
	view, err := NewView(candidate.Bundle(), candidate.Digest)
	if err != nil {
		return ContentError.New("%v", err)
	}
	view.retire(s.View(), d.Time)
	s.current.Store(&inForce{candidate, view})
	return nil
}

// Order decides from the versions alone what becomes of the candidate: it is
// in force only if it is greater than the held bundle, which may be nil.
func Order(held, candidate *Signed) (outcome Outcome, reason string) {
	if held == nil {
		return Applied, "first bundle"
	}
	order := Compare(candidate, held)
	switch {
	case order == 0:
		return AlreadyHeld, "in force"
	case candidate.Sequence < held.Sequence:
		return Lower, "the sequence is lower than the one in force"
	case order < 0:
		return Superseded, "same sequence as the bundle in force and a lower digest; sign it again on top of that one"
	case candidate.Sequence == held.Sequence:
		return Conflict, "same sequence as the held bundle and a greater digest; the held one is superseded"
	case candidate.Predecessor == held.Version():
		return Applied, "follows the held bundle"
	case candidate.Predecessor.Sequence > held.Sequence:
		return Gap, fmt.Sprintf("the predecessor %s was not seen", candidate.Predecessor)
	default:
		return Fork, fmt.Sprintf("the predecessor is %s, not the held bundle", candidate.Predecessor)
	}
}

func (s *Store) refuse(source string, err error) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Decision{
		Outcome: Refused, Time: s.options.Now(), Source: source,
		From: s.Version(), Reason: err.Error(),
	}
	s.record(d)
	return d, err
}

func (s *Store) record(d Decision) {
	s.counts[d.Outcome].Add(1)
	if s.options.Record != nil {
		s.options.Record(d)
	}
}
