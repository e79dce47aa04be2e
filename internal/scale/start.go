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

// startRegion starts the processes of a region: hollow workers first, then the world, then the controllers. Each
// needs addresses of the ones before it.
func (r *run) startRegion(ctx context.Context, spec RegionSpec) error {
	region := &runningRegion{spec: spec, permanentlyLost: map[int]bool{}}
	r.mu.Lock()
	r.regions = append(r.regions, region)
	r.mu.Unlock()
	for i := range region.spec.Hosts {
		host := &region.spec.Hosts[i]
		for _, addr := range []*string{&host.Bind, &host.Peer, &host.Operators} {
			var err error
			if *addr, err = dev.FreeAddr(); err != nil {
				return err
			}
		}
	}
	region.spec.OperatorToken = rand.Text()
	var err error
	var ready ReadyMessage
	if region.hollow, ready, err = r.startChild(RoleHollow, region, "hollow"); err != nil {
		return err
	}
	region.hollowAddr, region.spec.HollowAddr = ready.Control, ready.Control
	if region.world, ready, err = r.startChild(RoleWorld, region, "world"); err != nil {
		return err
	}
	region.worldAddr = ready.Control
	for i := range region.spec.Hosts {
		files, err := r.writeConfig(region, i, &ready)
		if err != nil {
			return err
		}
		region.files = append(region.files, files)
		region.controllers = append(region.controllers, nil)
		if err := r.startController(region, i); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// startChild starts the hollow or world process of a region (subcommand verb) and waits until it is ready.
func (r *run) startChild(role Role, region *runningRegion, verb string) (*process, ReadyMessage, error) {
	path := filepath.Join(r.configDir, region.spec.Name+"-"+verb+".json")
	encoded, err := json.Marshal(region.spec)
	if err != nil {
		return nil, ReadyMessage{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return nil, ReadyMessage{}, fmt.Errorf("%s: %w", path, err)
	}
	child, err := r.starter.start(role, region.spec.Index, region.spec.Name+"-"+verb, r.environment.Binary,
		[]string{"scale", verb, "--spec", path}, os.Environ())
	if err != nil {
		return nil, ReadyMessage{}, err
	}
	r.ensureMeter(child)
	ready, err := child.awaitReady()
	return child, ready, err
}

// controllerFiles holds the paths of a controller's configuration files.
type controllerFiles struct {
	platform string // configuration that the platform provides
	settings string // operators' settings
}

// writeConfig writes the configuration files of the region's controller i.
func (r *run) writeConfig(region *runningRegion, i int, world *ReadyMessage) (controllerFiles, error) {
	spec, options := &region.spec, &r.options
	host := spec.Hosts[i]
	platform := config.Platform{HostName: host.Name, Zone: host.Zone, Bind: host.Bind, PeerListen: host.Peer}
	for j, other := range spec.Hosts {
		if j != i {
			platform.Siblings = append(platform.Siblings,
				config.Sibling{HostName: other.Name, Zone: other.Zone, Address: other.Peer})
		}
	}
	platform.Services.Cloud, platform.Services.State = world.Cloud, world.State[i]
	cluster := &platform.Cluster
	cluster.Zones, cluster.SkewMS = spec.Zones, 100
	for _, team := range spec.Teams {
		cluster.Teams = append(cluster.Teams, config.Team{Name: team.Name, CPUs: team.CPUs, CPUsMax: team.CPUsMax})
	}
	cluster.Workers.ReportS, cluster.Workers.LeaseS, cluster.Workers.CancelS = options.Timing.Report.Seconds(),
		options.Timing.Lease.Seconds(), options.Timing.Cancel.Seconds()
	cluster.State.RPS, cluster.State.WriteRPS, cluster.State.ValueKB, cluster.State.TxnOps = options.Limits.StateRPS,
		options.Limits.StateWriteRPS, options.Limits.StateValueKB, options.Limits.StateTxnOps
	cluster.Cloud.RPS, cluster.Cloud.ListLagS = options.Limits.CloudRPS, options.Limits.CloudListLag.Seconds()
	cluster.Resources.CPU, cluster.Resources.MemMB, cluster.Resources.FDLimit = options.ControllerLimit.CPU,
		options.ControllerLimit.MemMB, options.ControllerLimit.FDs
	encoded, err := toml.Marshal(platform)
	if err != nil {
		return controllerFiles{}, fmt.Errorf("settings of %s: %w", host.Name, err)
	}
	settings, err := prototext.Marshal(&settingspb.Settings{Operator: &settingspb.Operator{Listen: host.Operators,
		Access: []*settingspb.Access{{Name: "scale", Role: "operate", TokenSha256: tokenHash(spec.OperatorToken)}}}})
	if err != nil {
		return controllerFiles{}, fmt.Errorf("settings of %s: %w", host.Name, err)
	}
	paths := controllerFiles{platform: filepath.Join(r.configDir, host.Name+".toml"),
		settings: filepath.Join(r.configDir, host.Name+".textproto")}
	if err := errors.Join(os.WriteFile(paths.platform, encoded, 0o600),
		os.WriteFile(paths.settings, settings, 0o600)); err != nil {
		return controllerFiles{}, fmt.Errorf("settings of %s: %w", host.Name, err)
	}
	return paths, nil
}

// tokenHash returns the hex form of the SHA-256 hash of an operator token, as the settings file has it.
func tokenHash(token string) string {
	hash := sha256.Sum256([]byte(token))
	return hex.EncodeToString(hash[:])
}

// startController starts the region's controller i with the same command as in production. It also restarts a
// controller that was killed.
func (r *run) startController(region *runningRegion, i int) error {
	p, err := r.starter.start(RoleController, region.spec.Index, region.spec.Hosts[i].Name, r.environment.Binary,
		[]string{"serve", "--config", region.files[i].platform, "--settings", region.files[i].settings}, os.Environ())
	if err != nil {
		return err
	}
	go func() { _, _ = io.Copy(io.Discard, p.stdout) }()
	r.mu.Lock()
	region.controllers[i] = p
	if m := r.meters[p.name]; m != nil {
		m.recordRestart()
	}
	r.mu.Unlock()
	r.ensureMeter(p)
	return nil
}

// ensureMeter adds a meter for the process unless an earlier start under the same name has added one.
func (r *run) ensureMeter(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.meters[p.name] == nil {
		r.meters[p.name] = &meter{}
	}
}

// processes returns the processes of all regions, including those that have exited.
func (r *run) processes() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*process
	for _, region := range r.regions {
		for _, p := range append([]*process{region.hollow, region.world}, region.controllers...) {
			if p != nil {
				out = append(out, p)
			}
		}
	}
	return out
}

// stopAll stops all child processes. It is called after the run's context has ended.
func (r *run) stopAll() {
	r.background.Wait() // no progress line or request may follow once Run has returned
	r.pendingRestarts.Wait()
	var wg sync.WaitGroup
	for _, p := range r.processes() {
		wg.Go(func() {
			if p.role == RoleController {
				p.kill()
			} else {
				p.stop()
			}
		})
	}
	wg.Wait()
}
