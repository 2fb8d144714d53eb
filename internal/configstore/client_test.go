package configstore

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
)

// stubResponse is one response of stubService.
type stubResponse struct {
	status int
	index  string
	body   string
	// delay is the time until the response, as in a blocking query.
	delay time.Duration
}

// stubService replaces the configuration service. It sends its responses in order, records
// the queries, and blocks once no response is left. It can serve over in-memory pipes, so
// that tests can use virtual time.
type stubService struct {
	responses []stubResponse
	startTime time.Time

	mu         sync.Mutex // guards the fields below
	queries    []string
	queryTimes []time.Duration
}

// next records a query and returns its response, or false when none is left.
func (service *stubService) next(query string) (stubResponse, bool) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.queries = append(service.queries, query)
	service.queryTimes = append(service.queryTimes, time.Since(service.startTime))
	if len(service.queries) > len(service.responses) {
		return stubResponse{}, false
	}
	return service.responses[len(service.queries)-1], true
}

// recorded returns the queries and their times. A handler may still run after its
// server was closed, so the fields are not read directly.
func (service *stubService) recorded() ([]string, []time.Duration) {
	service.mu.Lock()
	defer service.mu.Unlock()
	return slices.Clone(service.queries), slices.Clone(service.queryTimes)
}

func (service *stubService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, ok := service.next(r.URL.Path + "?" + r.URL.RawQuery)
	if !ok {
		<-r.Context().Done()
		return
	}
	time.Sleep(response.delay)
	if response.index != "" {
		w.Header().Set("X-Consul-Index", response.index)
	}
	w.WriteHeader(response.status)
	_, _ = w.Write([]byte(response.body))
}

// pipeClient returns a client that connects to service over in-memory pipes, and a
// function that stops both.
func pipeClient(c *qt.C, service *stubService, scope tally.Scope) (*Client, func()) {
	client, err := New("http://platform.invalid", scope)
	c.Assert(err, qt.IsNil)
	service.startTime = time.Now()
	listener := newPipeListener()
	server := &http.Server{Handler: service}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(listener) }()
	client.http.Transport.(*http.Transport).DialContext = listener.dial
	return client, func() {
		client.Close()
		_ = server.Close()
		<-done
	}
}

// pipeListener is a net.Listener for in-memory connections that dial opens.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		return clientConn, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestWatch guards against wrong indexes in blocking queries, and against invalid
// responses that are not reported, not counted, or followed by a query with an index.
func TestWatch(t *testing.T) {
	const tooLarge = MaxValueBytes + 1
	cases := []struct {
		name      string
		responses []stubResponse
		// updates lists the expected updates: the data, "=" for an unchanged value, or
		// "!" for an error.
		updates []string
		// indexes lists the expected index parameter of each query, or "" for none.
		indexes  []string
		failures int64
	}{
		{"change, then no change until the wait time ends",
			[]stubResponse{{200, "5", "a", 0}, {200, "5", "a", 30 * time.Second}, {200, "9", "b", time.Second}},
			[]string{"a", "=", "b"}, []string{"", "5", "5", "9"}, 0},
		{"index goes backwards",
			[]stubResponse{{200, "50", "a", 0}, {200, "3", "old", 0}, {200, "4", "b", 0}},
			[]string{"a", "old", "b"}, []string{"", "50", "", "4"}, 0},
		{"index given out again with other content after the service was restored",
			[]stubResponse{{200, "5", "a", 0}, {200, "5", "b", time.Second}, {200, "5", "b", 30 * time.Second}},
			[]string{"a", "b", "="}, []string{"", "5", "5", "5"}, 0},
		{"missing key", []stubResponse{{404, "7", "", 0}, {200, "8", "a", 0}}, []string{"!", "a"}, []string{"", "7", "8"}, 0},
		{"server error starts again without an index",
			[]stubResponse{{200, "5", "a", 0}, {500, "", "", 0}, {200, "5", "a", 0}},
			[]string{"a", "!", "a"}, []string{"", "5", "", "5"}, 1},
		{"no index", []stubResponse{{200, "", "a", 0}}, []string{"!"}, []string{"", ""}, 1},
		{"index zero", []stubResponse{{200, "0", "a", 0}}, []string{"!"}, []string{"", ""}, 1},
		{"index is not a number", []stubResponse{{200, "x", "a", 0}}, []string{"!"}, []string{"", ""}, 1},
		{"too large", []stubResponse{{200, "1", strings.Repeat("x", tooLarge), 0}}, []string{"!"}, []string{"", ""}, 0},
		{"hangs beyond the wait time", []stubResponse{{200, "1", "a", time.Minute}, {200, "1", "b", 0}}, []string{"!", "b"}, []string{"", "", "1"}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				scope := tally.NewTestScope("", nil)
				service := &stubService{responses: test.responses}
				client, stop := pipeClient(c, service, scope)
				ctx, cancel := context.WithCancel(t.Context())
				var updates []string
				done := make(chan struct{})
				go func() {
					defer close(done)
					client.Watch(ctx, "gw/bundle", func(u Update) { updates = append(updates, describe(u)) })
				}()
				time.Sleep(4 * time.Minute)
				synctest.Wait()
				cancel()
				<-done
				stop()
				queries, _ := service.recorded()
				c.Assert(updates[:len(test.updates)], qt.DeepEquals, test.updates)
				for i, index := range test.indexes {
					want := "/v1/kv/gw/bundle?raw"
					if index != "" {
						want += "&index=" + index + "&wait=30s"
					}
					c.Assert(queries[i], qt.Equals, want)
				}
				counters := scope.Snapshot().Counters()
				c.Assert(counters["platform.reads+"].Value(), qt.Equals, int64(len(queries)))
				c.Assert(counters["platform.failures+"].Value() >= test.failures, qt.IsTrue)
			})
		})
	}
}

// describe returns an update in the notation of TestWatch.
func describe(u Update) string {
	switch {
	case u.Err != nil:
		return "!"
	case u.Unchanged:
		return "="
	}
	return string(u.Data)
}

// TestBackoff guards against overloading the platform with retries: the delay before
// each retry is between 200 ms and 30 s, and the delays grow.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := &stubService{}
		for range 40 {
			service.responses = append(service.responses, stubResponse{status: 503})
		}
		client, stop := pipeClient(c, service, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		client.Watch(ctx, "k", func(Update) {})
		stop()
		_, times := service.recorded()
		c.Assert(len(times) > 15 && len(times) < 80, qt.IsTrue, qt.Commentf("%d queries", len(times)))
		for i := 1; i < len(times); i++ {
			delay := times[i] - times[i-1]
			c.Assert(delay >= 200*time.Millisecond && delay <= 30*time.Second, qt.IsTrue, qt.Commentf("delay %v", delay))
			if i > 8 {
				c.Assert(delay >= 10*time.Second, qt.IsTrue, qt.Commentf("delay %d is %v", i, delay))
			}
		}
	})
}

// TestBusyLoop guards against a watch that queries the platform in a busy loop when a
// faulty service responds to every blocking query at once.
func TestBusyLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := &stubService{}
		for i := range 1000 {
			service.responses = append(service.responses, stubResponse{status: 200, index: fmt.Sprint(i + 1)})
		}
		client, stop := pipeClient(c, service, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		client.Watch(ctx, "k", func(Update) {})
		stop()
		queries, _ := service.recorded()
		c.Assert(len(queries) <= 10*watchesPerSecond+watchBurst, qt.IsTrue, qt.Commentf("%d queries", len(queries)))
	})
}

// TestGet guards against wrong values and errors of single reads over a TCP connection, and
// against accepting invalid base URLs.
func TestGet(t *testing.T) {
	c := qt.New(t)
	defer goleak.VerifyNone(t)
	service := &stubService{responses: []stubResponse{{200, "3", "value", 0}, {404, "4", "", 0}, {503, "4", "", 0}}}
	server := httptest.NewServer(service)
	defer server.Close()
	client, err := New(server.URL, nil)
	c.Assert(err, qt.IsNil)
	defer client.Close()
	value, err := client.Get(t.Context(), "k")
	c.Assert(err, qt.IsNil)
	c.Assert(value, qt.DeepEquals, Value{Data: []byte("value"), Index: 3})
	_, err = client.Get(t.Context(), "k")
	c.Assert(err, qt.ErrorIs, ErrKeyNotFound)
	_, err = client.Get(t.Context(), "k")
	c.Assert(err, qt.ErrorMatches, `platform: read "k": status 503`)
	for _, invalidURL := range []string{"", "ftp://x", "http://", "http://[::1"} {
		_, err = New(invalidURL, nil)
		c.Assert(err, qt.ErrorMatches, "platform.url: .*")
	}
}

// TestParseVMs guards against accepting an invalid list: one invalid VM makes the whole
// list invalid, and each error names the VM and the field.
func TestParseVMs(t *testing.T) {
	const validVM = `{"name":"a","data_centre":"d","role":"entry","address":"10.0.0.1:7000","state":"live"}`
	cases := []struct{ document, err string }{
		{`{"vms":[` + validVM + `]}`, ""},
		{`{"vms":[]}`, "vms: the list is empty"},
		{`{}`, "vms: the list is empty"},
		{`null`, "vms: the list is empty"},
		{`[]`, "vms: json: cannot unmarshal array.*"},
		{`{"vms":[`, "vms: unexpected end of JSON input"},
		{`{"vms":[` + validVM + `,` + validVM + `]}`, `vms\[1\].name: "a" is also vms\[0\]`},
		{`{"vms":[{"name":"a","data_centre":"d","role":"x","address":"10.0.0.1:1","state":"live"}]}`, `vms\[0\].role: "x" is neither entry nor agent`},
		{`{"vms":[{"name":"a","data_centre":"d","role":"agent","address":"host:1","state":"live"}]}`, `vms\[0\].address: .*`},
		{`{"vms":[{"name":"a","data_centre":"d","role":"agent","address":"10.0.0.1:1","state":"dead"}]}`, `vms\[0\].state: "dead" is neither live nor leaving`},
		{`{"vms":[{"data_centre":"d"},{"name":"b"}]}`, "(?s)vms\\[0\\].name: is missing.vms\\[1\\].data_centre: is missing"},
		{strings.Repeat(" ", MaxValueBytes+1), "platform: value exceeds 1 MB"},
	}
	for _, test := range cases {
		c := qt.New(t)
		list, err := ParseVMs([]byte(test.document))
		if test.err == "" {
			c.Assert(err, qt.IsNil)
			c.Assert(len(list), qt.Equals, 1)
			continue
		}
		c.Assert(err, qt.ErrorMatches, test.err)
		c.Assert(list, qt.IsNil)
	}
}

// FuzzParseVMs guards against panics, and against accepting VMs without a name or a valid
// address.
func FuzzParseVMs(f *testing.F) {
	f.Add([]byte(`{"vms":[{"name":"a","data_centre":"d","role":"entry","address":"10.0.0.1:7000","state":"live"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := ParseVMs(data)
		if err == nil && len(list) == 0 {
			t.Fatal("accepted an empty list")
		}
		for _, vm := range list {
			if !vm.Address.IsValid() || vm.Name == "" {
				t.Fatalf("accepted %+v", vm)
			}
		}
	})
}
