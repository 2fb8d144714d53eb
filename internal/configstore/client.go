// Package configstore reads the platform's configuration service over the HTTP
// key-value interface with blocking queries of Consul KV. It never writes.
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
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/heathergw/heathergw/internal/wait"
)

// MaxValueBytes is the largest value that the configuration service holds.
const MaxValueBytes = 1 << 20

const (
	// waitTime bounds a blocking query at the service.
	waitTime = 30 * time.Second
	// watchTimeout is longer than waitTime because Consul adds up to a
	// sixteenth of it as jitter.
	watchTimeout = 40 * time.Second
	readTimeout  = 5 * time.Second
	// dialTimeout is two lost opening packets of TCP below a second apart; a VM
	// behind a partition does not answer at all.
	dialTimeout = 2 * time.Second
	// The randomized interval lies within 50% of the nominal one, so a retry
	// waits 200 ms at least and 30 s at most.
	backoffInitial = 400 * time.Millisecond
	backoffMax     = 20 * time.Second
	backoffJitter  = 0.5
	// A service that answers a blocking query at once every time would be
	// queried in a busy loop without this limit.
	watchesPerSecond = 10
	watchBurst       = 3
)

// Errors of Get and of the updates of Watch.
var (
	ErrMissing  = errors.New("platform: key is missing")
	ErrTooLarge = errors.New("platform: value exceeds 1 MB")
	ErrNoIndex  = errors.New("platform: answer carries no usable X-Consul-Index")
)

// Value is the value of a key.
type Value struct {
	Data []byte
	// Index is the modification index that the service reported.
	Index uint64
}

// Update is one result of a watch. Err is nil for a good answer; ErrMissing
// tells that the service answers but has no such key.
type Update struct {
	Value
	Err error
	// Unchanged is set when a blocking query ended without a new value.
	Unchanged bool
}

// Healthy reports whether the service answered.
func (u *Update) Healthy() bool { return u.Err == nil || errors.Is(u.Err, ErrMissing) }

// Client reads the configuration service. Its methods may be called
// concurrently.
type Client struct {
	base    *url.URL
	http    *http.Client
	metrics clientMetrics
}

type clientMetrics struct {
	reads, failures, missing, tooLarge, resets tally.Counter
}

// New returns a client for the service at baseURL, for example
// "http://192.0.2.1:8500". The error names a URL that cannot be used.
func New(baseURL string, scope tally.Scope) (*Client, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("platform.url: %w", err)
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, fmt.Errorf("platform.url: %q is no http or https URL", baseURL)
	}
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("platform")
	return &Client{
		base: base,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     90 * time.Second,
		}},
		metrics: clientMetrics{
			reads:    scope.Counter("reads"),
			failures: scope.Counter("failures"),
			missing:  scope.Counter("missing"),
			tooLarge: scope.Counter("too_large"),
			resets:   scope.Counter("index_resets"),
		},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads a key once. The error is ErrMissing, ErrTooLarge, ErrNoIndex or
// one that tells how the request failed.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.query(ctx, key, 0)
}

// Watch reads key with blocking queries until ctx ends, and passes every
// result to deliver, failures too. Failed queries are repeated with jittered
// exponential backoff between 200 ms and 30 s.
func (c *Client) Watch(ctx context.Context, key string, deliver func(Update)) {
	retry := &backoff.ExponentialBackOff{
		InitialInterval:     backoffInitial,
		RandomizationFactor: backoffJitter,
		Multiplier:          2,
		MaxInterval:         backoffMax,
	}
	limit := rate.NewLimiter(watchesPerSecond, watchBurst)
	index, failed := uint64(0), false
	for limit.Wait(ctx) == nil {
		update := c.watchOnce(ctx, key, index)
		if ctx.Err() != nil {
			return
		}
		// A query answers with the old index when its wait time ends. After a
		// failure the value is passed on again: the consumer may have missed it.
		update.Unchanged = update.Healthy() && !failed && index != 0 && update.Index == index
		if update.Healthy() {
			index, failed = c.nextIndex(index, update.Index), false
			retry.Reset()
			deliver(update)
			continue
		}
		// The next query must not block on an index that a restarted service
		// may not reach for a long time.
		index, failed = 0, true
		deliver(update)
		if wait.For(ctx, retry.NextBackOff()) != nil {
			return
		}
	}
}

// nextIndex follows the rules of blocking queries: an index that goes
// backwards means that the service was restored, and the next query starts
// from 0.
func (c *Client) nextIndex(last, current uint64) uint64 {
	if current < last {
		c.metrics.resets.Inc(1)
		return 0
	}
	return current
}

func (c *Client) watchOnce(ctx context.Context, key string, index uint64) Update {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	value, err := c.query(ctx, key, index)
	return Update{Value: value, Err: err}
}

func (c *Client) query(ctx context.Context, key string, index uint64) (Value, error) {
	c.metrics.reads.Inc(1)
	value, err := c.do(ctx, key, index)
	switch {
	case err == nil:
	case errors.Is(err, ErrMissing):
		c.metrics.missing.Inc(1)
	case errors.Is(err, ErrTooLarge):
		c.metrics.tooLarge.Inc(1)
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled):
		// The caller ended the query; that is no failure of the service.
	default:
		c.metrics.failures.Inc(1)
	}
	return value, err
}

func (c *Client) do(ctx context.Context, key string, index uint64) (Value, error) {
	status, header, data, err := c.fetch(ctx, c.address(key, index), MaxValueBytes)
	if err != nil && !errors.Is(err, ErrTooLarge) {
		return Value{}, fmt.Errorf("platform: read %q: %w", key, err)
	}
	if status != http.StatusOK && status != http.StatusNotFound {
		return Value{}, fmt.Errorf("platform: read %q: %w", key, &StatusError{Status: status})
	}
	answered, indexErr := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	if indexErr != nil || answered == 0 {
		return Value{}, fmt.Errorf("platform: read %q: %w", key, ErrNoIndex)
	}
	if status == http.StatusNotFound {
		return Value{Index: answered}, ErrMissing
	}
	if err != nil {
		return Value{}, fmt.Errorf("platform: read %q: %w", key, err)
	}
	return Value{Data: data, Index: answered}, nil
}

// fetch makes one call and reads the answer whole. The error is ErrTooLarge,
// with status and header of the answer, or that of the call.
func (c *Client) fetch(ctx context.Context, address string, limit int64) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return 0, nil, nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the answer has been read
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return 0, nil, nil, err
	}
	if int64(len(data)) > limit {
		return response.StatusCode, response.Header, nil, ErrTooLarge
	}
	return response.StatusCode, response.Header, data, nil
}

func (c *Client) address(key string, index uint64) string {
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
