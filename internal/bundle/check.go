package bundle

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/document"
	"github.com/heathergw/heathergw/schema"
)

// Bounds of a bundle's fields.
const (
	// MaxTargetsPerService bounds an owner query, which asks every target of
	// the service.
	MaxTargetsPerService = 64
	// hashKeySize is the key size of SipHash in bytes.
	hashKeySize = 16
	// maxReaders in each data centre keeps the waiting watches of 6 data
	// centres far below the platform's 2,000 reads a second.
	maxReaders = 16
	// maxWeight is 100 times the default, far above real differences of hosts.
	maxWeight = 100 * DefaultWeight
	// maxSequenceStep is above the 810 changes of an ordinary day; a larger
	// step is probably a typing error.
	maxSequenceStep = 10000
	// missedHeartbeats in a row make a peer suspect. Fewer would suspect live
	// peers at 30% loss.
	missedHeartbeats = 4
)

// Bounds of times. The upper bound of the failure timeout keeps the promise
// that a target which is leaving gets no new work after 3 s; that of the
// anti-entropy interval keeps a bundle in force everywhere within 4 s.
const (
	minHeartbeatInterval   = 50 * time.Millisecond
	maxHeartbeatInterval   = 750 * time.Millisecond
	minFailureTimeout      = 200 * time.Millisecond
	maxFailureTimeout      = 3 * time.Second
	minAntiEntropyInterval = 100 * time.Millisecond
	maxAntiEntropyInterval = time.Second
	minDrainDeadline       = time.Second
	maxDrainDeadline       = 48 * time.Hour
	minOpeningDeadline     = 10 * time.Millisecond
	maxOpeningDeadline     = 30 * time.Second
	maxSlowStart           = time.Hour
	minUDPIdleTimeout      = time.Second
	maxUDPIdleTimeout      = time.Hour
)

type checker struct {
	document.Report
	bundle      *schema.Bundle
	dataCentres map[string]bool
	// The maps below name the first field that used a value.
	serviceIDs   map[uint32]string
	serviceNames map[string]string
	addresses    map[destination]string
	targetIDs    map[uint32]string
	agents       map[netip.AddrPort]string
}

// Check returns all findings of a bundle. The document, which may be nil,
// supplies file and lines. With a predecessor, which may be nil, it also
// checks that the change from it cuts no flow and mixes no services.
func Check(b *schema.Bundle, d *document.Document, predecessor *Signed) document.Findings {
	c := &checker{
		Report:       document.Report{Document: d},
		bundle:       b,
		dataCentres:  map[string]bool{},
		serviceIDs:   map[uint32]string{},
		serviceNames: map[string]string{},
		addresses:    map[destination]string{},
		targetIDs:    map[uint32]string{},
		agents:       map[netip.AddrPort]string{},
	}
	c.sequence(predecessor)
	c.common()
	c.timeouts()
	for i, s := range b.GetServices() {
		c.service(fmt.Sprintf("services[%d]", i), s)
	}
	if predecessor != nil {
		c.change(predecessor.Bundle())
	}
	return c.Findings
}

func (c *checker) sequence(predecessor *Signed) {
	b := c.bundle
	if err := checkSequenceBounds(b.GetSequence()); err != nil {
		c.Errorf("sequence", "%s", err.Message())
		return
	}
	if predecessor == nil {
		if b.GetSequence() != 1 {
			c.Warnf("sequence", "no predecessor was given, the change from it was not checked")
		}
		return
	}
	if err := checkSequence(b.GetSequence(), predecessor); err != nil {
		c.Errorf("sequence", "%s", err.Message())
	} else if b.GetSequence()-predecessor.Sequence > maxSequenceStep {
		c.Warnf("sequence", "%d is %d above the predecessor; the sequence can never go back", b.GetSequence(), b.GetSequence()-predecessor.Sequence)
	}
	if n := len(b.GetPredecessorDigest()); n > 0 && (n != DigestSize || digestOf(b.GetPredecessorDigest()) != predecessor.Digest) {
		c.Errorf("predecessor_digest", "the digest is not that of the predecessor, %s; leave it out, signing sets it", predecessor.Digest)
	}
}

func (c *checker) common() {
	b := c.bundle
	if n := len(b.GetHashKey()); n != hashKeySize {
		c.Errorf("hash_key", "the key has %d bytes, want %d", n, hashKeySize)
	}
	if n := b.GetReadersPerDataCentre(); n > maxReaders {
		c.Errorf("readers_per_data_centre", "%d is above %d", n, maxReaders)
	}
	if len(b.GetDataCentres()) == 0 {
		c.Errorf("data_centres", "at least one data centre is needed")
	}
	for i, dc := range b.GetDataCentres() {
		field := fmt.Sprintf("data_centres[%d]", i)
		if dc.GetName() == "" {
			c.Errorf(field+".name", "the name is missing")
		} else if c.dataCentres[dc.GetName()] {
			c.Errorf(field+".name", "%q is named twice", dc.GetName())
		}
		if dc.GetRegion() == "" {
			c.Errorf(field+".region", "the region is missing")
		}
		c.dataCentres[dc.GetName()] = true
	}
	if len(b.GetServices()) == 0 {
		c.Errorf("services", "at least one service is needed")
	}
}

func (c *checker) timeouts() {
	t := c.bundle.GetTimeouts()
	c.duration("timeouts.heartbeat_interval", t.GetHeartbeatInterval(), minHeartbeatInterval, maxHeartbeatInterval)
	c.duration("timeouts.failure_timeout", t.GetFailureTimeout(), minFailureTimeout, maxFailureTimeout)
	c.duration("timeouts.anti_entropy_interval", t.GetAntiEntropyInterval(), minAntiEntropyInterval, maxAntiEntropyInterval)
	heartbeat := durationOr(t.GetHeartbeatInterval(), DefaultHeartbeatInterval)
	failure := durationOr(t.GetFailureTimeout(), DefaultFailureTimeout)
	if failure < missedHeartbeats*heartbeat {
		c.Errorf("timeouts.failure_timeout", "%s is shorter than %d heartbeat intervals of %s", failure, missedHeartbeats, heartbeat)
	}
}

// duration checks a time that the bundle gives; one that it leaves out has a
// default within the bounds.
func (c *checker) duration(field string, m *durationpb.Duration, low, high time.Duration) {
	if m == nil {
		return
	}
	if d := m.AsDuration(); d < low || d > high {
		c.Errorf(field, "%s is not from %s to %s", d, low, high)
	}
}

// unique reports a value that an earlier field has, and otherwise notes it.
func unique[K comparable](c *checker, seen map[K]string, key K, field string) bool {
	if first, ok := seen[key]; ok {
		c.Errorf(field, "%v is also at %s", key, first)
		return false
	}
	seen[key] = field
	return true
}
