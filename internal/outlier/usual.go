package outlier

import (
	"math"
	"net/netip"
	"time"
)

// Class is the destination of a request, which stands for what requests there cost.
type Class = netip.AddrPort

const (
	// minSamples is the number of requests of a class before one can be slow.
	minSamples = 16
	// usualWeight is the divisor by which a request that is not slow enters the usual
	// time. With 16 the error of the usual time ejects healthy hosts more often.
	usualWeight = 32
	// maxClasses bounds the classes that are told apart. Further ones share one usual
	// time until a class has had no request for classIdleTime.
	maxClasses    = 64
	classIdleTime = time.Minute
	// minUsual bounds the usual time from below, so that a request is slow from
	// minSlowTime at the earliest.
	minUsual = time.Duration(float64(minSlowTime) / slowFactor)
)

// usualTime is the learned service time of the requests of a class.
type usualTime struct {
	// logSeconds is the mean logarithm of the service time in seconds: the few requests
	// that cost several times the mean move it little.
	logSeconds float64
	samples    int
	lastLearnt int64
}

// usualTimes holds the usual service time of each class. Slow requests are not learned,
// unlike in a model of the present cost, so that a slow host does not become the norm.
type usualTimes struct {
	classes map[Class]*usualTime
	// others is shared by the classes beyond maxClasses.
	others usualTime
}

func (u *usualTimes) find(c Class) *usualTime {
	if t := u.classes[c]; t != nil {
		return t
	}
	return &u.others
}

// get returns the usual service time of a class, and whether enough requests were seen.
func (u *usualTimes) get(c Class) (usual time.Duration, known bool) {
	t := u.find(c)
	if t == &u.others && len(u.classes) < maxClasses {
		return minUsual, false
	}
	return max(time.Duration(math.Exp(t.logSeconds)*float64(time.Second)), minUsual), t.samples >= minSamples
}

// learn adds the service time of a request to the usual time of its class.
func (u *usualTimes) learn(c Class, took time.Duration, now int64) {
	t := u.find(c)
	if t == &u.others && u.makeRoom(now) {
		t = &usualTime{}
		u.classes[c] = t
	}
	t.samples = min(t.samples+1, usualWeight)
	// A microsecond is below any service time; the logarithm of 0 is infinite.
	t.logSeconds += (math.Log(max(took, time.Microsecond).Seconds()) - t.logSeconds) / float64(t.samples)
	t.lastLearnt = now
}

// makeRoom reports whether a class can be added, after removing those without requests.
func (u *usualTimes) makeRoom(now int64) bool {
	if u.classes == nil {
		u.classes = map[Class]*usualTime{}
	}
	if len(u.classes) < maxClasses {
		return true
	}
	for c, t := range u.classes {
		if time.Duration(now-t.lastLearnt) >= classIdleTime {
			delete(u.classes, c)
		}
	}
	return len(u.classes) < maxClasses
}
