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

	"github.com/segmentio/encoding/json"
)

// Operators is a client of the operators' door.
type Operators struct {
	addrs  []string
	token  string
	scheme string
	next   int
	http   *http.Client
}

// NewOperators returns a client; addrs are HOST:PORT. caFile names the authority
// that signed the controllers' certificates: with it calls go over TLS.
func NewOperators(addrs []string, token, caFile string) (*Operators, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no address of an operators' door is given (--addr or $HONEYLOCK_OPS_ADDR)")
	}
	if token == "" {
		return nil, errors.New("no token is given (--token-file or $HONEYLOCK_TOKEN)")
	}
	o := &Operators{addrs: addrs, token: token, scheme: "http", http: &http.Client{Timeout: 10 * time.Second}}
	if caFile == "" {
		return o, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("--ca: %s holds no certificate", caFile)
	}
	o.scheme = "https"
	o.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return o, nil
}

// Get asks a question.
func (o *Operators) Get(ctx context.Context, path string, out any) error {
	return o.insist(ctx, http.MethodGet, path, "", nil, out, nil)
}

// Change makes a change, once, however often it has to be asked for. told gets
// why it takes longer.
func (o *Operators) Change(ctx context.Context, path string, body []byte, out any, told func(string)) error {
	return o.insist(ctx, http.MethodPost, path, rand.Text(), body, out, told)
}

// Ask asks a question that takes a while, under one id until done.
func (o *Operators) Ask(ctx context.Context, path string, body []byte, out any, done func() bool) error {
	id := rand.Text()
	for {
		if err := o.insist(ctx, http.MethodPost, path, id, body, out, nil); err != nil || done() {
			return err
		}
		if err := pause(ctx, 300*time.Millisecond); err != nil {
			return err
		}
	}
}

// insist repeats a call under one id until it has a final answer.
func (o *Operators) insist(ctx context.Context, method, path, id string, body []byte, out any, why func(string)) error {
	return insist(ctx, func(ctx context.Context) (bool, time.Duration, error) {
		last, err := o.once(ctx, method, path, id, body, out)
		if !last {
			o.next++
			if why != nil {
				why(err.Error())
			}
		}
		return last, time.Second, err
	})
}

// once makes a call; last tells that its outcome is final.
func (o *Operators) once(ctx context.Context, method, path, id string, body []byte, out any) (last bool, err error) {
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
		return false, fmt.Errorf("status %d: %s", res.StatusCode, told(b))
	case res.StatusCode != http.StatusOK:
		return true, &Refused{res.StatusCode, told(b)}
	}
	if out == nil {
		return true, nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return true, fmt.Errorf("unreadable answer: %w", err)
	}
	return true, nil
}
