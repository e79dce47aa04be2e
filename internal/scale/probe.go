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

// awaitHealthy waits until a region has a leader and all its controllers are healthy, for up to startTimeout.
func (r *run) awaitHealthy(ctx context.Context, region *runningRegion) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		healthy := 0
		for _, host := range region.spec.Hosts {
			if checkPage(ctx, host.Bind, "/healthz") == nil {
				healthy++
			}
		}
		if healthy == len(region.spec.Hosts) && r.leaderIndex(ctx, region) >= 0 {
			return nil
		}
		if err := sleepContext(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s: after %v there is no leader or not all controllers are healthy", region.spec.Name, startTimeout)
}

// probeClient is the HTTP client for requests to controllers.
var probeClient = &http.Client{Timeout: 2 * time.Second}

// checkPage returns an error unless a controller serves the page with a 2xx status.
func checkPage(ctx context.Context, addr, path string) error {
	_, err := fetchPage(ctx, addr, path)
	return err
}

// fetchPage returns the content of a controller's page.
func fetchPage(ctx context.Context, addr, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	response, err := probeClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if response.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: status %d", path, response.StatusCode)
	}
	return b, nil
}

// readMetric reads a metric without labels from a controller's metrics page. ok is false if the page or the metric is
// missing.
func readMetric(ctx context.Context, addr, name string) (value float64, ok bool) {
	b, err := fetchPage(ctx, addr, "/metrics")
	if err != nil {
		return 0, false
	}
	for line := range bytes.Lines(b) {
		if rest, found := bytes.CutPrefix(line, []byte(name+" ")); found {
			value, err := strconv.ParseFloat(string(bytes.TrimSpace(rest)), 64)
			return value, err == nil
		}
	}
	return 0, false
}

// leaderIndex returns the index of the region's leader among its controllers, or -1 if there is none.
func (r *run) leaderIndex(ctx context.Context, region *runningRegion) int {
	for i, host := range region.spec.Hosts {
		if value, ok := readMetric(ctx, host.Bind, "honeylock_leading"); ok && value == 1 {
			return i
		}
	}
	return -1
}
