package scale

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// snapshot is what all regions have counted so far.
type snapshot struct {
	workers []WorkersStats
	worlds  []WorldStats
}

// snapshot asks all regions; their quantiles begin anew.
func (r *run) snapshot(ctx context.Context) (snapshot, error) {
	s := snapshot{make([]WorkersStats, len(r.regions)), make([]WorldStats, len(r.regions))}
	err := r.forEachRegion(func(region *runningRegion) error {
		i := region.spec.Index
		if err := callControl(ctx, http.MethodGet, region.hollowAddr, pathStats+"?reset=1", nil, &s.workers[i]); err != nil {
			return err
		}
		return callControl(ctx, http.MethodGet, region.worldAddr, pathStats+"?reset=1", nil, &s.worlds[i])
	})
	return s, err
}

// measureWindow measures for a while, after a fault if there is one.
func (r *run) measureWindow(ctx context.Context, name string, duration time.Duration, fault *Fault) error {
	r.printProgress("measuring: %s, for %v", name, duration)
	before, err := r.snapshot(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	r.mu.Lock()
	for _, m := range r.meters {
		m.beginWindow(began)
	}
	r.mu.Unlock()
	if fault != nil {
		if err := r.injectFault(ctx, fault.Kind); err != nil {
			return err
		}
	}
	if err := sleepContext(ctx, duration-time.Since(began)); err != nil {
		return err
	}
	after, err := r.snapshot(ctx)
	if err != nil {
		return err
	}
	r.report.Windows = append(r.report.Windows, r.buildWindow(ctx, name, began, before, after))
	return nil
}

func (r *run) buildWindow(ctx context.Context, name string, began time.Time, before, after snapshot) Window {
	now := time.Now()
	window := Window{Name: name, Seconds: now.Sub(began).Seconds()}
	leaders := map[string]bool{}
	for i, region := range r.regions {
		window.Regions = append(window.Regions, RegionWindow{Workers: after.workers[i].minus(before.workers[i]),
			World: after.worlds[i].minus(before.worlds[i])})
		if l := r.leaderIndex(ctx, region); l >= 0 {
			leaders[region.spec.Hosts[l].Name] = true
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

// injectFault carries a fault out in the first region.
func (r *run) injectFault(ctx context.Context, kind FaultKind) error {
	region := r.regions[0]
	switch kind {
	case RackGone:
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

// loseZone ends all that is in a region's first zone: its workers, for which the cloud has no
// others there, and its controllers, which don't come back within the run.
func (r *run) loseZone(ctx context.Context, region *runningRegion) error {
	zone := region.spec.Zones[0]
	for i, h := range region.spec.Hosts {
		if h.Zone == zone {
			region.permanentlyLost[i] = true
			r.killController(region, i)
		}
	}
	request := LoseRequest{Count: region.spec.Workers, Zone: zone, ForGood: true}
	return callControl(ctx, http.MethodPost, region.worldAddr, pathLose, request, nil)
}

// nextController is the next controller that has not ended for good; the same one if there is no other.
func (region *runningRegion) nextController(i int) int {
	for range region.controllers {
		i = (i + 1) % len(region.controllers)
		if !region.permanentlyLost[i] {
			break
		}
	}
	return i
}

// killController kills a controller.
func (r *run) killController(region *runningRegion, i int) *process {
	r.mu.Lock()
	p := region.controllers[i]
	r.mu.Unlock()
	p.kill()
	return p
}

// killAndRestartController kills a controller, and starts it again after a while.
func (r *run) killAndRestartController(ctx context.Context, region *runningRegion, i int) {
	p := r.killController(region, i)
	r.pendingRestarts.Go(func() {
		if sleepContext(ctx, restartDelay) != nil {
			return
		}
		if err := r.startController(region, i); err != nil {
			r.env.Log.Error("a controller was not started again", "host", p.name, "err", err)
		}
	})
}
