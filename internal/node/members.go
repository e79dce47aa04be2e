package node

import (
	"cmp"
	"slices"
	"time"

	"honeylock/internal/core/model"
)

// MemberReply is a controller's status as the leader sees it, for operators.
type MemberReply struct {
	Host      string  `json:"host"`
	Leading   bool    `json:"leads"`
	Connected bool    `json:"here"`    // it leads, or is connected to the leader
	Release   uint32  `json:"release"` // 0: release 0.4, or it has not joined in this term
	Machines  int     `json:"machines"`
	StateAgeS float64 `json:"state_s"` // how long ago the state service last served it; -1: not reported
}

// memberReplies returns the status of all controllers, sorted by host.
func (l *leadership) memberReplies(now time.Duration) []MemberReply {
	owned := map[model.ShardID]int{}
	for _, owner := range l.dispatcher.MachineOwners() {
		owned[owner]++
	}
	out := []MemberReply{{Host: l.node.cfg.HostName, Leading: true, Connected: true, Release: release,
		Machines:  owned[l.localID],
		StateAgeS: l.node.health.sinceServed(now).Seconds()}}
	for _, sibling := range l.node.cfg.Siblings {
		reply := MemberReply{Host: sibling.HostName, Release: l.siblingReleases[sibling.HostName], StateAgeS: -1}
		for id, memberLink := range l.links {
			if memberLink.host == sibling.HostName {
				reply.Connected, reply.Machines, reply.StateAgeS = true, owned[id], (now - memberLink.stateServedAt).Seconds()
			}
		}
		out = append(out, reply)
	}
	slices.SortFunc(out, func(a, b MemberReply) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
