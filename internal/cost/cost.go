// Package cost learns from the responses of one host how long its requests occupy a
// slot. It addresses this load: a few requests cost many times the mean and the hosts of
// a service differ in speed, so that the number of requests in progress says little about
// when a slot is free.
//
// The package opens no sockets, starts no goroutines and reads no clock. What it learned
// may be lost at any time: callers then get no answer and use the number of requests.
package cost

import (
	"net/netip"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MinSamples is the number of responses from which a distribution is used. The mean
	// of 16 requests of spread 1.2 has a standard error of 0.3.
	MinSamples = 16
	// maxClasses bounds the classes. With 1.6 KB each they take 100 KB.
	maxClasses = 64
)

// Class is a group of requests whose costs are learned together.
type Class struct {
	// Destination is the address of the route.
	Destination netip.AddrPort
}

// Model holds the distributions of the service times of one host, by class and of all
// classes together. Answers about a class with fewer than MinSamples responses come from
// the distribution of the host; ok is false if that has too few as well. A Model is not
// safe for concurrent use. Times are nanoseconds of the monotonic clock.
type Model struct {
	host    distribution
	classes *simplelru.LRU[Class, *distribution]
}

// NewModel returns a Model that has seen no response.
func NewModel() *Model {
	classes, err := simplelru.NewLRU[Class, *distribution](maxClasses, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Model{classes: classes}
}

// Record records that the response to a request began after the request had its slot for
// the time took.
func (m *Model) Record(c Class, took time.Duration, now int64) {
	m.host.add(took, true, now)
	m.class(c).add(took, true, now)
}

// RecordAborted records a request that ended without a response after it had its slot for
// the time ran. It says only that the request would have taken at least that long: a
// client that aborts its requests does not make them look cheap.
func (m *Model) RecordAborted(c Class, ran time.Duration, now int64) {
	m.host.add(ran, false, now)
	if d, known := m.classes.Get(c); known {
		d.add(ran, false, now)
	}
}

// class returns the distribution of a class, which it creates if necessary.
func (m *Model) class(c Class) *distribution {
	d, known := m.classes.Get(c)
	if !known {
		d = &distribution{}
		m.classes.Add(c, d)
	}
	return d
}

// Samples returns the number of responses by which a class is known. Old responses count
// less; see distribution.
func (m *Model) Samples(c Class) int {
	if d, known := m.classes.Peek(c); known {
		return d.samples()
	}
	return 0
}

// lookup returns the distribution for answers about a class, or nil.
func (m *Model) lookup(c Class) *distribution {
	if d, known := m.classes.Peek(c); known && d.samples() >= MinSamples {
		return d
	}
	if m.host.samples() >= MinSamples {
		return &m.host
	}
	return nil
}

// Mean returns the mean service time.
func (m *Model) Mean(c Class) (mean time.Duration, ok bool) {
	d := m.lookup(c)
	if d == nil {
		return 0, false
	}
	d.compute()
	return d.mean, true
}

// Quantile returns the service time that the share q of the requests does not exceed.
func (m *Model) Quantile(c Class, q float64) (t time.Duration, ok bool) {
	d := m.lookup(c)
	if d == nil {
		return 0, false
	}
	return d.quantile(q), true
}

// Remaining returns the expected remaining service time of a request that has had its
// slot for the time elapsed.
func (m *Model) Remaining(c Class, elapsed time.Duration) (rest time.Duration, ok bool) {
	return m.RemainingWithin(c, elapsed, maxTime)
}

// RemainingWithin returns the expected part of the next limit in which a request that has
// had its slot for the time elapsed still occupies it.
func (m *Model) RemainingWithin(c Class, elapsed, limit time.Duration) (rest time.Duration, ok bool) {
	d := m.lookup(c)
	if d == nil {
		return 0, false
	}
	return d.remainingWithin(max(elapsed, 0), max(limit, 0)), true
}

// StillRunning returns the probability that a request that has had its slot for the time
// elapsed still occupies it after a further time.
func (m *Model) StillRunning(c Class, elapsed, after time.Duration) (p float64, ok bool) {
	d := m.lookup(c)
	if d == nil {
		return 0, false
	}
	return d.stillRunning(max(elapsed, 0), max(after, 0)), true
}
