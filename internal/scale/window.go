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
	err := r.each(func(g *region) error {
		i := g.spec.Index
		if err := control(ctx, http.MethodGet, g.hollowAddr, pathStats+"?reset=1", nil, &s.workers[i]); err != nil {
			return err
		}
		return control(ctx, http.MethodGet, g.worldAddr, pathStats+"?reset=1", nil, &s.worlds[i])
	})
	return s, err
}

// measure measures for a while, after a fault if there is one.
func (r *run) measure(ctx context.Context, name string, d time.Duration, f *Fault) error {
	r.say("measuring: %s, for %v", name, d)
	before, err := r.snapshot(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	r.mu.Lock()
	for _, m := range r.meters {
		m.open(began)
	}
	r.mu.Unlock()
	if f != nil {
		if err := r.strike(ctx, f.Kind); err != nil {
			return err
		}
	}
	if err := sleep(ctx, d-time.Since(began)); err != nil {
		return err
	}
	after, err := r.snapshot(ctx)
	if err != nil {
		return err
	}
	r.report.Windows = append(r.report.Windows, r.window(ctx, name, began, before, after))
	return nil
}

func (r *run) window(ctx context.Context, name string, began time.Time, before, after snapshot) Window {
	now := time.Now()
	w := Window{Name: name, Seconds: now.Sub(began).Seconds()}
	leaders := map[string]bool{}
	for i, g := range r.regions {
		w.Regions = append(w.Regions, RegionWindow{Workers: after.workers[i].since(before.workers[i]),
			World: after.worlds[i].since(before.worlds[i])})
		if l := r.leader(ctx, g); l >= 0 {
			leaders[g.spec.Hosts[l].Name] = true
		}
	}
	for _, p := range r.processes() {
		r.mu.Lock()
		u := r.meters[p.name].close(now)
		r.mu.Unlock()
		u.Role, u.Region, u.Name, u.Leader = p.role, p.region, p.name, leaders[p.name]
		w.Processes = append(w.Processes, u)
	}
	return w
}

// strike carries a fault out in the first region.
func (r *run) strike(ctx context.Context, k FaultKind) error {
	g := r.regions[0]
	switch k {
	case RackGone:
		return control(ctx, http.MethodPost, g.worldAddr, pathLose, Lose{Count: rackSize, Zone: g.spec.Zones[0]}, nil)
	case ZoneLost:
		return r.loseZone(ctx, g)
	case AllEnd:
		for i := range g.controllers {
			if !g.lost[i] {
				r.killController(ctx, g, i)
			}
		}
		return nil
	}
	struck := r.leader(ctx, g)
	if struck < 0 {
		return fmt.Errorf("%s: %s has no leader", k, g.spec.Name)
	}
	if k == ControllerRestart {
		struck = g.after(struck)
	}
	r.killController(ctx, g, struck)
	return nil
}

// loseZone ends all that is in a region's first zone: its workers, for which the cloud has no
// others there, and its controllers, which don't come back within the run.
func (r *run) loseZone(ctx context.Context, g *region) error {
	zone := g.spec.Zones[0]
	for i, h := range g.spec.Hosts {
		if h.Zone == zone {
			g.lost[i] = true
			r.endController(g, i)
		}
	}
	all := Lose{Count: g.spec.Workers, Zone: zone, ForGood: true}
	return control(ctx, http.MethodPost, g.worldAddr, pathLose, all, nil)
}

// after is the next controller that has not ended for good; the same one if there is no other.
func (g *region) after(i int) int {
	for range g.controllers {
		i = (i + 1) % len(g.controllers)
		if !g.lost[i] {
			break
		}
	}
	return i
}

// endController kills a controller.
func (r *run) endController(g *region, i int) *process {
	r.mu.Lock()
	p := g.controllers[i]
	r.mu.Unlock()
	p.kill()
	return p
}

// killController kills a controller, and starts it again after a while.
func (r *run) killController(ctx context.Context, g *region, i int) {
	p := r.endController(g, i)
	r.restarts.Go(func() {
		if sleep(ctx, restartAfter) != nil {
			return
		}
		if err := r.startController(g, i); err != nil {
			r.env.Log.Error("a controller was not started again", "host", p.name, "err", err)
		}
	})
}
