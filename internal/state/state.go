// Package state is the client of the state service.
package state

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"honeylock/internal/jsonhttp"
	"honeylock/internal/wire"
)

// Errors that tell what became of a request.
var (
	// ErrRefused: surely not executed (429, 503).
	ErrRefused = errors.New("state service refused")
	// ErrConflict: a guard of the transaction failed.
	ErrConflict = errors.New("a guard failed")
	// ErrNotFound: no such key or lease.
	ErrNotFound = errors.New("not found")
	// ErrCompacted: the watch's revision is too old.
	ErrCompacted = errors.New("revision too old")
)

// Client talks to the state service under its rate limits.
type Client struct {
	base    string
	http    *jsonhttp.Client
	watches *jsonhttp.Client
	reqs    *rate.Limiter
	writes  *rate.Limiter
	timeout time.Duration
}

// Limits are a client's share of the service's rates.
type Limits struct{ RPS, WriteRPS float64 }

// New returns a client.
func New(addr string, l Limits, timeout time.Duration) *Client {
	return &Client{
		base: "http://" + addr, http: jsonhttp.New(24, 2*time.Second), watches: jsonhttp.New(4, 2*time.Second),
		reqs:    rate.NewLimiter(rate.Limit(l.RPS), max(1, int(l.RPS/2))),
		writes:  rate.NewLimiter(rate.Limit(l.WriteRPS), max(1, int(l.WriteRPS/2))),
		timeout: timeout,
	}
}

type urgentKey struct{}

// Urgent marks a context whose requests go first: they don't wait for the rate
// limits, which leave room for them.
func Urgent(ctx context.Context) context.Context { return context.WithValue(ctx, urgentKey{}, true) }

func (c *Client) admit(ctx context.Context, writes int) error {
	if ctx.Value(urgentKey{}) != nil {
		return nil
	}
	if err := c.reqs.Wait(ctx); err != nil {
		return fmt.Errorf("%w: rate: %w", ErrRefused, err)
	}
	for range writes {
		if err := c.writes.Wait(ctx); err != nil {
			return fmt.Errorf("%w: rate: %w", ErrRefused, err)
		}
	}
	return nil
}

func (c *Client) call(ctx context.Context, writes int, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.admit(ctx, writes); err != nil {
		return err
	}
	status, body, err := c.http.Do(ctx, method, c.base+path, in, out)
	return verdict(status, body, err)
}

func verdict(status int, body []byte, err error) error {
	switch {
	case err != nil:
		return err
	case status/100 == 2:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusGone:
		return ErrCompacted
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	return fmt.Errorf("state service: status %d: %.200s", status, body)
}

// Get reads a key; ErrNotFound if it is absent.
func (c *Client) Get(ctx context.Context, key string) (*wire.Item, error) {
	var it wire.Item
	if err := c.call(ctx, 0, http.MethodGet, "/store/"+key, nil, &it); err != nil {
		return nil, err
	}
	return &it, nil
}

// List calls f for every key with the prefix, and returns the revision of the
// first page: a watch from there misses nothing.
func (c *Client) List(ctx context.Context, prefix string, f func(*wire.Item) error) (uint64, error) {
	var first uint64
	from := ""
	for n := 0; ; n++ {
		q := url.Values{"Starts": {prefix}, "Page": {"200"}}
		if from != "" {
			q.Set("From", from)
		}
		var p wire.Page
		if err := c.call(ctx, 0, http.MethodGet, "/store?"+q.Encode(), nil, &p); err != nil {
			return 0, err
		}
		if n == 0 {
			first = p.Revision
		}
		for i := range p.Items {
			if err := f(&p.Items[i]); err != nil {
				return 0, err
			}
			from = p.Items[i].Key
		}
		if !p.More || len(p.Items) == 0 {
			return first, nil
		}
	}
}

// Txn runs a transaction and returns its revision.
func (c *Client) Txn(ctx context.Context, t wire.Txn) (uint64, error) {
	var r wire.Revision
	if err := c.call(ctx, len(t.Then), http.MethodPost, "/txn", t, &r); err != nil {
		return 0, err
	}
	return r.Revision, nil
}

// Compare asks whether keys have the stated versions, and returns those that
// don't.
func (c *Client) Compare(ctx context.Context, guards []wire.Guard) (failed map[string]bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.admit(ctx, 0); err != nil {
		return nil, err
	}
	status, body, err := c.http.Do(ctx, http.MethodPost, c.base+"/txn", wire.Txn{Guards: guards}, nil)
	if err = verdict(status, body, err); !errors.Is(err, ErrConflict) {
		return nil, err
	}
	var f wire.Failed
	if err := json.Unmarshal(body, &f); err != nil || len(f.Keys) == 0 {
		return nil, fmt.Errorf("state service: unreadable conflict %.200s", body)
	}
	failed = make(map[string]bool, len(f.Keys))
	for _, k := range f.Keys {
		failed[k] = true
	}
	return failed, nil
}

// Grant asks for a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var l wire.Lease
	if err := c.call(ctx, 0, http.MethodPost, "/grants", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, &l); err != nil {
		return 0, err
	}
	return l.ID, nil
}

// Extend renews a lease; ErrNotFound if it has ended.
func (c *Client) Extend(ctx context.Context, id uint64) error {
	return c.call(ctx, 0, http.MethodPost, "/grants/"+strconv.FormatUint(id, 10)+"/extend", struct{}{}, nil)
}

// End ends a lease at once.
func (c *Client) End(ctx context.Context, id uint64) error {
	err := c.call(ctx, 0, http.MethodDelete, "/grants/"+strconv.FormatUint(id, 10), nil, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch waits for changes below a prefix after a revision. It opens a
// connection of its own kind, so that waiting never holds up other requests.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	if err := c.admit(Urgent(ctx), 0); err != nil {
		return nil, err
	}
	q := url.Values{"Starts": {prefix}, "From": {strconv.FormatUint(from, 10)}, "WaitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var ev wire.Events
	status, body, err := c.watches.Do(ctx, http.MethodGet, c.base+"/watch?"+q.Encode(), nil, &ev)
	if err := verdict(status, body, err); err != nil {
		return nil, err
	}
	return &ev, nil
}
