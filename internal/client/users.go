// Package client contains the clients that users and operators use to call controllers.
// They retry as the protocol demands.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"honeylock/internal/exactjson"
	"honeylock/internal/wire"
)

// Users is a client of the controllers' endpoints for users. It tries the next address if
// a controller does not answer. It is not safe for concurrent use.
type Users struct {
	addrs []string
	next  int
	http  *http.Client
	rng   *rand.Rand
}

// NewUsers returns a client; addrs are HOST:PORT.
func NewUsers(addrs []string, rng *rand.Rand) (*Users, error) {
	if len(addrs) == 0 {
		return nil, errors.New("no address of a controller is given")
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("address %q: must be HOST:PORT", a)
		}
	}
	return &Users{addrs: addrs, next: rng.IntN(len(addrs)), rng: rng, http: &http.Client{Timeout: 5 * time.Second}}, nil
}

// Refused is the error of a request with a final negative answer: a retry would not help.
type Refused struct {
	Status int
	Why    string
}

func (r *Refused) Error() string { return fmt.Sprintf("refused (%d): %s", r.Status, r.Why) }

const (
	retryTimeout  = time.Minute
	maxRetryAfter = 30 * time.Second
)

// Submit submits a job and retries for up to a minute. duplicate reports that the job had
// been accepted before.
func (u *Users) Submit(ctx context.Context, job []byte) (state *wire.JobState, duplicate bool, err error) {
	status, state, err := u.retry(ctx, http.MethodPost, "/v1/jobs", job)
	return state, status == http.StatusOK, err
}

// Withdraw cancels a job.
func (u *Users) Withdraw(ctx context.Context, id string) (*wire.JobState, error) {
	_, st, err := u.retry(ctx, http.MethodPost, "/v1/jobs/"+id+"/withdraw", nil)
	return st, err
}

// Status returns a job's state.
func (u *Users) Status(ctx context.Context, id string) (*wire.JobState, error) {
	_, st, err := u.retry(ctx, http.MethodGet, "/v1/jobs/"+id, nil)
	return st, err
}

// Ended reports whether a job in this state has ended.
func Ended(state *wire.JobState) bool { return state.Stage == "done" || state.Stage == "aborted" }

// Wait polls until a job has ended. It calls onState with every state it sees.
func (u *Users) Wait(ctx context.Context, id string, interval time.Duration,
	onState func(*wire.JobState)) (*wire.JobState, error) {
	for {
		state, err := u.Status(ctx, id)
		if err != nil {
			return nil, err
		}
		onState(state)
		if Ended(state) {
			return state, nil
		}
		if err := sleep(ctx, interval); err != nil {
			return nil, err
		}
	}
}

// retry repeats a request until it has a final answer.
func (u *Users) retry(ctx context.Context, method, path string, body []byte) (status int, state *wire.JobState,
	err error) {
	err = retryUntilFinal(ctx, func(ctx context.Context) (bool, time.Duration, error) {
		var delay time.Duration
		status, state, delay, err = u.doOnce(ctx, method, path, body)
		var final *Refused
		if err == nil || errors.As(err, &final) {
			return true, 0, err
		}
		u.next++
		return false, delay + time.Duration(u.rng.Int64N(int64(delay/4))), err
	})
	return status, state, err
}

// retryUntilFinal calls try for up to retryTimeout until its answer is final. It waits
// between calls for the time that try returns.
func retryUntilFinal(ctx context.Context, try func(context.Context) (final bool, delay time.Duration,
	err error)) error {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	var lastErr error
	for {
		final, delay, err := try(ctx)
		if final {
			return err
		}
		if ctx.Err() == nil || lastErr == nil {
			lastErr = err // keep the cause, rather than the timeout that ends the last try
		}
		if sleepErr := sleep(ctx, delay); sleepErr != nil {
			return fmt.Errorf("no answer: %w", errors.Join(lastErr, sleepErr))
		}
	}
}

// doOnce makes a request once. Without a final answer it returns the time to wait before
// the next try.
func (u *Users) doOnce(ctx context.Context, method, path string, body []byte) (int, *wire.JobState, time.Duration,
	error) {
	delay := time.Second
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.addrs[u.next%len(u.addrs)]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, delay, &Refused{Why: err.Error()}
	}
	res, err := u.http.Do(req)
	if err != nil {
		return 0, nil, delay, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 64<<10))
	if err != nil {
		return 0, nil, delay, err
	}
	switch res.StatusCode {
	case http.StatusOK, http.StatusCreated:
		var state wire.JobState
		if err := exactjson.Unmarshal(b, &state); err != nil {
			return 0, nil, delay, fmt.Errorf("answer can't be decoded: %w", err)
		}
		return res.StatusCode, &state, 0, nil
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusNotFound:
		return res.StatusCode, nil, 0, &Refused{res.StatusCode, errorMessage(b)}
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		delay = min(max(delay, time.Duration(s)*time.Second), maxRetryAfter)
	}
	return 0, nil, delay, fmt.Errorf("status %d: %s", res.StatusCode, errorMessage(b))
}

// errorMessage returns the error text in the body of an answer.
func errorMessage(b []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	if exactjson.Unmarshal(b, &e) == nil && e.Error != "" {
		return e.Error
	}
	return string(bytes.TrimSpace(b))
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
