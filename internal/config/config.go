// Package config reads the platform's settings file (TOML) and the operator's own
// settings (protobuf text format). It reports all mistakes of a file at once.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	toml "github.com/pelletier/go-toml/v2"
)

// Platform is the settings file that the platform provides. Unknown fields are ignored.
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

// Cluster is the part of the settings that is the same for every controller.
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
		// Next are limits that will come into force at an unknown time without notice;
		// 0: the limit does not change.
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

// Team is a team with its guaranteed CPUs and GPUs, and their limits (CPUsMax, GPUsMax);
// 0: none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective of the users.
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
	if err := decode(b, &p); err != nil {
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

// minMemMB is what an idle process needs (about 19 MB) plus a small reserve.
const minMemMB = 24

// Check returns all mistakes in the settings as one joined error.
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
			addError(fmt.Sprintf("siblings[%d].host_name", i), s.HostName, "is given twice")
		}
		seen[s.HostName] = true
	}
	teams := map[string]bool{}
	for i, t := range p.Cluster.Teams {
		f := fmt.Sprintf("cluster.teams[%d]", i)
		checkName(f+".name", t.Name)
		if teams[t.Name] {
			addError(f+".name", t.Name, "is given twice")
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

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ValueKB returns the largest value, in KB, that both the present and the next limit of
// the state service allow.
func (c *Cluster) ValueKB() float64 {
	if n := c.State.Next.ValueKB; n > 0 {
		return min(n, c.State.ValueKB)
	}
	return c.State.ValueKB
}

// TxnOps returns the most changes in a transaction that both the present and the next
// limit of the state service allow.
func (c *Cluster) TxnOps() int {
	if n := c.State.Next.TxnOps; n > 0 {
		return min(n, c.State.TxnOps)
	}
	return c.State.TxnOps
}

// StatusFreshness returns how long a leader's confirmation that a job on hold has not been
// cancelled allows reporting the job as queued. The bound keeps the cancellation rule: when
// the answer arrives, a cancellation that it does not reflect is at most cancel_s old.
func (c *Cluster) StatusFreshness() time.Duration {
	return max(100*time.Millisecond, Seconds(c.Workers.CancelS)*9/10-3*time.Second)
}

// MaxLease returns the longest time that a worker's lease can last: it adds the clocks'
// drift (0.05% on either side) and late timers to the lease. After this time a worker has
// certainly stopped its tasks.
func (c *Cluster) MaxLease() time.Duration {
	return Seconds(c.Workers.LeaseS*1.002) + 250*time.Millisecond
}

// StalenessBound returns how old a leader's view of the open jobs may be. The cancellation
// rule bounds it: this time plus one worker's lease must fit into cancel_s.
func (c *Cluster) StalenessBound() time.Duration {
	available := Seconds(c.Workers.CancelS) - c.MaxLease() - time.Second
	return max(100*time.Millisecond, min(available*9/10, 30*time.Second))
}

// LeaderTTL returns the TTL of the leader's lease at the state service. It is short
// because a dead leader is replaced only when its lease ends. During an outage of the
// state service the leader stays in place by the promises of the other controllers.
func (c *Cluster) LeaderTTL() time.Duration { return min(3*time.Second, c.StalenessBound()) }

// PromiseDuration is how long a member promises the leader not to take over leadership.
const PromiseDuration = 2500 * time.Millisecond
