package scale

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// snapshot holds the counts of all regions at one moment.
type snapshot struct {
	workers []WorkersStats
	worlds  []WorldStats
}

// snapshot reads the counts of all regions and resets their quantiles.
func (r *run) snapshot(ctx context.Context) (snapshot, error) {
	result := snapshot{make([]WorkersStats, len(r.regions)), make([]WorldStats, len(r.regions))}
	err := r.forEachRegion(func(region *runningRegion) error {
		i := region.spec.Index
		if err := callControl(ctx, http.MethodGet, region.hollowAddr, pathStats+"?reset=1", nil,
			&result.workers[i]); err != nil {
			return err
		}
		return callControl(ctx, http.MethodGet, region.worldAddr, pathStats+"?reset=1", nil, &result.worlds[i])
	})
	return result, err
}

// measureWindow measures a window of the given length and adds it to the report. The fault, if any, is injected at the
// start of the window.
func (r *run) measureWindow(ctx context.Context, name string, duration time.Duration, fault *Fault) error {
	r.printProgress("measuring window %s for %v", name, duration)
	before, err := r.snapshot(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	r.mu.Lock()
	for _, m := range r.meters {
		m.beginWindow(started)
	}
	r.mu.Unlock()
	if fault != nil {
		if err := r.injectFault(ctx, fault.Kind); err != nil {
			return err
		}
	}
	if err := sleepContext(ctx, duration-time.Since(started)); err != nil {
		return err
	}
	after, err := r.snapshot(ctx)
	if err != nil {
		return err
	}
	r.report.Windows = append(r.report.Windows, r.buildWindow(ctx, name, started, before, after))
	return nil
}

// buildWindow ends the window in all meters and returns it with the difference of the snapshots.
func (r *run) buildWindow(ctx context.Context, name string, started time.Time, before, after snapshot) Window {
	now := time.Now()
	window := Window{Name: name, Seconds: now.Sub(started).Seconds()}
	leaders := map[string]bool{}
	for i, region := range r.regions {
		window.Regions = append(window.Regions, RegionWindow{Workers: after.workers[i].minus(before.workers[i]),
			World: after.worlds[i].minus(before.worlds[i])})
		if leader := r.leaderIndex(ctx, region); leader >= 0 {
			leaders[region.spec.Hosts[leader].Name] = true
		}
	}
	for _, p := range r.processes() {
		r.mu.Lock()
		usage := r.meters[p.name].endWindow(now)
		r.mu.Unlock()
		usage.Role, usage.Region, usage.Name, usage.Leader = p.role, p.region, p.name, leaders[p.name]
		window.Processes = append(window.Processes, usage)
	}
	return window
}

// injectFault injects a fault into the first region.
func (r *run) injectFault(ctx context.Context, kind FaultKind) error {
	region := r.regions[0]
	switch kind {
	case RackLoss:
		return callControl(ctx, http.MethodPost, region.worldAddr, pathLose,
			LoseRequest{Count: rackSize, Zone: region.spec.Zones[0]}, nil)
	case ZoneLost:
		return r.loseZone(ctx, region)
	case AllControllersKilled:
		for i := range region.controllers {
			if !region.permanentlyLost[i] {
				r.killAndRestartController(ctx, region, i)
			}
		}
		return nil
	}
	target := r.leaderIndex(ctx, region)
	if target < 0 {
		return fmt.Errorf("%s: %s has no leader", kind, region.spec.Name)
	}
	if kind == ControllerKilled {
		target = region.nextController(target)
	}
	r.killAndRestartController(ctx, region, target)
	return nil
}

// loseZone kills all workers and controllers of a region's first zone. The cloud offers no more machines there, and
// the controllers are not restarted in this run.
func (r *run) loseZone(ctx context.Context, region *runningRegion) error {
	zone := region.spec.Zones[0]
	for i, host := range region.spec.Hosts {
		if host.Zone == zone {
			region.permanentlyLost[i] = true
			r.killController(region, i)
		}
	}
	request := LoseRequest{Count: region.spec.Workers, Zone: zone, ForGood: true}
	return callControl(ctx, http.MethodPost, region.worldAddr, pathLose, request, nil)
}

// nextController returns the index of the next controller that is not permanently lost, or i if there is no other.
func (region *runningRegion) nextController(i int) int {
	for range region.controllers {
		i = (i + 1) % len(region.controllers)
		if !region.permanentlyLost[i] {
			break
		}
	}
	return i
}

// killController kills the region's controller i and returns its process.
func (r *run) killController(region *runningRegion, i int) *process {
	r.mu.Lock()
	p := region.controllers[i]
	r.mu.Unlock()
	p.kill()
	return p
}

// killAndRestartController kills the region's controller i and restarts it after restartDelay.
func (r *run) killAndRestartController(ctx context.Context, region *runningRegion, i int) {
	p := r.killController(region, i)
	r.pendingRestarts.Go(func() {
		if sleepContext(ctx, restartDelay) != nil {
			return
		}
		if err := r.startController(region, i); err != nil {
			r.environment.Log.Error("failed to restart a controller", "host", p.name, "err", err)
		}
	})
}
