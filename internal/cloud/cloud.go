// Package cloud is the client of the cloud service from which machines are rented.
package cloud

import (
	"context"
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

// ErrNoCapacity means that the cloud has no machine of the requested kind now and that
// nothing was rented.
var ErrNoCapacity = errors.New("no capacity")

// Client sends requests to the cloud within its rate limit.
type Client struct {
	base    string
	http    *jsonhttp.Client
	limiter *rate.Limiter
	timeout time.Duration
}

// New returns a client that makes at most rps calls a second.
func New(addr string, rps float64, timeout time.Duration) *Client {
	return &Client{base: "http://" + addr, http: jsonhttp.New(4, 0, 2*time.Second),
		limiter: rate.NewLimiter(rate.Limit(rps), 1), timeout: timeout}
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, nil, fmt.Errorf("cloud: wait for the rate limit: %w", err)
	}
	return c.http.Do(ctx, method, c.base+path, in, out)
}

func unexpected(status int, body []byte) error {
	return fmt.Errorf("cloud: status %d: %.200s", status, body)
}

// Catalog returns the machine types with their current prices.
func (c *Client) Catalog(ctx context.Context) (*wire.Catalog, error) {
	var catalog wire.Catalog
	status, body, err := c.call(ctx, http.MethodGet, "/catalog", nil, &catalog)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, unexpected(status, body)
	}
	return &catalog, nil
}

// Rent asks for machines and returns the names of those rented.
func (c *Client) Rent(ctx context.Context, r wire.Rental) ([]string, error) {
	var names wire.MachineNames
	status, body, err := c.call(ctx, http.MethodPost, "/rentals", r, &names)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusOK:
		return names.Machines, nil
	case status == http.StatusServiceUnavailable:
		// The cloud also answers 503 during an outage; nothing was rented then either.
		return nil, ErrNoCapacity
	}
	return nil, unexpected(status, body)
}

// Return returns machines to the cloud. If it succeeds, the machines and everything on
// them are gone.
func (c *Client) Return(ctx context.Context, names []string) error {
	status, body, err := c.call(ctx, http.MethodPost, "/rentals/return", wire.MachineNames{Machines: names}, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return unexpected(status, body)
	}
	return nil
}

// List returns the list of rented machines. It lags behind rentals and returns.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	from := ""
	for {
		q := url.Values{"Page": {strconv.Itoa(500)}}
		if from != "" {
			q.Set("From", from)
		}
		var listing wire.Listing
		status, body, err := c.call(ctx, http.MethodGet, "/rentals?"+q.Encode(), nil, &listing)
		if err != nil {
			return nil, err
		}
		if status != http.StatusOK {
			return nil, unexpected(status, body)
		}
		all = append(all, listing.Machines...)
		if !listing.More || len(listing.Machines) == 0 {
			return all, nil
		}
		from = listing.Machines[len(listing.Machines)-1].Name
	}
}
