package sim

import (
	"maps"
	"slices"

	"honeylock/internal/core/model"
)

// join connects the controller to the leader, if it knows one. Its previous shard is dropped. The
// exchange takes four messages; each side checks on arrival that the other's state still allows it.
// The leader drops an earlier connection of the same host and adds an empty shard.
func (c *controller) join() {
	host := c.election.Holder()
	if host == "" || host == c.host || c.w.rng.IntN(4) > 0 {
		return
	}
	run := c.run
	if leader := c.w.controllerByHost(host); leader != nil {
		c.w.send(c.host, host, true, func() {
			l := leader.leadership
			if l == nil || !l.loaded || !leader.running {
				return
			}
			c.w.send(host, c.host, true, func() {
				if !c.running || c.run != run || c.leadership != nil || c.local != nil && c.local.l != nil {
					return
				}
				link := &memberLink{host: c.host}
				local := &localShard{c: c, l: l, link: link, lastReceived: c.now()}
				if c.local != nil {
					c.previousMachines = slices.Sorted(maps.Keys(c.local.shard.Images()))
				}
				c.local = nil
				c.w.send(c.host, host, true, func() {
					if leader.leadership != l || !leader.running {
						return
					}
					for id := model.ShardID(1); id <= l.newestShard; id++ {
						if previous := l.links[id]; previous != nil && previous.host == c.host {
							previous.closed = true
							delete(l.links, id)
							l.memberLost(id, leader.now())
						}
					}
					id := l.dispatcher.AddShard(leader.now(), c.host)
					l.newestShard = id
					link.lastReceived = leader.now()
					l.joinedHosts[c.host] = true
					if len(l.joinedHosts) == c.w.params.controllers-1 {
						l.dispatcher.AllControllersJoined(leader.now())
					}
					attempts, openJobs := l.dispatcher.FirstAttempt(id), l.openJobs()
					c.w.send(host, c.host, true, func() {
						if !c.running || c.run != run || c.leadership != nil || c.local != nil {
							return
						}
						created := c.newLocalShard(attempts)
						local.shard, local.id, local.joined, local.lastReceived = created.shard, id, true, c.now()
						if !c.w.params.skipOpenJobs {
							local.shard.SetOpenJobs(openJobs)
						}
						c.w.lastHandover = c.w.now
						c.local = local
						for _, mid := range c.previousMachines {
							local.sendToLeader(func(l *leadership, _ *memberLink) {
								l.dispatcher.HandleEvent(l.c.now(), id, model.Event{Kind: model.MachineRemembered, Machine: mid})
								l.exchangeMessages()
							})
						}
					})
					link.member = local
					l.links[id] = link
				})
			})
		})
	}
}
