package scale

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	toml "github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/prototext"

	"honeylock/internal/config"
	"honeylock/internal/config/settingspb"
	"honeylock/internal/dev"
)

// startRegion starts a region's processes.
func (r *run) startRegion(ctx context.Context, spec RegionSpec) error {
	g := &region{spec: spec, lost: map[int]bool{}}
	r.mu.Lock()
	r.regions = append(r.regions, g)
	r.mu.Unlock()
	for i := range g.spec.Hosts {
		h := &g.spec.Hosts[i]
		for _, a := range []*string{&h.Bind, &h.Peer, &h.Operators} {
			var err error
			if *a, err = dev.FreeAddr(); err != nil {
				return err
			}
		}
	}
	g.spec.OperatorToken = rand.Text()
	var err error
	var ready Ready
	if g.hollow, ready, err = r.startChild(RoleHollow, g, "hollow"); err != nil {
		return err
	}
	g.hollowAddr, g.spec.HollowAddr = ready.Control, ready.Control
	if g.world, ready, err = r.startChild(RoleWorld, g, "world"); err != nil {
		return err
	}
	g.worldAddr = ready.Control
	for i := range g.spec.Hosts {
		files, err := r.configure(g, i, &ready)
		if err != nil {
			return err
		}
		g.configs = append(g.configs, files)
		g.controllers = append(g.controllers, nil)
		if err := r.startController(g, i); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// startChild starts a process of hollow workers or of a region's world.
func (r *run) startChild(role Role, g *region, verb string) (*process, Ready, error) {
	path := filepath.Join(r.dir, g.spec.Name+"-"+verb+".json")
	b, err := json.Marshal(g.spec)
	if err != nil {
		return nil, Ready{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, Ready{}, fmt.Errorf("%s: %w", path, err)
	}
	p, err := r.start.start(role, g.spec.Index, g.spec.Name+"-"+verb, r.env.Binary,
		[]string{"scale", verb, "--spec", path}, os.Environ())
	if err != nil {
		return nil, Ready{}, err
	}
	r.keep(p)
	ready, err := p.ready()
	return p, ready, err
}

// files configure a controller.
type files struct {
	platform string // what the platform tells it
	settings string // its operators' settings
}

// configure writes a controller's files.
func (r *run) configure(g *region, i int, world *Ready) (files, error) {
	s, o := &g.spec, &r.o
	h := s.Hosts[i]
	p := config.Platform{HostName: h.Name, Zone: h.Zone, Bind: h.Bind, PeerListen: h.Peer}
	for j, other := range s.Hosts {
		if j != i {
			p.Siblings = append(p.Siblings, config.Sibling{HostName: other.Name, Zone: other.Zone, Address: other.Peer})
		}
	}
	p.Services.Cloud, p.Services.State = world.Cloud, world.State[i]
	c := &p.Cluster
	c.Zones, c.SkewMS = s.Zones, 100
	for _, t := range s.Teams {
		c.Teams = append(c.Teams, config.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax})
	}
	c.Workers.ReportS, c.Workers.LeaseS, c.Workers.CancelS = o.Timing.Report.Seconds(), o.Timing.Lease.Seconds(),
		o.Timing.Cancel.Seconds()
	c.State.RPS, c.State.WriteRPS, c.State.ValueKB, c.State.TxnOps = o.Limits.StateRPS, o.Limits.StateWriteRPS,
		o.Limits.StateValueKB, o.Limits.StateTxnOps
	c.Cloud.RPS, c.Cloud.ListLagS = o.Limits.CloudRPS, o.Limits.CloudListLag.Seconds()
	c.Resources.CPU, c.Resources.MemMB, c.Resources.FDLimit = o.ControllerLimit.CPU, o.ControllerLimit.MemMB,
		o.ControllerLimit.FDs
	b, err := toml.Marshal(p)
	if err != nil {
		return files{}, fmt.Errorf("settings of %s: %w", h.Name, err)
	}
	settings, err := prototext.Marshal(&settingspb.Settings{Operator: &settingspb.Operator{Listen: h.Operators,
		Access: []*settingspb.Access{{Name: "scale", Role: "operate", TokenSha256: tokenHash(s.OperatorToken)}}}})
	if err != nil {
		return files{}, fmt.Errorf("settings of %s: %w", h.Name, err)
	}
	f := files{platform: filepath.Join(r.dir, h.Name+".toml"), settings: filepath.Join(r.dir, h.Name+".textproto")}
	if err := errors.Join(os.WriteFile(f.platform, b, 0o600), os.WriteFile(f.settings, settings, 0o600)); err != nil {
		return files{}, fmt.Errorf("settings of %s: %w", h.Name, err)
	}
	return f, nil
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// startController starts a controller as it is deployed, or starts it again.
func (r *run) startController(g *region, i int) error {
	p, err := r.start.start(RoleController, g.spec.Index, g.spec.Hosts[i].Name, r.env.Binary,
		[]string{"serve", "--config", g.configs[i].platform, "--settings", g.configs[i].settings}, os.Environ())
	if err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, p.stdout) }()
	r.mu.Lock()
	g.controllers[i] = p
	if m := r.meters[p.name]; m != nil {
		m.restarted()
	}
	r.mu.Unlock()
	r.keep(p)
	return nil
}

func (r *run) keep(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meters[p.name] == nil {
		r.meters[p.name] = &meter{}
	}
}

// processes are all that run.
func (r *run) processes() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*process
	for _, g := range r.regions {
		for _, p := range append([]*process{g.hollow, g.world}, g.controllers...) {
			if p != nil {
				out = append(out, p)
			}
		}
	}
	return out
}

// end ends all processes that were started. The run's context has ended.
func (r *run) end() {
	r.background.Wait() // nothing is told or asked once the run has returned
	r.restarts.Wait()
	var all sync.WaitGroup
	for _, p := range r.processes() {
		all.Go(func() {
			if p.role == RoleController {
				p.kill()
			} else {
				p.stop()
			}
		})
	}
	all.Wait()
}
