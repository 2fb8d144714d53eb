package configstore

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
)

// reply is one scripted answer of the stand-in for the configuration service.
type reply struct {
	status int
	index  string
	body   string
	// wait delays the answer, as a blocking query does.
	wait time.Duration
}

// script answers queries in order, records their parameters, and blocks after
// the last one. It serves over an in-memory pipe, so that tests run under
// virtual time.
type script struct {
	replies []reply
	began   time.Time

	mu      sync.Mutex // guards the fields below
	queries []string
	at      []time.Duration
}

// next records a query and returns its reply, or false when none is left.
func (s *script) next(query string) (reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queries = append(s.queries, query)
	s.at = append(s.at, time.Since(s.began))
	if len(s.queries) > len(s.replies) {
		return reply{}, false
	}
	return s.replies[len(s.queries)-1], true
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reply, ok := s.next(r.URL.Path + "?" + r.URL.RawQuery)
	if !ok {
		<-r.Context().Done()
		return
	}
	time.Sleep(reply.wait)
	if reply.index != "" {
		w.Header().Set("X-Consul-Index", reply.index)
	}
	w.WriteHeader(reply.status)
	_, _ = w.Write([]byte(reply.body))
}

// pipeClient returns a client whose connections are in-memory pipes to the
// script.
func pipeClient(c *qt.C, s *script, scope tally.Scope) (*Client, func()) {
	client, err := New("http://platform.invalid", scope)
	c.Assert(err, qt.IsNil)
	s.began = time.Now()
	listener := newPipeListener()
	server := &http.Server{Handler: s}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(listener) }()
	client.http.Transport.(*http.Transport).DialContext = listener.dial
	return client, func() {
		client.Close()
		_ = server.Close()
		<-done
	}
}

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case l.conns <- b:
		return a, nil
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

// TestWatch guards the index handling of blocking queries and that garbage of
// every kind is reported, counted, and followed by a query without an index.
func TestWatch(t *testing.T) {
	const tooLarge = MaxValueBytes + 1
	cases := []struct {
		name    string
		replies []reply
		// updates lists "data", "=" for unchanged, or "!" for an error.
		updates []string
		// indexes lists the index parameter of each query; "" for none.
		indexes  []string
		failures int64
	}{
		{"change and wait time without a change",
			[]reply{{200, "5", "a", 0}, {200, "5", "a", 30 * time.Second}, {200, "9", "b", time.Second}},
			[]string{"a", "=", "b"}, []string{"", "5", "5", "9"}, 0},
		{"index goes backwards",
			[]reply{{200, "50", "a", 0}, {200, "3", "old", 0}, {200, "4", "b", 0}},
			[]string{"a", "old", "b"}, []string{"", "50", "", "4"}, 0},
		{"missing key", []reply{{404, "7", "", 0}, {200, "8", "a", 0}}, []string{"!", "a"}, []string{"", "7", "8"}, 0},
		{"server error starts again without an index",
			[]reply{{200, "5", "a", 0}, {500, "", "", 0}, {200, "5", "a", 0}},
			[]string{"a", "!", "a"}, []string{"", "5", "", "5"}, 1},
		{"no index", []reply{{200, "", "a", 0}}, []string{"!"}, []string{"", ""}, 1},
		{"index zero", []reply{{200, "0", "a", 0}}, []string{"!"}, []string{"", ""}, 1},
		{"index is no number", []reply{{200, "x", "a", 0}}, []string{"!"}, []string{"", ""}, 1},
		{"too large", []reply{{200, "1", strings.Repeat("x", tooLarge), 0}}, []string{"!"}, []string{"", ""}, 0},
		{"hangs beyond the wait time", []reply{{200, "1", "a", time.Minute}, {200, "1", "b", 0}}, []string{"!", "b"}, []string{"", "", "1"}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				scope := tally.NewTestScope("", nil)
				s := &script{replies: test.replies}
				client, stop := pipeClient(c, s, scope)
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
				c.Assert(updates[:len(test.updates)], qt.DeepEquals, test.updates)
				for i, index := range test.indexes {
					want := "/v1/kv/gw/bundle?raw"
					if index != "" {
						want += "&index=" + index + "&wait=30s"
					}
					c.Assert(s.queries[i], qt.Equals, want)
				}
				counters := scope.Snapshot().Counters()
				c.Assert(counters["platform.reads+"].Value(), qt.Equals, int64(len(s.queries)))
				c.Assert(counters["platform.failures+"].Value() >= test.failures, qt.IsTrue)
			})
		})
	}
}

func describe(u Update) string {
	switch {
	case u.Err != nil:
		return "!"
	case u.Unchanged:
		return "="
	}
	return string(u.Data)
}

// TestBackoff guards the platform against readers that repeat failed queries
// too fast: every wait lies between 200 ms and 30 s, and they grow.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &script{}
		for range 40 {
			s.replies = append(s.replies, reply{status: 503})
		}
		client, stop := pipeClient(c, s, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		client.Watch(ctx, "k", func(Update) {})
		stop()
		c.Assert(len(s.at) > 15 && len(s.at) < 80, qt.IsTrue, qt.Commentf("%d queries", len(s.at)))
		for i := 1; i < len(s.at); i++ {
			wait := s.at[i] - s.at[i-1]
			c.Assert(wait >= 200*time.Millisecond && wait <= 30*time.Second, qt.IsTrue, qt.Commentf("wait %v", wait))
			if i > 8 {
				c.Assert(wait >= 10*time.Second, qt.IsTrue, qt.Commentf("wait %d is %v", i, wait))
			}
		}
	})
}

// TestBusyLoop guards the platform against a watch that spins when a faulty
// service answers every blocking query at once.
func TestBusyLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &script{}
		for i := range 1000 {
			s.replies = append(s.replies, reply{status: 200, index: fmt.Sprint(i + 1)})
		}
		client, stop := pipeClient(c, s, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		client.Watch(ctx, "k", func(Update) {})
		stop()
		c.Assert(len(s.queries) <= 10*watchesPerSecond+watchBurst, qt.IsTrue, qt.Commentf("%d queries", len(s.queries)))
	})
}

// TestGet guards the errors of a single read over a real connection.
func TestGet(t *testing.T) {
	c := qt.New(t)
	defer goleak.VerifyNone(t)
	s := &script{replies: []reply{{200, "3", "value", 0}, {404, "4", "", 0}, {503, "4", "", 0}}}
	server := httptest.NewServer(s)
	defer server.Close()
	client, err := New(server.URL, nil)
	c.Assert(err, qt.IsNil)
	defer client.Close()
	value, err := client.Get(t.Context(), "k")
	c.Assert(err, qt.IsNil)
	c.Assert(value, qt.DeepEquals, Value{Data: []byte("value"), Index: 3})
	_, err = client.Get(t.Context(), "k")
	c.Assert(err, qt.ErrorIs, ErrMissing)
	_, err = client.Get(t.Context(), "k")
	c.Assert(err, qt.ErrorMatches, `platform: read "k": status 503`)
	for _, bad := range []string{"", "ftp://x", "http://", "http://[::1"} {
		_, err = New(bad, nil)
		c.Assert(err, qt.ErrorMatches, "platform.url: .*")
	}
}

// TestParseVMs guards against a bad list: every finding names its place, and
// one bad VM refuses the whole list.
func TestParseVMs(t *testing.T) {
	const good = `{"name":"a","data_centre":"d","role":"entry","address":"10.0.0.1:7000","state":"live"}`
	cases := []struct{ document, err string }{
		{`{"vms":[` + good + `]}`, ""},
		{`{"vms":[]}`, "vms: the list is empty"},
		{`{}`, "vms: the list is empty"},
		{`null`, "vms: the list is empty"},
		{`[]`, "vms: json: cannot unmarshal array.*"},
		{`{"vms":[`, "vms: unexpected end of JSON input"},
		{`{"vms":[` + good + `,` + good + `]}`, `vms\[1\].name: "a" is also vms\[0\]`},
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

// FuzzParseVMs guards the parser against panics, and against a list that is
// accepted with VMs that cannot be addressed.
func FuzzParseVMs(f *testing.F) {
	f.Add([]byte(`{"vms":[{"name":"a","data_centre":"d","role":"entry","address":"10.0.0.1:7000","state":"live"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := ParseVMs(data)
		if err == nil && len(list) == 0 {
			t.Fatal("an empty list was accepted")
		}
		for _, vm := range list {
			if !vm.Address.IsValid() || vm.Name == "" {
				t.Fatalf("accepted %+v", vm)
			}
		}
	})
}
