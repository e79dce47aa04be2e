package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"honeylock/internal/exactjson"
)

// Operators is a client of the controllers' operators' endpoints. It is not safe for
// concurrent use.
type Operators struct {
	addrs  []string
	token  string
	scheme string
	next   int
	http   *http.Client
}

// NewOperators returns a client; addrs are HOST:PORT. caFile is a PEM file of the CA that
// signed the controllers' certificates; if it is given, calls use TLS.
func NewOperators(addrs []string, token, caFile string) (*Operators, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no address of an operators' endpoint is given (--addr or $HONEYLOCK_OPS_ADDR)")
	}
	if token == "" {
		return nil, errors.New("no token is given (--token-file or $HONEYLOCK_TOKEN)")
	}
	operators := &Operators{addrs: addrs, token: token, scheme: "http", http: &http.Client{Timeout: 10 * time.Second}}
	if caFile == "" {
		return operators, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("--ca: %s holds no certificate", caFile)
	}
	operators.scheme = "https"
	operators.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return operators, nil
}

// Get makes a call that changes nothing and decodes the answer into out.
func (o *Operators) Get(ctx context.Context, path string, out any) error {
	return o.retry(ctx, http.MethodGet, path, "", nil, out, nil)
}

// Change makes a change exactly once, even if the request must be repeated. It calls
// onRetry with the reason of each retry.
func (o *Operators) Change(ctx context.Context, path string, body []byte, out any, onRetry func(string)) error {
	return o.retry(ctx, http.MethodPost, path, rand.Text(), body, out, onRetry)
}

// Poll repeats a call under one id until done returns true. It is for calls whose answer
// takes a while, such as forecasts.
func (o *Operators) Poll(ctx context.Context, path string, body []byte, out any, done func() bool) error {
	id := rand.Text()
	for {
		if err := o.retry(ctx, http.MethodPost, path, id, body, out, nil); err != nil || done() {
			return err
		}
		if err := sleep(ctx, 300*time.Millisecond); err != nil {
			return err
		}
	}
}

// retry repeats a call under one id until it has a final answer, and tries the next
// address each time.
func (o *Operators) retry(ctx context.Context, method, path, id string, body []byte, out any,
	onRetry func(string)) error {
	return retryUntilFinal(ctx, func(ctx context.Context) (bool, time.Duration, error) {
		final, err := o.doOnce(ctx, method, path, id, body, out)
		if !final {
			o.next++
			if onRetry != nil {
				onRetry(err.Error())
			}
		}
		return final, time.Second, err
	})
}

// doOnce makes a call once. final reports whether its outcome is final.
func (o *Operators) doOnce(ctx context.Context, method, path, id string, body []byte, out any) (final bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, o.scheme+"://"+o.addrs[o.next%len(o.addrs)]+"/ops/v1/"+path,
		bytes.NewReader(body))
	if err != nil {
		return true, err
	}
	req.Header.Set("Authorization", "Bearer "+o.token)
	if id != "" {
		req.Header.Set("Request-Id", id)
	}
	res, err := o.http.Do(req)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 16<<20))
	switch {
	case err != nil:
		return false, err
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		return false, fmt.Errorf("status %d: %s", res.StatusCode, errorMessage(b))
	case res.StatusCode != http.StatusOK:
		return true, &Refused{res.StatusCode, errorMessage(b)}
	}
	if out == nil {
		return true, nil
	}
	if err := exactjson.Unmarshal(b, out); err != nil {
		return true, fmt.Errorf("answer can't be decoded: %w", err)
	}
	return true, nil
}
