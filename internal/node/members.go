package node

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// MemberReply is how a controller stands with the leader, as operators see it.
type MemberReply struct {
	Host     string  `json:"host"`
	Leads    bool    `json:"leads"`
	Here     bool    `json:"here"`    // it leads, or is linked to the leader
	Release  uint32  `json:"release"` // 0: 0.4, or not heard in this term
	Machines int     `json:"machines"`
	StateS   float64 `json:"state_s"` // how long ago the state service last answered it; -1: not told
}

// members tells how all controllers stand.
func (l *leadership) members(now time.Duration) []MemberReply {
	owned := map[model.ShardID]int{}
	for _, st := range l.d.MachineOwners() {
		owned[st]++
	}
	out := []MemberReply{{Host: l.n.cfg.HostName, Leads: true, Here: true, Release: release, Machines: owned[l.local],
		StateS: l.n.health.servedAgo(now).Seconds()}}
	for _, s := range l.n.cfg.Siblings {
		r := MemberReply{Host: s.HostName, Release: l.hosts[s.HostName], StateS: -1}
		for id, k := range l.links {
			if k.host == s.HostName {
				r.Here, r.Machines, r.StateS = true, owned[id], (now - k.stateAt).Seconds()
			}
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b MemberReply) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
