package configstore_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	store "github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/platform"
	"github.com/heathergw/heathergw/platform/platformtest"
)

var loopback = netip.MustParseAddr("127.0.0.1")

func newReader(t *testing.T) (*platformtest.Store, *store.Store) {
	s := platformtest.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	client, err := store.New(server.URL, nil)
	qt.New(t).Assert(err, qt.IsNil)
	return s, store.NewStore(client, platform.Store{})
}

// Guards against lists that end with the first page, and against a watch that
// begins after changes made between two pages.
func TestListReadsAllPages(t *testing.T) {
	c := qt.New(t)
	s, reader := newReader(t)
	for i := range 11 {
		s.Put("key-"+string(rune('a'+i)), []byte("v"))
	}
	a, err := reader.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(a.Items, qt.HasLen, 11)
	c.Check(a.Revision, qt.Equals, s.Revision())
	c.Check(s.Calls(loopback), qt.Equals, 3)
}

// Guards against changes that are missed, against a wait without an end, and
// against lost history that looks like an answer.
func TestWatch(t *testing.T) {
	c := qt.New(t)
	s, reader := newReader(t)
	ctx := context.Background()
	s.Put("a", []byte("1"))
	before := s.Revision()
	a, err := reader.Watch(ctx, before, time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Check(a.Items, qt.HasLen, 0)
	c.Check(a.Revision, qt.Equals, before)
	s.Put("b", nil)
	s.Delete("a")
	a, err = reader.Watch(ctx, before, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Items, qt.HasLen, 2, qt.Commentf("one answer carries all changes"))
	c.Check(a.Items[1].Deleted, qt.IsTrue)
	s.DropHistory()
	_, err = reader.Watch(ctx, before, time.Second)
	c.Check(err, qt.ErrorIs, store.ErrHistoryLost)
}

// Guards against calls that hang or that take a refusal for an answer.
func TestFaultsOfTheStore(t *testing.T) {
	for name, fault := range map[string]platformtest.Fault{
		"silent":   {Silent: true},
		"refused":  {Status: http.StatusServiceUnavailable},
		"too many": {Status: http.StatusTooManyRequests},
		"cut":      {Cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s, reader := newReader(t)
			s.Put("a", []byte("1"))
			s.SetFault(func(netip.Addr) platformtest.Fault { return fault })
			_, err := reader.List(context.Background())
			c.Assert(err, qt.IsNotNil)
			var status *store.StatusError
			c.Check(errors.As(err, &status), qt.Equals, fault.Status != 0)
			s.SetFault(func(netip.Addr) platformtest.Fault { return platformtest.Fault{} })
			_, err = reader.List(context.Background())
			c.Check(err, qt.IsNil, qt.Commentf("the store is read again at once"))
		})
	}
}

// Guards against a slow store that is never read: after a call without an
// answer the next one waits longer.
func TestSlowStoreIsReadAtLast(t *testing.T) {
	c := qt.New(t)
	s, reader := newReader(t)
	s.Put("a", []byte("1"))
	s.SetFault(func(netip.Addr) platformtest.Fault { return platformtest.Fault{Delay: time.Second} })
	_, err := reader.List(context.Background())
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	_, err = reader.List(context.Background())
	c.Check(err, qt.IsNil)
}
