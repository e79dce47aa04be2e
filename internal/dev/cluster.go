// Package dev runs a whole cluster in one process on loopback: controllers as
// they are deployed, against stand-ins of all else. It is for trying things out
// and for tests; its figures say nothing about speed.
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

// Options of a cluster.
type Options struct {
	Controllers int
	Kinds       []standin.Kind
	Seeds       []Seed // machines that are up from the beginning
	Teams       []config.Team
	Zones       []string
	Report      time.Duration
	Lease       time.Duration
	Cancel      time.Duration
	ListLag     time.Duration
	Dying       time.Duration
	CloudRPS    float64
	Limits      standin.StoreLimits
	Settings    func(host string) (*config.Settings, error) // nil: defaults
	Log         *slog.Logger
	Seed        uint64
	Depot       *standin.Depot
	// Cuttable: what a controller says to the state service and to its siblings passes
	// relays, so that it can be cut off from both.
	Cuttable bool
}

// Seed is a number of machines of a kind.
type Seed struct {
	Kind int
	Zone string
	Spot bool
	N    int
}

// Controller of a cluster.
type Controller struct {
	Cfg   *config.Platform
	Front *standin.Front
	Node  *node.Node
	Ops   string // its operators' door, if there is one
	o     *Options
	stop  context.CancelFunc
	ways  []*standin.Relay
}

// Cluster is all that runs.
type Cluster struct {
	Store       *standin.Store
	Cloud       *standin.Cloud
	Depot       *standin.Depot
	Controllers []*Controller
}

// Start brings a cluster up.
func Start(o Options) (c *Cluster, err error) {
	if o.Log == nil {
		o.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	c = &Cluster{Store: standin.NewStore(o.Limits), Depot: o.Depot}
	if c.Depot == nil {
		c.Depot = standin.NewDepot()
	}
	if c.Depot.Look == nil { // users of this cluster upload nothing: what they submit is in the store
		c.Depot.Look = c.Find
	}
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	var hosts []standin.Host
	for i := range o.Controllers {
		k, err := newController(c, &o, i)
		if err != nil {
			return c, err
		}
		c.Controllers = append(c.Controllers, k)
		hosts = append(hosts, standin.Host{Name: k.Cfg.HostName, Addr: k.Cfg.Bind})
	}
	c.Cloud, err = standin.NewCloud(standin.CloudParams{Kinds: o.Kinds, ListLag: o.ListLag, Dying: o.Dying,
		RPS:    o.CloudRPS,
		Timing: standin.Timing{Report: o.Report, Lease: o.Lease}}, c.Depot, hosts, rand.New(rand.NewPCG(o.Seed, 3)))
	if err != nil {
		return c, err
	}
	for _, k := range c.Controllers {
		k.Cfg.Services.Cloud = c.Cloud.Addr()
		for _, s := range c.Controllers {
			if s != k {
				k.Cfg.Siblings = append(k.Cfg.Siblings, config.Sibling{HostName: s.Cfg.HostName, Zone: s.Cfg.Zone,
					Address: s.Cfg.PeerListen})
			}
		}
	}
	if o.Cuttable {
		if err := c.relay(); err != nil {
			return c, err
		}
	}
	for _, k := range c.Controllers {
		if err := k.Start(); err != nil {
			return c, err
		}
	}
	for _, s := range o.Seeds {
		if err := c.Cloud.Seed(s.Kind, s.Zone, s.Spot, s.N); err != nil {
			return c, err
		}
	}
	return c, nil
}

// relay puts a relay on each way from a controller to the state service and to a sibling.
func (c *Cluster) relay() error {
	for _, k := range c.Controllers {
		addrs := []*string{&k.Cfg.Services.State}
		for i := range k.Cfg.Siblings {
			addrs = append(addrs, &k.Cfg.Siblings[i].Address)
		}
		for _, a := range addrs {
			r, err := standin.NewRelay(*a)
			if err != nil {
				return err
			}
			k.ways = append(k.ways, r)
			*a = r.Addr()
		}
	}
	return nil
}

// CutOff cuts a controller off from the state service and from all other controllers, in
// both directions, or ends that. Its workers and users still reach it.
func (c *Cluster) CutOff(k *Controller, on bool) {
	for _, r := range k.ways {
		r.Cut(on)
	}
	for _, o := range c.Controllers {
		for i, s := range o.Cfg.Siblings {
			if o != k && s.HostName == k.Cfg.HostName {
				o.ways[i+1].Cut(on) // the first is to the state service
			}
		}
	}
}

// Find returns a job's open record.
func (c *Cluster) Find(name string) []byte { return c.Store.Peek("open/" + name) }

func newController(c *Cluster, o *Options, i int) (*Controller, error) {
	front, err := c.Store.Front()
	if err != nil {
		return nil, err
	}
	k := &config.Platform{HostName: fmt.Sprintf("hive-%d", i), Zone: o.Zones[i%len(o.Zones)]}
	for _, a := range []*string{&k.Bind, &k.PeerListen} {
		if *a, err = FreeAddr(); err != nil {
			return nil, err
		}
	}
	k.Services.State = front.Addr
	cl := &k.Cluster
	cl.Zones, cl.Teams = o.Zones, o.Teams
	cl.Workers.ReportS, cl.Workers.LeaseS, cl.Workers.CancelS = o.Report.Seconds(), o.Lease.Seconds(), o.Cancel.Seconds()
	cl.State.RPS, cl.State.WriteRPS, cl.State.ValueKB, cl.State.TxnOps = o.Limits.RPS, o.Limits.WriteRPS,
		o.Limits.ValueKB, o.Limits.TxnOps
	cl.Cloud.RPS, cl.Cloud.ListLagS = o.CloudRPS, o.ListLag.Seconds()
	cl.Resources.MemMB, cl.Resources.FDLimit = 300, 500
	return &Controller{Cfg: k, Front: front, o: o}, nil
}

// Start runs the controller, with nothing left of an earlier life.
func (k *Controller) Start() error {
	set := config.DefaultSettings()
	if k.o.Settings != nil {
		var err error
		if set, err = k.o.Settings(k.Cfg.HostName); err != nil {
			return fmt.Errorf("settings of %s: %w", k.Cfg.HostName, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	log := k.o.Log.With("host", k.Cfg.HostName)
	return k.serve(ctx, set, log)
}

// serve runs a controller's doors and its node until the context ends.
func (k *Controller) serve(ctx context.Context, set *config.Settings, log *slog.Logger) error {
	rng := rand.New(rand.NewPCG(k.o.Seed, rand.Uint64()))
	k.Node = node.New(k.Cfg, set, log, rng)
	reg := prometheus.NewRegistry()
	k.Node.Register(reg)
	go server.New(k.Node, k.Cfg.Cluster.Resources.FDLimit, log, reg).Serve(ctx, k.Cfg.Bind, log)
	go k.Node.ServePeers(ctx, k.Cfg.PeerListen)
	go k.Node.Run(ctx)
	if set.Operator == nil {
		return nil
	}
	door, err := ops.New(k.Node, set.Operator, log, reg)
	if err != nil {
		return err
	}
	k.Ops = set.Operator.Listen
	go door.Serve(ctx, k.Ops)
	return nil
}

// Stop kills the controller.
func (k *Controller) Stop() {
	if k.stop != nil {
		k.stop()
	}
}

// Close ends everything.
func (c *Cluster) Close() {
	for _, k := range c.Controllers {
		k.Stop()
		for _, r := range k.ways {
			r.Close()
		}
	}
	if c.Cloud != nil {
		c.Cloud.Close()
	}
	c.Store.Close()
}

// Addrs are the users' doors.
func (c *Cluster) Addrs() []string {
	var out []string
	for _, k := range c.Controllers {
		out = append(out, k.Cfg.Bind)
	}
	return out
}

// OpsAddrs are the operators' doors.
func (c *Cluster) OpsAddrs() []string {
	var out []string
	for _, k := range c.Controllers {
		if k.Ops != "" {
			out = append(out, k.Ops)
		}
	}
	return out
}

// Operated returns settings with an operators' door on a free port, behind one
// token.
func Operated(token string) (*config.Settings, error) {
	s := config.DefaultSettings()
	addr, err := FreeAddr()
	s.Operator = &config.Operator{Listen: addr, Access: []config.Access{{Name: "dev", Hash: sha256.Sum256([]byte(token)),
		Operate: true}}}
	return s, err
}
