package configstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
)

// Timeouts and limits of calls to a store that may be slow, not respond at all, or
// refuse this VM. A configuration must be in force 3 s after the store acknowledged it,
// so a call on an unresponsive connection and a successful call must together take less.
const (
	// WatchWait is the time for which a watch waits for a change.
	WatchWait = 1500 * time.Millisecond
	// storeTimeout limits the time of a list call, and the time of a watch call beyond
	// its wait.
	storeTimeout = 800 * time.Millisecond
	// slowStoreTimeout replaces storeTimeout after a call timed out, until the next
	// response, so that a slow store can still be read.
	slowStoreTimeout = 3 * time.Second
	// maxResponseBytes limits one response. A page holds at most 1 MB of values, and
	// base64 makes them a third longer.
	maxResponseBytes = 4 << 20
	// minWatchBytes is the least limit of a watch's response: one value of 1 MB as base64
	// and a few small changes, so that a single large change needs no list.
	minWatchBytes = 2 << 20
	// maxIncompleteWatches is the number of watches in a row whose response does not end
	// after which the reader lists all items: on a slow link a large response needs more
	// time than a call has.
	maxIncompleteWatches = 2
)

// RequiresList reports whether a watch cannot go on and all items must be listed.
func RequiresList(err error) bool {
	return errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrResponseTooLarge)
}

// ErrResponseTooLarge means that a response exceeds what is read at once, or that it
// repeatedly did not end in time. The pages of a list have a limited size; a watch returns
// all changes in one response.
var ErrResponseTooLarge = errors.New("platform: response is too large")

// ErrHistoryLost means that the store no longer has the changes after the requested
// revision. The reader must list all items again.
var ErrHistoryLost = errors.New("platform: the store no longer has the requested revisions")

// ErrEraChanged means that the store came back from an older copy during a list, so
// that the pages belong to different contents.
var ErrEraChanged = errors.New("platform: the store came back from an older copy during the list")

// StatusError is the error for a response with an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }

// Response is a page of a list, the whole list, or the changes that a watch returned.
type Response struct {
	Items []catalog.Item
	// Revision is the store's revision at the time of the response.
	Revision uint64
	// Era counts how often the store came back from an older copy. HasEra is false
	// if the response does not contain it.
	Era    uint64
	HasEra bool
	// More is true when the list continues after the last key of the page.
	More bool
}

// StoreAPI builds the requests and decodes the responses of a store's HTTP API.
type StoreAPI interface {
	// ListPath returns the path and query of the page that begins after a key.
	ListPath(afterKey string) string
	// WatchPath returns the path and query of a watch for changes after a revision
	// that waits for at most wait.
	WatchPath(after uint64, wait time.Duration) string
	// Decode decodes a response. The error is ErrHistoryLost or a *StatusError, or
	// names the invalid field or header.
	Decode(status int, header http.Header, body []byte) (Response, error)
}

// Store reads a store that has revisions and watches. It is not safe for concurrent
// use.
type Store struct {
	client *Client
	api    StoreAPI
	// timeout is storeTimeout or slowStoreTimeout; it applies to the next call.
	timeout time.Duration
	// incompleteWatches counts the watches in a row whose response did not end.
	incompleteWatches int
	// listBytes is the size of the pages of the latest complete list.
	listBytes int64
	// Prepare is applied to the items of each response, so that a list does not hold the
	// values of all pages. If it is nil, the items stay as they are.
	Prepare func([]catalog.Item) []catalog.Item
}

// NewStore returns a reader of the store at the base URL of the client.
func NewStore(client *Client, api StoreAPI) *Store {
	return &Store{client: client, api: api, timeout: storeTimeout}
}

// List reads all items. The returned revision is that of the first page: the pages are
// not a snapshot, and a watch from that revision finds the changes made meanwhile.
func (s *Store) List(ctx context.Context) (Response, error) {
	var all Response
	after := ""
	listBytes := int64(0)
	for {
		page, size, err := s.call(ctx, s.api.ListPath(after), s.timeout, maxResponseBytes)
		if err != nil {
			return Response{}, fmt.Errorf("list: %w", err)
		}
		if all.Revision == 0 {
			all.Revision, all.Era, all.HasEra = page.Revision, page.Era, page.HasEra
		}
		if page.Era != all.Era || page.HasEra != all.HasEra {
			return Response{}, fmt.Errorf("list: %w", ErrEraChanged)
		}
		all.Items = append(all.Items, page.Items...)
		listBytes += size
		if !page.More || len(page.Items) == 0 {
			s.listBytes = listBytes
			return all, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Watch returns the changes after a revision as soon as there are any, or a response
// without items when the wait ends.
func (s *Store) Watch(ctx context.Context, after uint64, wait time.Duration) (Response, error) {
	changes, _, err := s.call(ctx, s.api.WatchPath(after, wait), wait+s.timeout, s.watchLimit())
	if !errors.Is(err, errBodyIncomplete) {
		s.incompleteWatches = 0
	} else if s.incompleteWatches++; s.incompleteWatches >= maxIncompleteWatches {
		s.incompleteWatches = 0
		err = fmt.Errorf("%w: %w", ErrResponseTooLarge, err)
	}
	if err != nil {
		return Response{}, fmt.Errorf("watch: %w", err)
	}
	if changes.Revision > after && len(changes.Items) == 0 {
		// The prefix of the watch covers all keys, so every new revision has a change.
		return Response{}, fmt.Errorf("watch: changes up to revision %d are missing: %w", changes.Revision, ErrHistoryLost)
	}
	return changes, nil
}

// watchLimit returns the number of bytes after which a watch is given up in favour of a
// list. A watch returns each change of a key, a list only the latest one: in a series of
// configurations, a watch that is longer than all items takes longer to read than a list
// and leaves the reader further behind.
func (s *Store) watchLimit() int64 {
	return min(max(s.listBytes, minWatchBytes), maxResponseBytes)
}

// call sends one request on a connection of its own and returns the response with its
// size in bytes.
func (s *Store) call(ctx context.Context, path string, timeout time.Duration, limit int64) (Response, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.client.metrics.reads.Inc(1)
	status, header, body, err := s.client.fetch(ctx, s.client.base.String()+path, limit)
	var response Response
	if err == nil {
		s.timeout = storeTimeout
		response, err = s.api.Decode(status, header, body)
		if s.Prepare != nil {
			response.Items = s.Prepare(response.Items)
		}
	} else if errors.Is(err, ErrTooLarge) {
		err = fmt.Errorf("%w: more than %d bytes", ErrResponseTooLarge, limit)
	} else if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.timeout = slowStoreTimeout
	}
	if err != nil && !RequiresList(err) {
		s.client.metrics.failures.Inc(1)
	}
	return response, int64(len(body)), err
}
