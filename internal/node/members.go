package node

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// MemberReply is how a controller stands with the leader, as operators see it.
type MemberReply struct {
	Host      string  `json:"host"`
	Leading   bool    `json:"leads"`
	Connected bool    `json:"here"`    // it leads, or is linked to the leader
	Release   uint32  `json:"release"` // 0: 0.4, or not heard in this term
	Machines  int     `json:"machines"`
	StateAgeS float64 `json:"state_s"` // how long ago the state service last answered it; -1: not told
}

// memberReplies tells how all controllers stand.
func (l *leadership) memberReplies(now time.Duration) []MemberReply {
	owned := map[model.ShardID]int{}
	for _, owner := range l.dispatcher.MachineOwners() {
		owned[owner]++
	}
	out := []MemberReply{{Host: l.node.cfg.HostName, Leading: true, Connected: true, Release: release,
		Machines:  owned[l.localID],
		StateAgeS: l.node.health.sinceServed(now).Seconds()}}
	for _, s := range l.node.cfg.Siblings {
		reply := MemberReply{Host: s.HostName, Release: l.siblingReleases[s.HostName], StateAgeS: -1}
		for id, memberLink := range l.links {
			if memberLink.host == s.HostName {
				reply.Connected, reply.Machines, reply.StateAgeS = true, owned[id], (now - memberLink.stateServedAt).Seconds()
			}
		}
		out = append(out, reply)
	}
	slices.SortFunc(out, func(a, b MemberReply) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
