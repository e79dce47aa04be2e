// Package dev runs a whole cluster in one process on loopback: controllers as they are
// deployed, with stand-ins for everything else. It is meant for experiments and tests; its
// figures say nothing about performance.
package dev

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"honeylock/internal/config"
	"honeylock/internal/node"
	"honeylock/internal/ops"
	"honeylock/internal/server"
	"honeylock/internal/standin"
)

// Options are the options of a cluster.
type Options struct {
	Controllers     int
	Types           []standin.MachineType
	InitialMachines []MachineGroup // machines that run from the start
	Teams           []config.Team
	Zones           []string
	Report          time.Duration
	Lease           time.Duration
	Cancel          time.Duration
	ListLag         time.Duration
	ListedAfterLoss time.Duration // how long a failed machine is still listed, in addition to ListLag
	CloudRPS        float64
	Limits          standin.StoreLimits
	Settings        func(host string) (*config.Settings, error) // nil: the defaults
	Log             *slog.Logger
	Seed            uint64
	Tasks           *standin.TaskRegistry
	// Partitionable: a controller's connections to the state service and to other controllers
	// pass through proxies, so that SetPartitioned can interrupt them.
	Partitionable bool
}

// MachineGroup is a number of machines of one type in one zone.
type MachineGroup struct {
	TypeIndex int
	Zone      string
	Spot      bool
	Count     int
}

// Controller is one controller of a cluster.
type Controller struct {
	Config        *config.Platform
	StoreEndpoint *standin.StoreEndpoint
	Node          *node.Node
	OpsAddr       string // of its operators' endpoint; empty if it has none
	options       *Options
	stop          context.CancelFunc
	proxies       []*standin.Proxy
}

// Cluster is a running cluster.
type Cluster struct {
	Store       *standin.Store
	Cloud       *standin.Cloud
	Tasks       *standin.TaskRegistry
	Controllers []*Controller
}

// Start starts a cluster.
func Start(options Options) (c *Cluster, err error) {
	if options.Log == nil {
		options.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	c = &Cluster{Store: standin.NewStore(options.Limits), Tasks: options.Tasks}
	if c.Tasks == nil {
		c.Tasks = standin.NewTaskRegistry()
	}
	if c.Tasks.FindJob == nil { // the store contains the descriptions of all submitted jobs
		c.Tasks.FindJob = c.OpenRecord
	}
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	var hosts []standin.Host
	for i := range options.Controllers {
		controller, err := newController(c, &options, i)
		if err != nil {
			return c, err
		}
		c.Controllers = append(c.Controllers, controller)
		hosts = append(hosts, standin.Host{Name: controller.Config.HostName, Addr: controller.Config.Bind})
	}
	c.Cloud, err = standin.NewCloud(standin.CloudParams{
		Types: options.Types, ListLag: options.ListLag, ListedAfterLoss: options.ListedAfterLoss, RPS: options.CloudRPS,
		Timing: standin.Timing{Report: options.Report, Lease: options.Lease},
	}, c.Tasks, hosts, rand.New(rand.NewPCG(options.Seed, 3)))
	if err != nil {
		return c, err
	}
	for _, controller := range c.Controllers {
		controller.Config.Services.Cloud = c.Cloud.Addr()
		for _, other := range c.Controllers {
			if other != controller {
				controller.Config.Siblings = append(controller.Config.Siblings, config.Sibling{
					HostName: other.Config.HostName, Zone: other.Config.Zone, Address: other.Config.PeerListen,
				})
			}
		}
	}
	if options.Partitionable {
		if err := c.addProxies(); err != nil {
			return c, err
		}
	}
	for _, controller := range c.Controllers {
		if err := controller.Start(); err != nil {
			return c, err
		}
	}
	for _, machines := range options.InitialMachines {
		if err := c.Cloud.AddMachines(machines.TypeIndex, machines.Zone, machines.Spot, machines.Count); err != nil {
			return c, err
		}
	}
	return c, nil
}

// addProxies routes each controller's connections to the state service and to every other
// controller through a proxy.
func (c *Cluster) addProxies() error {
	for _, controller := range c.Controllers {
		addrs := []*string{&controller.Config.Services.State}
		for i := range controller.Config.Siblings {
			addrs = append(addrs, &controller.Config.Siblings[i].Address)
		}
		for _, addr := range addrs {
			proxy, err := standin.NewProxy(*addr)
			if err != nil {
				return err
			}
			controller.proxies = append(controller.proxies, proxy)
			*addr = proxy.Addr()
		}
	}
	return nil
}

// SetPartitioned starts or ends a network partition between a controller and both the state
// service and all other controllers. Its workers and users still reach it.
func (c *Cluster) SetPartitioned(controller *Controller, on bool) {
	for _, proxy := range controller.proxies {
		proxy.SetPartitioned(on)
	}
	for _, other := range c.Controllers {
		for i, sibling := range other.Config.Siblings {
			if other != controller && sibling.HostName == controller.Config.HostName {
				other.proxies[i+1].SetPartitioned(on) // the first proxy is to the state service
			}
		}
	}
}

// OpenRecord returns a job's open record from the store, or nil.
func (c *Cluster) OpenRecord(name string) []byte { return c.Store.ReadKey("open/" + name) }

// newController returns a controller that is not started yet.
func newController(c *Cluster, options *Options, index int) (*Controller, error) {
	endpoint, err := c.Store.NewEndpoint()
	if err != nil {
		return nil, err
	}
	cfg := &config.Platform{HostName: fmt.Sprintf("hive-%d", index), Zone: options.Zones[index%len(options.Zones)]}
	for _, a := range []*string{&cfg.Bind, &cfg.PeerListen} {
		if *a, err = FreeAddr(); err != nil {
			return nil, err
		}
	}
	cfg.Services.State = endpoint.Addr
	clusterConfig := &cfg.Cluster
	clusterConfig.Zones, clusterConfig.Teams = options.Zones, options.Teams
	clusterConfig.Workers.ReportS, clusterConfig.Workers.LeaseS,
		clusterConfig.Workers.CancelS = options.Report.Seconds(), options.Lease.Seconds(), options.Cancel.Seconds()
	clusterConfig.State.RPS, clusterConfig.State.WriteRPS, clusterConfig.State.ValueKB,
		clusterConfig.State.TxnOps = options.Limits.RPS, options.Limits.WriteRPS,
		options.Limits.ValueKB, options.Limits.TxnOps
	clusterConfig.Cloud.RPS, clusterConfig.Cloud.ListLagS = options.CloudRPS, options.ListLag.Seconds()
	clusterConfig.Resources.MemMB, clusterConfig.Resources.FDLimit = 300, 500
	return &Controller{Config: cfg, StoreEndpoint: endpoint, options: options}, nil
}

// Start starts the controller as a new process would: nothing is kept from an earlier run.
func (c *Controller) Start() error {
	settings := config.DefaultSettings()
	if c.options.Settings != nil {
		var err error
		if settings, err = c.options.Settings(c.Config.HostName); err != nil {
			return fmt.Errorf("settings of %s: %w", c.Config.HostName, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	log := c.options.Log.With("host", c.Config.HostName)
	return c.serve(ctx, settings, log)
}

// serve runs the controller's endpoints and its node until the context ends.
func (c *Controller) serve(ctx context.Context, settings *config.Settings, log *slog.Logger) error {
	rng := rand.New(rand.NewPCG(c.options.Seed, rand.Uint64()))
	c.Node = node.New(c.Config, settings, log, rng)
	registry := prometheus.NewRegistry()
	c.Node.Register(registry)
	go server.New(c.Node, c.Config.Cluster.Resources.FDLimit, log, registry).Serve(ctx, c.Config.Bind, log)
	go c.Node.ServePeers(ctx, c.Config.PeerListen)
	go c.Node.Run(ctx)
	if settings.Operator == nil {
		return nil
	}
	operators, err := ops.New(c.Node, settings.Operator, log, registry)
	if err != nil {
		return err
	}
	c.OpsAddr = settings.Operator.Listen
	go operators.Serve(ctx, c.OpsAddr)
	return nil
}

// Stop stops the controller as if its process were killed.
func (c *Controller) Stop() {
	if c.stop != nil {
		c.stop()
	}
}

// Close stops the whole cluster.
func (c *Cluster) Close() {
	for _, controller := range c.Controllers {
		controller.Stop()
		for _, proxy := range controller.proxies {
			proxy.Close()
		}
	}
	if c.Cloud != nil {
		c.Cloud.Close()
	}
	c.Store.Close()
}

// Addrs returns the addresses of the endpoints for users.
func (c *Cluster) Addrs() []string {
	var out []string
	for _, controller := range c.Controllers {
		out = append(out, controller.Config.Bind)
	}
	return out
}

// OpsAddrs returns the addresses of the endpoints for operators.
func (c *Cluster) OpsAddrs() []string {
	var out []string
	for _, controller := range c.Controllers {
		if controller.OpsAddr != "" {
			out = append(out, controller.OpsAddr)
		}
	}
	return out
}

// OperatorSettings returns settings with an operators' endpoint on a free port that accepts one token.
func OperatorSettings(token string) (*config.Settings, error) {
	s := config.DefaultSettings()
	addr, err := FreeAddr()
	s.Operator = &config.Operator{Listen: addr, Access: []config.Access{{Name: "dev", Hash: sha256.Sum256([]byte(token)),
		Operate: true}}}
	return s, err
}
