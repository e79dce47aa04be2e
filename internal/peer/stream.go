package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"honeylock/internal/exactjson"
)

// Path is the path of the stream that a member opens to the leader.
const Path = "/peer/shard"

// LeadingPath is the path that reports whether a controller leads: it answers 409 if
// the controller leads and 204 if not.
const LeadingPath = "/peer/leading"

// UserPath is the path for users' requests that another controller forwards because it
// can't reach the state service.
const UserPath = "/peer/user"

// OpsPath is the path for operators' calls that a controller forwards to the leader.
const OpsPath = "/peer/ops"

const maxMessage = 4 << 20 // bytes

var errQueueFull = errors.New("send queue is full: the receiver does not keep up")

// Queue is the sending side of a stream: Send appends and never blocks, Run writes.
type Queue struct {
	mu   sync.Mutex
	msgs []proto.Message
	wake chan struct{}
	err  error
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{wake: make(chan struct{}, 1)} }

// Send appends a message. If the queue is full, it drops the message and Run fails.
func (q *Queue) Send(m proto.Message) {
	q.mu.Lock()
	if len(q.msgs) < 20_000 {
		q.msgs = append(q.msgs, m)
	} else {
		q.err = errQueueFull
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Run writes queued messages until the context ends or a write fails.
func (q *Queue) Run(ctx context.Context, w io.Writer, flush func() error) error {
	bw := bufio.NewWriterSize(w, 16<<10)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.wake:
		}
		q.mu.Lock()
		msgs, err := q.msgs, q.err
		q.msgs = nil
		q.mu.Unlock()
		if err != nil {
			return err
		}
		for _, m := range msgs {
			if _, err := protodelim.MarshalTo(bw, m); err != nil {
				return fmt.Errorf("write: %w", err)
			}
		}
		if err := bw.Flush(); err != nil {
			return fmt.Errorf("write: %w", err)
		}
		if flush != nil {
			if err := flush(); err != nil {
				return fmt.Errorf("flush: %w", err)
			}
		}
	}
}

// Reader is the receiving side of a stream.
type Reader struct{ br *bufio.Reader }

// NewReader returns a reader of the messages in r.
func NewReader(r io.Reader) *Reader { return &Reader{bufio.NewReaderSize(r, 16<<10)} }

// Next reads one message.
func (r *Reader) Next(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(r.br, m)
}

// Dialer opens streams to other controllers over HTTP/2 without TLS.
type Dialer struct{ client *http.Client }

// NewDialer returns a dialer.
func NewDialer() *Dialer {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	d := net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}
	return &Dialer{&http.Client{Transport: &http.Transport{DialContext: d.DialContext, Protocols: &p,
		DisableCompression:    true,
		ResponseHeaderTimeout: 2 * time.Second,
		HTTP2:                 &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: 2 * time.Second},
		IdleConnTimeout:       5 * time.Second}}}
}

// Open opens a stream to a controller. It returns once the other side has accepted the
// stream: the pipe sends to it, the body receives from it.
func (d *Dialer) Open(ctx context.Context, addr string) (*io.PipeWriter, io.ReadCloser, error) {
	pr, pw := io.Pipe()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+Path, pr)
	if err != nil {
		return nil, nil, fmt.Errorf("build request: %w", err)
	}
	res, err := d.client.Do(req)
	if err != nil {
		pw.Close()
		return nil, nil, fmt.Errorf("open stream: %w", err)
	}
	if res.StatusCode != http.StatusOK {
		pw.Close()
		res.Body.Close()
		return nil, nil, fmt.Errorf("open stream: status %d", res.StatusCode)
	}
	return pw, res.Body, nil
}

// Leading asks whether a controller leads now. known is false if it did not answer.
func (d *Dialer) Leading(ctx context.Context, addr string) (leads, known bool) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+LeadingPath, nil)
	if err != nil {
		return false, false
	}
	res, err := d.client.Do(req)
	if err != nil {
		return false, false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusConflict, res.StatusCode == http.StatusConflict ||
		res.StatusCode == http.StatusNoContent
}

// Forward sends a request to another controller and decodes its answer into reply.
func (d *Dialer) Forward(ctx context.Context, addr, path string, request, reply any) error {
	b, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	res, err := d.client.Do(req)
	if err != nil {
		return fmt.Errorf("forward: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("forward: status %d", res.StatusCode)
	}
	if err := exactjson.Decode(io.LimitReader(res.Body, maxMessage), reply); err != nil {
		return fmt.Errorf("forward: %w", err)
	}
	return nil
}

// NewServer returns a server for the streams and requests of other controllers.
func NewServer(h http.Handler) *http.Server {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: &p, ReadHeaderTimeout: 5 * time.Second}
}
