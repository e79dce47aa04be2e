package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// await waits until a region has a leader and all its controllers are healthy.
func (r *run) await(ctx context.Context, g *region) error {
	end := time.Now().Add(startPatience)
	for time.Now().Before(end) {
		healthy := 0
		for _, h := range g.spec.Hosts {
			if get(ctx, h.Bind, "/healthz") == nil {
				healthy++
			}
		}
		if healthy == len(g.spec.Hosts) && r.leader(ctx, g) >= 0 {
			return nil
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s: not all controllers are healthy with a leader after %v", g.spec.Name, startPatience)
}

var probe = &http.Client{Timeout: 2 * time.Second}

// get reads a page of a controller.
func get(ctx context.Context, addr, path string) error {
	_, err := page(ctx, addr, path)
	return err
}

func page(ctx context.Context, addr, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	res, err := probe.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if res.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: status %d", path, res.StatusCode)
	}
	return b, nil
}

// metric reads a number from a controller's metrics page; ok is false if it is not there.
func metric(ctx context.Context, addr, name string) (v float64, ok bool) {
	b, err := page(ctx, addr, "/metrics")
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(b) {
		if rest, found := bytes.CutPrefix(line, []byte(name+" ")); found {
			v, err := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64)
			return v, err == nil
		}
	}
	return 0, false
}

// leader is the index of a region's leader, -1 if there is none.
func (r *run) leader(ctx context.Context, g *region) int {
	for i, h := range g.spec.Hosts {
		if v, ok := metric(ctx, h.Bind, "honeylock_leading"); ok && v == 1 {
			return i
		}
	}
	return -1
}
