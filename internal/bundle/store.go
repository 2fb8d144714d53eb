package bundle

import (
	"crypto/ed25519"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathergw/heathergw/schema"
)

// Outcome is the result of offering a bundle to a Store.
type Outcome int

// Outcomes of an offer. With the first four, the offered bundle becomes the
// current bundle.
const (
	// Applied means that the bundle was applied; its predecessor is the current
	// bundle, or there was no current bundle.
	Applied Outcome = iota
	// Gap means that the bundle was applied, but its predecessor has a higher
	// sequence than the current bundle and was not seen.
	Gap
	// Fork means that the bundle was applied, but its predecessor is another
	// bundle whose sequence is not higher than that of the current bundle.
	Fork
	// Conflict means that the bundle was applied and that it supersedes the
	// current bundle, which has the same sequence and a lower digest.
	Conflict
	// AlreadyHeld means that the bundle is the current bundle.
	AlreadyHeld
	// Lower means that the sequence is lower than that of the current bundle.
	Lower
	// Superseded means that the bundle has the sequence of the current bundle
	// and a lower digest.
	Superseded
	// Refused means that the bundle is malformed, too large, not correctly
	// signed, or cannot be compiled.
	Refused

	outcomeCount = iota
)

var outcomeNames = [outcomeCount]string{
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
	// From is the version of the current bundle before the offer, To that of
	// the offered bundle; To is the zero value if the offer is not a valid
	// encoding of a bundle.
	From, To Version
	// SignedBy is the KeyFingerprint of the public key in the offered bundle;
	// empty if the offer is not a valid encoding of a bundle.
	SignedBy string
	Reason   string
}

// Accepted reports whether the offered bundle became the current bundle.
func (d Decision) Accepted() bool { return d.Outcome <= Conflict }

// String formats the decision for a log line.
func (d Decision) String() string {
	return fmt.Sprintf("bundle %s from %s: %s (current %s): %s", d.To, d.Source, d.Outcome, d.From, d.Reason)
}

// StoreOptions configure a Store.
type StoreOptions struct {
	// Roots are the keys that may sign bundles or endorse other keys.
	Roots []ed25519.PublicKey
	// Now returns the time for decisions and for retired targets.
	Now func() time.Time
	// OnDecision receives every decision in the order of the decisions; it may be
	// nil. It is called with the store locked and must not call Offer.
	OnDecision func(Decision)
}

// Store holds the current bundle of a process and replaces it only by a bundle
// that is greater by Compare. All methods are safe for concurrent use; readers
// take no lock.
type Store struct {
	options StoreOptions
	// mu serializes offers. No other lock of this package is taken while it is
	// held.
	mu      sync.Mutex
	current atomic.Pointer[currentBundle]
	counts  [outcomeCount]atomic.Uint64
}

type currentBundle struct {
	signed *Signed
	view   *View
}

// NewStore returns a store without a bundle.
func NewStore(o StoreOptions) *Store {
	s := &Store{options: o}
	s.current.Store(&currentBundle{})
	return s
}

// View returns the compiled form of the current bundle; nil before the first
// one.
func (s *Store) View() *View { return s.current.Load().view }

// Signed returns the current bundle; nil before the first one.
func (s *Store) Signed() *Signed { return s.current.Load().signed }

// Version returns the version of the current bundle; the zero value before the
// first one.
func (s *Store) Version() Version { return s.Signed().Version() }

// Count returns the number of offers with the outcome.
func (s *Store) Count(o Outcome) uint64 { return s.counts[o].Load() }

// OfferBytes parses a signed bundle and offers it. The error is that of Parse or
// of Offer.
func (s *Store) OfferBytes(data []byte, source string) (Decision, error) {
	candidate, err := Parse(data)
	if err != nil {
		return s.recordRefusal(source, err)
	}
	return s.Offer(candidate, source)
}

// OfferResponse assembles a bundle from a peer's response and the current
// bundle, and offers it. The error is that of Assemble or of Offer.
func (s *Store) OfferResponse(response *schema.BundleResponse, source string) (Decision, error) {
	candidate, err := Assemble(response, s.Signed())
	if err != nil {
		return s.recordRefusal(source, err)
	}
	return s.Offer(candidate, source)
}

// Offer verifies the candidate and makes it the current bundle if it is greater
// than the current one. The error is a SignatureError or ContentError and is
// returned only with the outcome Refused; the current bundle then stays.
func (s *Store) Offer(candidate *Signed, source string) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Signed()
	d := Decision{
		Time: s.options.Now(), Source: source,
		From: current.Version(), To: candidate.Version(), SignedBy: KeyFingerprint(candidate.PublicKey()),
	}
	d.Outcome, d.Reason = Classify(current, candidate)
	err := s.verifyAndApply(d, candidate)
	if err != nil {
		d.Outcome, d.Reason = Refused, err.Error()
	}
	s.recordDecision(d)
	return d, err
}

// verifyAndApply verifies the candidate and makes it the current bundle if the
// decision says so. A superseded candidate is verified as well, because the
// audit trail records it as a valid bundle. All others are ignored.
func (s *Store) verifyAndApply(d Decision, candidate *Signed) error {
	if !d.Accepted() && d.Outcome != Superseded {
		return nil
	}
	if err := Verify(candidate, s.options.Roots); err != nil {
		return err
	}
	if !d.Accepted() {
		return nil
	}
	view, err := NewView(candidate.Bundle(), candidate.Digest)
	if err != nil {
		return ContentError.New("%v", err)
	}
	view.retireTargets(s.View(), d.Time)
	s.current.Store(&currentBundle{candidate, view})
	return nil
}

// Classify determines the outcome of an offer from the versions alone: the
// candidate is applied only if it is greater than the current bundle, which may
// be nil.
func Classify(current, candidate *Signed) (outcome Outcome, reason string) {
	if current == nil {
		return Applied, "first bundle"
	}
	order := Compare(candidate, current)
	switch {
	case order == 0:
		return AlreadyHeld, "in force"
	case candidate.Sequence < current.Sequence:
		return Lower, "the sequence is lower than that of the current bundle"
	case order < 0:
		return Superseded, "same sequence as the current bundle and a lower digest; sign it again on top of the current bundle"
	case candidate.Sequence == current.Sequence:
		return Conflict, "same sequence as the current bundle and a greater digest; the current bundle is superseded"
	case candidate.Predecessor == current.Version():
		return Applied, "the predecessor is the current bundle"
	case candidate.Predecessor.Sequence > current.Sequence:
		return Gap, fmt.Sprintf("the predecessor %s was not seen", candidate.Predecessor)
	default:
		return Fork, fmt.Sprintf("the predecessor is %s, not the current bundle", candidate.Predecessor)
	}
}

// recordRefusal records an offer that is not a valid encoding of a bundle.
func (s *Store) recordRefusal(source string, err error) (Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Decision{
		Outcome: Refused, Time: s.options.Now(), Source: source,
		From: s.Version(), Reason: err.Error(),
	}
	s.recordDecision(d)
	return d, err
}

func (s *Store) recordDecision(d Decision) {
	s.counts[d.Outcome].Add(1)
	if s.options.OnDecision != nil {
		s.options.OnDecision(d)
	}
}
