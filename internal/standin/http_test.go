package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func fetch(url string) (int, string, string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body), response.Header.Get("X-Consul-Index")
}

// TestPlatform guards against responses that differ from Consul's published
// key-value interface, which would hide faults of the store client under test.
func TestPlatform(t *testing.T) {
	c := qt.New(t)
	p, err := NewPlatform()
	c.Assert(err, qt.IsNil)
	defer p.Close()
	p.Set("fleet/bundle", []byte("one"))
	tests := []struct {
		name, query string
		prepare     func()
		status      int
		body, index string
	}{
		{name: "missing key", query: "none?raw", status: 404, index: "2"},
		{name: "raw value", query: "fleet/bundle?raw", status: 200, body: "one", index: "2"},
		{name: "bad index", query: "fleet/bundle?raw&index=x", status: 400, body: "invalid index: strconv.ParseUint: parsing \"x\": invalid syntax\n"},
		{name: "wait ends", query: "fleet/bundle?raw&index=2&wait=20ms", status: 200, body: "one", index: "2"},
		{
			name: "watch wakes", query: "fleet/bundle?raw&index=2&wait=30s", status: 200, body: "two", index: "3",
			prepare: func() { time.AfterFunc(20*time.Millisecond, func() { p.Set("fleet/bundle", []byte("two")) }) },
		},
		{
			name: "stale", query: "fleet/bundle?raw&index=9", status: 200, body: "two", index: "3",
			prepare: func() { p.SetMode(PlatformStale); p.Set("fleet/bundle", []byte("three")) },
		},
		{name: "up again", query: "fleet/bundle?raw&index=3", status: 200, body: "three", index: "4", prepare: func() { p.SetMode(PlatformUp) }},
		{name: "down", query: "fleet/bundle?raw", prepare: func() { p.SetMode(PlatformDown) }},
		{name: "error", query: "fleet/bundle?raw", status: 500, body: "rpc error: No cluster leader\n", prepare: func() { p.SetMode(PlatformError) }},
		{
			name: "garbage", query: "fleet/bundle?raw", status: 200, body: "\x00\xff<html>garbage", index: "not-a-number",
			prepare: func() { p.SetMode(PlatformGarbage) },
		},
	}
	for _, test := range tests {
		before := p.Reads()
		if test.prepare != nil {
			test.prepare()
		}
		status, body, index := fetch(p.URL() + "/v1/kv/" + test.query)
		c.Check([]any{status, body, index}, qt.DeepEquals, []any{test.status, test.body, test.index}, qt.Commentf(test.name))
		if test.status != 400 && test.status != 0 {
			c.Check(p.Reads()-before, qt.Equals, 1, qt.Commentf(test.name))
		}
	}
}

// TestHealth guards against a health endpoint that ignores the simulated faults:
// zero load and a lag.
func TestHealth(t *testing.T) {
	c := qt.New(t)
	r := newFixture(c, func(o *HostOptions) { o.ServiceTime = time.Minute })
	for range 3 {
		plan := r.plan()
		plan.Requests = plan.Requests[:1]
		r.client.Open(plan)
	}
	report := func() (int, Health) {
		status, body, _ := fetch(r.host.HealthURL())
		var h Health
		c.Assert(json.Unmarshal([]byte(body), &h), qt.IsNil)
		return status, h
	}
	var got Health
	for got.BusySlots < 3 {
		time.Sleep(tickInterval)
		_, got = report()
	}
	c.Assert(got, qt.Equals, Health{State: "ready", BusySlots: 3, Slots: 4, Connections: 3})
	r.host.SetZeroLoad(true)
	_, got = report()
	c.Assert(got, qt.Equals, Health{State: "ready", Slots: 4})
	r.host.SetZeroLoad(false)
	r.host.SetHealthLag(maxHealthLag)
	r.host.Drain()
	status, got := report()
	c.Assert(status, qt.Equals, 200)
	c.Assert(got, qt.Equals, Health{State: "ready", Slots: 4})
	r.host.SetHealthLag(0)
	status, got = report()
	c.Assert(status, qt.Equals, 503)
	c.Assert(got.State, qt.Equals, "draining")
}
