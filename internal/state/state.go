// Package state is the client of the state service.
package state

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/storehealth"
	"honeylock/internal/exactjson"
	"honeylock/internal/jsonhttp"
	"honeylock/internal/wire"
)

// Errors by which callers distinguish the outcomes of a request.
var (
	// ErrRefused means that the request was certainly not executed (429, 503).
	ErrRefused = errors.New("state service refused the request")
	// ErrBusy means that the request was not executed because it exceeds the service's
	// rate or this controller's share of it.
	ErrBusy = fmt.Errorf("%w: rate limit exceeded", ErrRefused)
	// ErrConflict means that a guard of the transaction failed.
	ErrConflict = errors.New("a guard failed")
	// ErrNotFound means that there is no such key or lease.
	ErrNotFound = errors.New("not found")
	// ErrInvalid means that the service rejected the request itself (400), most likely
	// because it is too large. Repeating it does not help.
	ErrInvalid = errors.New("state service rejected the request as invalid")
	// ErrCompacted means that the service no longer has the revision from which a
	// watch should start.
	ErrCompacted = errors.New("revision too old")
)

// Client sends requests to the state service within its rate limits. It is safe for
// concurrent use.
type Client struct {
	base      string
	http      *jsonhttp.Client
	authority *jsonhttp.Client // for requests of class Authority, so that others never delay them
	watches   *jsonhttp.Client
	timeout   time.Duration
	start     time.Time
	onOutcome func(sent time.Time, o storehealth.Outcome)

	mu       sync.Mutex
	invalid  uint64 // requests that the service rejected as invalid
	limiter  *ratelimit.Limiter
	nextStep time.Duration // when to step the limiter next; 0: no request waits
}

// New returns a client. It calls onOutcome with the outcome of every request that was sent.
func New(addr string, p ratelimit.Params, timeout time.Duration,
	onOutcome func(sent time.Time, o storehealth.Outcome)) *Client {
	return &Client{
		base: "http://" + addr, http: jsonhttp.New(24, 0, 2*time.Second), authority: jsonhttp.New(4, 0, 2*time.Second),
		watches: jsonhttp.New(4, 0, 2*time.Second), timeout: timeout, start: time.Now(), onOutcome: onOutcome,
		limiter: ratelimit.New(p),
	}
}

// Stats returns the client's share of the service's rate, the number of requests that it
// shed because the share was used up, and the number that the service refused as over
// its rate.
func (c *Client) Stats() (share float64, shed, busy uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.limiter.Shed {
		shed += n
	}
	return c.limiter.Share(), shed, c.limiter.ServiceRefusals
}

// WriteRate returns the service's write rate limit as far as it is known, and whether that
// is the announced lower limit.
func (c *Client) WriteRate() (perSecond float64, lowered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.WriteRate()
}

// SetAllocation sets this controller's allocation of the service's rate, valid for validFor.
func (c *Client) SetAllocation(p ratelimit.Allocation, validFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Since(c.start)
	c.limiter.SetAllocation(now, p, now+validFor)
	c.step(now)
}

// Demand returns the recent demand, as shares of the service's rate.
func (c *Client) Demand() ratelimit.Allocation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.Demand(time.Since(c.start))
}

// Invalid returns the number of requests that the service rejected as invalid.
func (c *Client) Invalid() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

type timeoutKey struct{}

// WithTimeout returns a context whose requests have the timeout d instead of the client's.
// It is for requests whose answers are still useful after the usual timeout.
func WithTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, timeoutKey{}, d)
}

type classKey struct{}

// WithClass returns a context whose requests belong to a class. The default is Reads.
func WithClass(ctx context.Context, c ratelimit.Class) context.Context {
	return context.WithValue(ctx, classKey{}, c)
}

func classOf(ctx context.Context) ratelimit.Class {
	if c, ok := ctx.Value(classKey{}).(ratelimit.Class); ok {
		return c
	}
	return ratelimit.Reads
}

// admit waits until the rate limits allow a request.
func (c *Client) admit(ctx context.Context, writes int) error {
	c.mu.Lock()
	now := time.Since(c.start)
	until := now + c.timeout
	if d, ok := ctx.Deadline(); ok {
		until = min(until, d.Sub(c.start))
	}
	ticket := c.limiter.Request(now, classOf(ctx), writes, until)
	c.step(now)
	c.mu.Unlock()
	select {
	case <-ticket.Decided:
	case <-ctx.Done():
		c.mu.Lock()
		c.limiter.Cancel(ticket)
		c.mu.Unlock()
		return fmt.Errorf("%w: %w", ErrBusy, ctx.Err())
	}
	if ticket.Refused {
		return fmt.Errorf("%w: this controller's share is used up", ErrBusy)
	}
	return nil
}

// step steps the limiter, and schedules the next step if requests still wait. The
// caller holds c.mu.
func (c *Client) step(now time.Duration) {
	next := c.limiter.Step(now)
	if next == 0 || c.nextStep != 0 && c.nextStep <= next && c.nextStep > now {
		return
	}
	c.nextStep = next
	time.AfterFunc(next-now, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.step(time.Since(c.start))
	})
}

func (c *Client) call(ctx context.Context, writes int, method, path string, in, out any) error {
	status, body, err := c.exchange(ctx, writes, method, path, in, out)
	return statusError(status, body, err)
}

// exchange sends a request once the rate limits allow it, and records its outcome.
func (c *Client) exchange(parent context.Context, writes int, method, path string, in, out any) (int, []byte, error) {
	if err := c.admit(parent, writes); err != nil {
		return 0, nil, err
	}
	conns, timeout := c.http, c.timeout
	if classOf(parent) == ratelimit.Authority {
		conns = c.authority
	}
	if d, ok := parent.Value(timeoutKey{}).(time.Duration); ok {
		timeout = d
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	sent := time.Now()
	status, body, err := conns.Do(ctx, method, c.base+path, in, out)
	// A request that its caller canceled says nothing about the service.
	if !errors.Is(parent.Err(), context.Canceled) {
		c.recordOutcome(sent, status, err)
	}
	return status, body, err
}

func (c *Client) recordOutcome(sent time.Time, status int, err error) {
	switch {
	case err != nil:
		c.onOutcome(sent, storehealth.NoAnswer)
	case status == http.StatusBadRequest:
		c.mu.Lock()
		c.invalid++
		c.mu.Unlock()
		c.onOutcome(sent, storehealth.Served)
	case status == http.StatusTooManyRequests:
		c.mu.Lock()
		c.limiter.HandleRefusal(time.Since(c.start))
		c.mu.Unlock()
		c.onOutcome(sent, storehealth.Busy)
	case status >= 500:
		c.onOutcome(sent, storehealth.Refused)
	default:
		c.onOutcome(sent, storehealth.Served)
	}
}

// statusError returns the error that stands for an answer's status, nil for a 2xx.
func statusError(status int, body []byte, err error) error {
	switch {
	case err != nil:
		return err
	case status/100 == 2:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", ErrInvalid, body)
	case status == http.StatusGone:
		return ErrCompacted
	case status == http.StatusTooManyRequests:
		return ErrBusy
	case status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	}
	return fmt.Errorf("state service: status %d: %.200s", status, body)
}

// Get reads a key. It returns ErrNotFound if the key is absent.
func (c *Client) Get(ctx context.Context, key string) (*wire.Item, error) {
	var item wire.Item
	if err := c.call(ctx, 0, http.MethodGet, "/store/"+key, nil, &item); err != nil {
		return nil, err
	}
	return &item, nil
}

// List calls f for every key with the prefix. It returns the revision of the first page:
// a watch that starts there misses no change.
func (c *Client) List(ctx context.Context, prefix string, f func(*wire.Item) error) (uint64, error) {
	var revision uint64
	from := ""
	for pages := 0; ; pages++ {
		q := url.Values{"Starts": {prefix}, "Page": {"200"}}
		if from != "" {
			q.Set("From", from)
		}
		var p wire.Page
		if err := c.page(ctx, q, &p); err != nil {
			return 0, err
		}
		if pages == 0 {
			revision = p.Revision
		}
		for i := range p.Items {
			if err := f(&p.Items[i]); err != nil {
				return 0, err
			}
			from = p.Items[i].Key
		}
		if !p.More || len(p.Items) == 0 {
			return revision, nil
		}
	}
}

// maxPageAttempts is how often List requests a page before it fails. Without retries a
// busy service would make the caller read all earlier pages again.
const maxPageAttempts = 4

func (c *Client) page(ctx context.Context, q url.Values, p *wire.Page) (err error) {
	for attempt := range maxPageAttempts {
		if err = c.call(ctx, 0, http.MethodGet, "/store?"+q.Encode(), nil, p); !errors.Is(err, ErrRefused) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(time.Duration(attempt+1) * 150 * time.Millisecond):
		}
	}
	return err
}

// Txn runs a transaction and returns its revision.
func (c *Client) Txn(ctx context.Context, t wire.Txn) (uint64, error) {
	var r wire.Revision
	if err := c.call(ctx, len(t.Then), http.MethodPost, "/txn", t, &r); err != nil {
		return 0, err
	}
	return r.Revision, nil
}

// Compare checks whether keys have the versions in guards, and returns the keys that
// don't.
func (c *Client) Compare(ctx context.Context, guards []wire.Guard) (failed map[string]bool, err error) {
	status, body, err := c.exchange(ctx, 0, http.MethodPost, "/txn", wire.Txn{Guards: guards}, nil)
	if err = statusError(status, body, err); !errors.Is(err, ErrConflict) {
		return nil, err
	}
	var conflict wire.FailedGuards
	if err := exactjson.Unmarshal(body, &conflict); err != nil || len(conflict.Keys) == 0 {
		return nil, fmt.Errorf("state service: conflict answer can't be decoded: %.200s", body)
	}
	failed = make(map[string]bool, len(conflict.Keys))
	for _, k := range conflict.Keys {
		failed[k] = true
	}
	return failed, nil
}

// Grant creates a lease and returns its id.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease wire.Lease
	if err := c.call(ctx, 0, http.MethodPost, "/grants", wire.LeaseRequest{TTLMillis: ttl.Milliseconds()},
		&lease); err != nil {
		return 0, err
	}
	return lease.ID, nil
}

// Extend renews a lease. It returns ErrNotFound if the lease has ended.
func (c *Client) Extend(ctx context.Context, id uint64) error {
	return c.call(ctx, 0, http.MethodPost, "/grants/"+strconv.FormatUint(id, 10)+"/extend", struct{}{}, nil)
}

// End ends a lease at once. A lease that has ended already is no error.
func (c *Client) End(ctx context.Context, id uint64) error {
	err := c.call(ctx, 0, http.MethodDelete, "/grants/"+strconv.FormatUint(id, 10), nil, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch waits for changes to keys with a prefix after a revision. It uses separate
// connections, so that a waiting watch never delays other requests.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	if err := c.admit(WithClass(ctx, ratelimit.Authority), 0); err != nil {
		return nil, err
	}
	q := url.Values{"Starts": {prefix}, "From": {strconv.FormatUint(from, 10)},
		"WaitMs": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var events wire.Events
	status, body, err := c.watches.Do(ctx, http.MethodGet, c.base+"/watch?"+q.Encode(), nil, &events)
	if status == http.StatusTooManyRequests {
		c.recordOutcome(time.Now(), status, nil)
	}
	if err := statusError(status, body, err); err != nil {
		return nil, err
	}
	return &events, nil
}
