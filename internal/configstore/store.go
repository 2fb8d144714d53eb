package configstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
)

// Bounds of calls to a store that may be slow, silent or refuse this VM. A
// configuration must be in force 3 s after its acknowledgment, so that one
// silent connection plus one good call must fit into that time.
const (
	// StoreWait is how long a watch of a reader waits for a change.
	StoreWait = 1500 * time.Millisecond
	// storeTimeout bounds a watch beyond its wait, and any other call.
	storeTimeout = 800 * time.Millisecond
	// slowStoreTimeout bounds every call after one without an answer, so that
	// a slow store is still read.
	slowStoreTimeout = 3 * time.Second
	// maxAnswerBytes bounds one answer; a page holds at most 1 MB of values,
	// which base64 makes a third longer.
	maxAnswerBytes = 4 << 20
)

// ErrHistoryLost tells that the store no longer holds the changes after the
// revision asked for; the reader must list again.
var ErrHistoryLost = errors.New("platform: the store discarded the history asked for")

// StatusError is an answer with an unexpected status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

// Response is a page of a list, or the changes of a watch.
type Response struct {
	Items []catalog.Item
	// Revision is the store's revision at the answer.
	Revision uint64
	// More tells that a list continues after its last key.
	More bool
}

// StoreAPI is the form of a store's calls. Paths include the query.
type StoreAPI interface {
	ListPath(afterKey string) string
	WatchPath(after uint64, wait time.Duration) string
	// Decode reads an answer. The error is ErrHistoryLost, a *StatusError, or
	// names the field that cannot be used.
	Decode(status int, body []byte) (Response, error)
}

// Store reads a store with revisions and watches. It is not safe for
// concurrent use.
type Store struct {
	client  *Client
	dialect StoreAPI
	// timeout bounds the next call.
	timeout time.Duration
}

// NewStore returns a reader of the store that c reaches.
func NewStore(c *Client, d StoreAPI) *Store {
	return &Store{client: c, dialect: d, timeout: storeTimeout}
}

// List reads all items. The revision is that of the first page, because pages
// are no snapshot: later changes are found by a watch from there.
func (s *Store) List(ctx context.Context) (Response, error) {
	var all Response
	after := ""
	for {
		page, err := s.call(ctx, s.dialect.ListPath(after), s.timeout)
		if err != nil {
			return Response{}, fmt.Errorf("list: %w", err)
		}
		if all.Revision == 0 {
			all.Revision = page.Revision
		}
		all.Items = append(all.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return all, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Watch returns the changes after a revision as soon as there is one, or none
// when the wait ends.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration) (Response, error) {
	a, err := s.call(ctx, s.dialect.WatchPath(after, wait), wait+s.timeout)
	if err != nil {
		return Response{}, fmt.Errorf("watch: %w", err)
	}
	if a.Revision > after && len(a.Items) == 0 {
		// The prefix covers all keys, so every revision comes with a change.
		return Response{}, fmt.Errorf("watch: changes up to revision %d are missing: %w", a.Revision, ErrHistoryLost)
	}
	return a, nil
}

// call makes one call. After a failure the connection is not used again: a
// connection on which an answer was lost may stay silent for good.
func (s *Store) call(ctx context.Context, path string, timeout time.Duration) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.client.metrics.reads.Inc(1)
	status, _, body, err := s.client.fetch(ctx, s.client.base.String()+path, maxAnswerBytes)
	var answer Response
	if err == nil {
		s.timeout = storeTimeout
		answer, err = s.dialect.Decode(status, body)
	} else {
		s.client.http.CloseIdleConnections()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			s.timeout = slowStoreTimeout
		}
	}
	if err != nil && !errors.Is(err, ErrHistoryLost) {
		s.client.metrics.failures.Inc(1)
	}
	return answer, err
}
