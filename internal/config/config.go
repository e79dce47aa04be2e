// Package config reads the platform's settings file (TOML) and the operator's
// own settings (protobuf text format), reporting every mistake at once.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	toml "github.com/pelletier/go-toml/v2"
)

// Platform is the settings file that the platform hands over. Fields that it
// may have besides these are ignored.
type Platform struct {
	HostName   string    `toml:"host_name"`
	Zone       string    `toml:"zone"`
	Bind       string    `toml:"bind"`
	PeerListen string    `toml:"peer_listen"`
	Siblings   []Sibling `toml:"siblings"`
	Services   struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"services"`
	Cluster Cluster `toml:"cluster"`
}

// Sibling is another controller.
type Sibling struct {
	HostName string `toml:"host_name"`
	Zone     string `toml:"zone"`
	Address  string `toml:"address"`
}

// Cluster is what is the same for every controller.
type Cluster struct {
	Zones      []string    `toml:"zones"`
	SkewMS     float64     `toml:"skew_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    struct {
		ReportS float64 `toml:"report_s"`
		LeaseS  float64 `toml:"lease_s"`
		CancelS float64 `toml:"cancel_s"`
	} `toml:"workers"`
	State struct {
		RPS      float64 `toml:"rps"`
		WriteRPS float64 `toml:"write_rps"`
		ValueKB  float64 `toml:"value_kb"`
		TxnOps   int     `toml:"txn_ops"`
		// Next are limits that will hold from some moment on, without notice; 0: as now.
		Next struct {
			WriteRPS float64 `toml:"write_rps"`
			ValueKB  float64 `toml:"value_kb"`
			TxnOps   int     `toml:"txn_ops"`
		} `toml:"next"`
	} `toml:"state"`
	Cloud struct {
		RPS      float64 `toml:"rps"`
		ListLagS float64 `toml:"list_lag_s"`
	} `toml:"cloud"`
	Resources struct {
		CPU     float64 `toml:"cpu"`
		MemMB   float64 `toml:"mem_mb"`
		FDLimit int     `toml:"fd_limit"`
	} `toml:"resources"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one of the users' aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Load reads and checks the platform's settings.
func Load(path string) (*Platform, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	var p Platform
	if err := toml.Unmarshal(b, &p); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("%s:%d:%d: %w", path, row, col, err)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &p, nil
}

// minMemMB is what the process takes before it serves anybody (some 19 MB), and a little.
const minMemMB = 24

// Check returns all mistakes in the settings, joined.
func (p *Platform) Check() error {
	var errs []error
	addError := func(field string, v any, want string) {
		errs = append(errs, fmt.Errorf("%s = %v: %s", field, v, want))
	}
	checkName := func(field, v string) {
		if v == "" {
			addError(field, `""`, "must be given")
		}
	}
	checkAddr := func(field, v string) {
		if h, _, err := net.SplitHostPort(v); err != nil || net.ParseIP(h) == nil {
			addError(field, fmt.Sprintf("%q", v), "must be IP:PORT")
		}
	}
	checkPositive := func(field string, v float64) {
		if !(v > 0) {
			addError(field, v, "must be above 0")
		}
	}
	checkName("host_name", p.HostName)
	checkAddr("bind", p.Bind)
	checkAddr("peer_listen", p.PeerListen)
	checkAddr("services.cloud", p.Services.Cloud)
	checkAddr("services.state", p.Services.State)
	seen := map[string]bool{p.HostName: true}
	for i, s := range p.Siblings {
		checkName(fmt.Sprintf("siblings[%d].host_name", i), s.HostName)
		checkAddr(fmt.Sprintf("siblings[%d].address", i), s.Address)
		if seen[s.HostName] {
			addError(fmt.Sprintf("siblings[%d].host_name", i), s.HostName, "is there twice")
		}
		seen[s.HostName] = true
	}
	teams := map[string]bool{}
	for i, t := range p.Cluster.Teams {
		f := fmt.Sprintf("cluster.teams[%d]", i)
		checkName(f+".name", t.Name)
		if teams[t.Name] {
			addError(f+".name", t.Name, "is there twice")
		}
		teams[t.Name] = true
		for _, a := range []struct {
			n string
			v float64
		}{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if !(a.v >= 0) {
				addError(f+"."+a.n, a.v, "must not be negative")
			}
		}
	}
	c := &p.Cluster
	checkPositive("cluster.workers.report_s", c.Workers.ReportS)
	checkPositive("cluster.workers.lease_s", c.Workers.LeaseS)
	if c.Workers.CancelS <= c.Workers.LeaseS {
		addError("cluster.workers.cancel_s", c.Workers.CancelS, "must be above lease_s")
	}
	checkPositive("cluster.state.rps", c.State.RPS)
	checkPositive("cluster.state.write_rps", c.State.WriteRPS)
	checkPositive("cluster.state.value_kb", c.State.ValueKB)
	if c.State.TxnOps < 4 {
		addError("cluster.state.txn_ops", c.State.TxnOps, "must be 4 or more")
	}
	next := &c.State.Next
	if !(next.WriteRPS >= 0) {
		addError("cluster.state.next.write_rps", next.WriteRPS, "must not be negative")
	}
	if !(next.ValueKB >= 0) {
		addError("cluster.state.next.value_kb", next.ValueKB, "must not be negative")
	}
	if next.TxnOps != 0 && next.TxnOps < 4 {
		addError("cluster.state.next.txn_ops", next.TxnOps, "must be 4 or more")
	}
	checkPositive("cluster.cloud.rps", c.Cloud.RPS)
	if !(c.Cloud.ListLagS >= 0) {
		addError("cluster.cloud.list_lag_s", c.Cloud.ListLagS, "must not be negative")
	}
	if !(c.Resources.MemMB >= minMemMB) {
		addError("cluster.resources.mem_mb", c.Resources.MemMB, fmt.Sprintf("must be %d or more", minMemMB))
	}
	if c.Resources.FDLimit < 64 {
		addError("cluster.resources.fd_limit", c.Resources.FDLimit, "must be 64 or more")
	}
	return errors.Join(errs...)
}

// Seconds turns a setting into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ValueKB is the size that every value written fits into, whichever limit holds.
func (c *Cluster) ValueKB() float64 {
	if n := c.State.Next.ValueKB; n > 0 {
		return min(n, c.State.ValueKB)
	}
	return c.State.ValueKB
}

// TxnOps are the changes that every transaction keeps to, whichever limit holds.
func (c *Cluster) TxnOps() int {
	if n := c.State.Next.TxnOps; n > 0 {
		return min(n, c.State.TxnOps)
	}
	return c.State.TxnOps
}

// Vouched is how long a job that waits for others may be called queued on the word of
// a leader: the users were told of no cancellation before that may be older than
// cancel_s when the answer arrives.
func (c *Cluster) Vouched() time.Duration {
	return max(100*time.Millisecond, Seconds(c.Workers.CancelS)*9/10-3*time.Second)
}

// Lease of the workers, lengthened by the clocks' drift (0.05% each way) and
// by late timers, so that after it a worker has surely let go.
func (c *Cluster) SureLease() time.Duration {
	return Seconds(c.Workers.LeaseS*1.002) + 250*time.Millisecond
}

// StalenessBound is how old a leader's picture of the open jobs may be. The
// cancellation rule bounds it: that time, and then one lease of the workers,
// must be over within cancel_s.
func (c *Cluster) StalenessBound() time.Duration {
	available := Seconds(c.Workers.CancelS) - c.SureLease() - time.Second
	return max(100*time.Millisecond, min(available*9/10, 30*time.Second))
}

// LeaderTTL is the length of the leader's lease at the state service: short,
// for a dead leader is replaced when it ends. An outage of the service is
// outlasted by the siblings' promises.
func (c *Cluster) LeaderTTL() time.Duration { return min(3*time.Second, c.StalenessBound()) }

// Promise is for how long a member of a leader's term does not take over.
const Promise = 2500 * time.Millisecond
