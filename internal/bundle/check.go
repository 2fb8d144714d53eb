package bundle

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/document"
	"github.com/heathergw/heathergw/schema"
)

// Limits of the fields of a bundle.
const (
	// MaxTargetsPerService limits the cost of an owner query, which asks every
	// target of the service.
	MaxTargetsPerService = 64
	// hashKeySize is the key size of SipHash in bytes.
	hashKeySize = 16
	// maxReaders is the limit for each data centre. It keeps the blocking
	// queries of 6 data centres far below the platform's limit of 2,000 reads a
	// second.
	maxReaders = 16
	// maxWeight is 100 times the default, far above the differences between real
	// hosts.
	maxWeight = 100 * DefaultWeight
	// maxSequenceStep is above the 810 changes of an ordinary day; a larger
	// step is probably a typing error.
	maxSequenceStep = 10000
	// missedHeartbeats is the minimum number of consecutive missed heartbeats
	// after which a peer is suspected. With fewer, live peers would be suspected
	// at 30% packet loss.
	missedHeartbeats = 4
)

// Limits of durations. The maximum failure timeout guarantees that a target that
// is leaving gets no new work after 3 s; the maximum anti-entropy interval
// guarantees that a new bundle is applied everywhere within 4 s.
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

// checker collects the findings of one call of Check.
type checker struct {
	document.Report
	bundle      *schema.Bundle
	dataCentres map[string]bool
	// The maps below give the first field that uses a value.
	serviceIDs   map[uint32]string
	serviceNames map[string]string
	addresses    map[destination]string
	targetIDs    map[uint32]string
	agents       map[netip.AddrPort]string
}

// Check validates a bundle and returns all findings. The document, which may be
// nil, supplies the file name and line numbers. If there is a predecessor, which
// may be nil, Check also reports a change from it that could break flows or send
// a flow to targets of two services.
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
	c.checkSequenceAndPredecessor(predecessor)
	c.checkCommon()
	c.checkTimeouts()
	for i, s := range b.GetServices() {
		c.checkService(fmt.Sprintf("services[%d]", i), s)
	}
	if predecessor != nil {
		c.checkChange(predecessor.Bundle())
	}
	return c.Findings
}

func (c *checker) checkSequenceAndPredecessor(predecessor *Signed) {
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

// checkCommon checks the fields that apply to all services, except the timeouts.
func (c *checker) checkCommon() {
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

func (c *checker) checkTimeouts() {
	t := c.bundle.GetTimeouts()
	c.checkDuration("timeouts.heartbeat_interval", t.GetHeartbeatInterval(), minHeartbeatInterval, maxHeartbeatInterval)
	c.checkDuration("timeouts.failure_timeout", t.GetFailureTimeout(), minFailureTimeout, maxFailureTimeout)
	c.checkDuration("timeouts.anti_entropy_interval", t.GetAntiEntropyInterval(), minAntiEntropyInterval, maxAntiEntropyInterval)
	heartbeat := durationOrDefault(t.GetHeartbeatInterval(), DefaultHeartbeatInterval)
	failure := durationOrDefault(t.GetFailureTimeout(), DefaultFailureTimeout)
	if failure < missedHeartbeats*heartbeat {
		c.Errorf("timeouts.failure_timeout", "%s is shorter than %d heartbeat intervals of %s", failure, missedHeartbeats, heartbeat)
	}
}

// checkDuration checks a duration if the bundle sets it; the defaults are within
// the limits.
func (c *checker) checkDuration(field string, value *durationpb.Duration, low, high time.Duration) {
	if value == nil {
		return
	}
	if d := value.AsDuration(); d < low || d > high {
		c.Errorf(field, "%s is not from %s to %s", d, low, high)
	}
}

// checkUnique reports a value that an earlier field already uses, and otherwise
// remembers the field. It returns whether the value is unique.
func checkUnique[K comparable](c *checker, seen map[K]string, key K, field string) bool {
	if first, ok := seen[key]; ok {
		c.Errorf(field, "%v is also at %s", key, first)
		return false
	}
	seen[key] = field
	return true
}
