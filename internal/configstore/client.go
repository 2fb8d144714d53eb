// Package configstore reads the platform's configuration service. Client uses an HTTP
// API compatible with Consul KV, including its blocking queries; Store uses an API of
// the platform with revisions and watches. The package never writes.
package configstore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/heathergw/heathergw/internal/wait"
)

// MaxValueBytes is the maximum size of a value in the configuration service.
const MaxValueBytes = 1 << 20

const (
	// waitTime is the time after which the service ends a blocking query without a
	// change.
	waitTime = 30 * time.Second
	// watchTimeout exceeds waitTime because Consul adds a jitter of up to a
	// sixteenth of the wait time.
	watchTimeout = 40 * time.Second
	readTimeout  = 5 * time.Second
	// dialTimeout allows for the loss of two SYN packets that are sent less than a
	// second apart. A VM behind a network partition does not respond at all.
	dialTimeout = 2 * time.Second
	// The randomized interval is within 50% of the nominal one, so a retry is delayed
	// by 200 ms to 30 s.
	backoffInitial = 400 * time.Millisecond
	backoffMax     = 20 * time.Second
	backoffJitter  = 0.5
	// Without this rate limit, a service that responds to every blocking query at once
	// would be queried in a busy loop.
	watchesPerSecond = 10
	watchBurst       = 3
)

// Errors of Client.Get and of the updates that Client.Watch reports.
var (
	ErrKeyNotFound = errors.New("platform: key not found")
	ErrTooLarge    = errors.New("platform: value exceeds 1 MB")
	ErrNoIndex     = errors.New("platform: response has no valid X-Consul-Index header")
)

// Value is the value of a key and its modification index.
type Value struct {
	Data []byte
	// Index is the X-Consul-Index of the response.
	Index uint64
}

// Update is one result of a watch. Err is nil when the query returned the value, and
// ErrKeyNotFound when the service responded but does not have the key.
type Update struct {
	Value
	Err error
	// Unchanged is true when the index and the value are the same as in the previous
	// update because the blocking query reached its wait time.
	Unchanged bool
}

// Healthy reports whether the service responded properly. A missing key is a proper
// response.
func (u *Update) Healthy() bool { return u.Err == nil || errors.Is(u.Err, ErrKeyNotFound) }

// Client reads keys of the configuration service. Its methods are safe for concurrent
// use.
type Client struct {
	base    *url.URL
	http    *http.Client
	metrics clientMetrics
}

type clientMetrics struct {
	reads, failures, missing, tooLarge, indexResets tally.Counter
}

// New returns a client for the service at baseURL, for example
// "http://192.0.2.1:8500". It reports its metrics to scope, which may be nil. The error
// states why the URL is invalid.
func New(baseURL string, scope tally.Scope) (*Client, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("platform.url: %w", err)
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, fmt.Errorf("platform.url: %q is not an http or https URL", baseURL)
	}
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("platform")
	return &Client{
		base: base,
		http: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
			// On a connection in use again, a late second copy of a response would be
			// taken for the response to the next request.
			DisableKeepAlives: true,
		}},
		metrics: clientMetrics{
			reads:       scope.Counter("reads"),
			failures:    scope.Counter("failures"),
			missing:     scope.Counter("missing"),
			tooLarge:    scope.Counter("too_large"),
			indexResets: scope.Counter("index_resets"),
		},
	}, nil
}

// Close closes connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads a key once. The error wraps ErrKeyNotFound, ErrTooLarge, ErrNoIndex or
// *StatusError, or describes how the request failed.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.query(ctx, key, 0)
}

// Watch reads key with blocking queries until ctx ends and passes each result,
// including failures, to onUpdate. It retries failed queries with jittered exponential
// backoff between 200 ms and 30 s.
func (c *Client) Watch(ctx context.Context, key string, onUpdate func(Update)) {
	retryBackoff := &backoff.ExponentialBackOff{
		InitialInterval:     backoffInitial,
		RandomizationFactor: backoffJitter,
		Multiplier:          2,
		MaxInterval:         backoffMax,
	}
	limiter := rate.NewLimiter(watchesPerSecond, watchBurst)
	index, failed := uint64(0), false
	// A restored service gives out indexes again, so an index does not identify a value.
	var digest uint64
	for limiter.Wait(ctx) == nil {
		update := c.watchOnce(ctx, key, index)
		if ctx.Err() != nil {
			return
		}
		// When its wait time ends, a query returns the index that it was given. After
		// a failure an unchanged value is reported as new, because the consumer may
		// have missed it.
		last := digest
		digest = xxhash.Sum64(update.Data)
		update.Unchanged = update.Healthy() && !failed && index != 0 && update.Index == index && digest == last
		if update.Healthy() {
			index, failed = c.nextIndex(index, update.Index), false
			retryBackoff.Reset()
			onUpdate(update)
			continue
		}
		// The next query must not block on an index that a restarted service may not
		// reach for a long time.
		index, failed = 0, true
		onUpdate(update)
		if wait.For(ctx, retryBackoff.NextBackOff()) != nil {
			return
		}
	}
}

// nextIndex returns the index for the next blocking query. As Consul requires, it is 0
// when the index went backwards, which means that the service was restored.
func (c *Client) nextIndex(last, current uint64) uint64 {
	if current < last {
		c.metrics.indexResets.Inc(1)
		return 0
	}
	return current
}

// watchOnce makes one blocking query, or a plain one when index is 0.
func (c *Client) watchOnce(ctx context.Context, key string, index uint64) Update {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	value, err := c.query(ctx, key, index)
	return Update{Value: value, Err: err}
}

// query reads a key and counts the result.
func (c *Client) query(ctx context.Context, key string, index uint64) (Value, error) {
	c.metrics.reads.Inc(1)
	value, err := c.readKey(ctx, key, index)
	switch {
	case err == nil:
	case errors.Is(err, ErrKeyNotFound):
		c.metrics.missing.Inc(1)
	case errors.Is(err, ErrTooLarge):
		c.metrics.tooLarge.Inc(1)
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		// The caller canceled the query, so this is not a failure of the service.
	default:
		c.metrics.failures.Inc(1)
	}
	return value, err
}

func (c *Client) readKey(ctx context.Context, key string, index uint64) (Value, error) {
	status, header, data, err := c.fetch(ctx, c.requestURL(key, index), MaxValueBytes)
	if err != nil && !errors.Is(err, ErrTooLarge) {
		return Value{}, fmt.Errorf("platform: read %q: %w", key, err)
	}
	if status != http.StatusOK && status != http.StatusNotFound {
		return Value{}, fmt.Errorf("platform: read %q: %w", key, &StatusError{Status: status})
	}
	responseIndex, indexErr := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	if indexErr != nil || responseIndex == 0 {
		return Value{}, fmt.Errorf("platform: read %q: %w", key, ErrNoIndex)
	}
	if status == http.StatusNotFound {
		return Value{Index: responseIndex}, ErrKeyNotFound
	}
	if err != nil {
		return Value{}, fmt.Errorf("platform: read %q: %w", key, err)
	}
	return Value{Data: data, Index: responseIndex}, nil
}

// errBodyIncomplete means that a response began and did not end.
var errBodyIncomplete = errors.New("platform: response is incomplete")

// fetch sends a GET request and reads the whole response body. The error is
// ErrTooLarge, together with the status and header, when the body exceeds limit, wraps
// errBodyIncomplete when the body ends early, and is otherwise the error of the request.
func (c *Client) fetch(ctx context.Context, requestURL string, limit int64) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("%w: %w", errBodyIncomplete, err)
	}
	if int64(len(data)) > limit {
		return response.StatusCode, response.Header, nil, ErrTooLarge
	}
	return response.StatusCode, response.Header, data, nil
}

// requestURL returns the URL that reads key. With an index above 0 the query blocks
// until the index changes.
func (c *Client) requestURL(key string, index uint64) string {
	u := c.base.JoinPath("v1", "kv", strings.TrimPrefix(key, "/"))
	query := url.Values{}
	if index > 0 {
		query.Set("index", strconv.FormatUint(index, 10))
		query.Set("wait", waitTime.String())
	}
	u.RawQuery = "raw"
	if len(query) > 0 {
		u.RawQuery += "&" + query.Encode()
	}
	return u.String()
}
