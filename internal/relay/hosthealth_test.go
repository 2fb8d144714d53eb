package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/outlier"
)

// request plays a request that takes the given time. The host answers it with the flags and
// data of answer; from, if set, is a packet that the client sends after 10 ms.
func request(a *Admission, client int, took time.Duration, answer Packet, from Flags, now int64) int64 {
	k := flowKey(client)
	a.RecordDelivery(&Packet{Key: k, Flags: FlagSYN}, now)
	a.RecordResponse(k, &Packet{Flags: FlagSYN | FlagACK}, now)
	a.RecordDelivery(&Packet{Key: k, Flags: FlagACK, Length: 50}, now)
	if from != 0 {
		a.RecordDelivery(&Packet{Key: k, Flags: from, Sequence: 50}, now+int64(10*time.Millisecond))
	}
	now += int64(took)
	a.Full(flowKey(9999), now) // scans for overdue requests
	answer.Acknowledgment = 50
	a.RecordResponse(k, &answer, now)
	return now
}

// TestClientsThatGiveUpEjectNoHost guards against the ejection of a healthy host whose
// clients close their flows or reach their deadline, and against a host that breaks off
// requests before that and keeps its share.
func TestClientsThatGiveUpEjectNoHost(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, targets(1)...)
	f.put("configuration", catalog.Record{Configuration: &catalog.Configuration{Version: 2, Routes: []catalog.Route{{
		Name: "r", Destination: destination, Services: []catalog.WeightedService{{Service: "booking", Weight: 1}},
		RequestPolicy: catalog.RequestPolicy{Timeout: 300 * time.Millisecond},
	}}}})
	reset, closed := Packet{Flags: FlagRST}, Packet{Flags: FlagFIN | FlagACK, Sequence: 1}
	for _, test := range []struct {
		name   string
		from   Flags
		took   time.Duration
		answer Packet
		want   outlier.State
	}{
		{"reset by the host", 0, 50 * time.Millisecond, reset, outlier.Ejected},
		{"closed by the host", 0, 50 * time.Millisecond, closed, outlier.Ejected},
		{"reset by the client", FlagRST, 50 * time.Millisecond, reset, outlier.Healthy},
		{"closed by the client, then reset", FlagFIN | FlagACK, 50 * time.Millisecond, reset, outlier.Healthy},
		{"closed by the client, then by the host", FlagFIN | FlagACK, 50 * time.Millisecond, closed, outlier.Healthy},
		{"reset after the client's deadline", 0, 300 * time.Millisecond, reset, outlier.Healthy},
		{"reset before the client's deadline", 0, 299 * time.Millisecond, reset, outlier.Ejected},
	} {
		a, now := NewAdmission(), int64(time.Hour)
		a.SetSlots(4)
		a.SetRoutes(f.view())
		for i := range 5 {
			now = request(a, i, test.took, test.answer, test.from, now)
		}
		c.Check(a.health.State(), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// TestColdHostIsNotEjectedAsSlow guards against the ejection of hosts that are slow because
// they have just started, whether or not the configuration limits their openings, and
// against warm hosts that are never ejected.
func TestColdHostIsNotEjectedAsSlow(t *testing.T) {
	c := qt.New(t)
	service := &catalog.Service{Settings: catalog.ServiceSettings{SlowStart: 30 * time.Second}}
	const usual = 50 * time.Millisecond
	for _, test := range []struct {
		name  string
		event func(*Admission, int64)
		want  outlier.State
	}{
		{"warm", func(*Admission, int64) {}, outlier.Ejected},
		{"registered as cold", func(a *Admission, now int64) {
			a.SetColdStart(&catalog.Member{HostStartedAtMillis: 7, SlowStartRemaining: 2 * time.Second}, service, ColdLimits{}, now)
		}, outlier.Healthy},
		{"registered as warm", func(a *Admission, now int64) {
			a.SetColdStart(&catalog.Member{HostStartedAtMillis: 7}, service, ColdLimits{}, now)
		}, outlier.Ejected},
		{"was down, slow start unknown", func(a *Admission, now int64) { a.RecordHostDown(now) }, outlier.Healthy},
		{"was down, slow start known", func(a *Admission, now int64) {
			a.SetColdStart(nil, service, ColdLimits{}, now-int64(25*time.Second))
			a.RecordHostDown(now - int64(25*time.Second))
			a.RecordResponse(flowKey(99), &Packet{Flags: FlagACK}, now-int64(24*time.Second))
		}, outlier.Healthy},
	} {
		a, now := NewAdmission(), int64(time.Hour)
		a.SetSlots(4)
		for i := range 40 {
			now = request(a, i, usual, Packet{Flags: FlagACK, Length: 10}, 0, now)
		}
		test.event(a, now)
		for i := range 7 { // the last one begins 1.5 s after the event
			now = request(a, 100+i, 5*usual, Packet{Flags: FlagACK, Length: 10}, 0, now)
			c.Assert(a.Full(flowKey(999), now), qt.IsFalse, qt.Commentf("%s: no rate, no limit", test.name))
		}
		c.Check(a.health.State(), qt.Equals, test.want, qt.Commentf("%s", test.name))
		now += int64(10 * time.Second)
		for i := range 8 {
			now = request(a, 200+i, 5*usual, Packet{Flags: FlagACK, Length: 10}, 0, now)
		}
		c.Check(a.health.State(), qt.Equals, outlier.Ejected, qt.Commentf("%s: slow once it is warm", test.name))
	}
}
