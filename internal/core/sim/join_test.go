package sim

import (
	"maps"
	"slices"

	"honeylock/internal/core/model"
)

// join opens a link to whoever leads; the shard of before acts no more.
func (c *ctl) join() {
	host := c.el.Holder()
	if host == "" || host == c.host || c.w.rng.IntN(4) > 0 {
		return
	}
	life := c.life
	if o := c.w.ctl(host); o != nil {
		c.w.send(c.host, host, true, func() {
			l := o.lead
			if l == nil || !l.loaded || !o.up {
				return
			}
			c.w.send(host, c.host, true, func() { // taken: Hello, Welcome
				if !c.up || c.life != life || c.lead != nil || c.seat != nil && c.seat.l != nil {
					return
				}
				k := &link{host: c.host}
				st := &seat{c: c, l: l, lk: k, heard: c.now()}
				if c.seat != nil {
					c.kept = slices.Sorted(maps.Keys(c.seat.s.Images()))
				}
				c.seat = nil
				c.w.send(c.host, host, true, func() {
					if o.lead != l || !o.up {
						return
					}
					for id := model.ShardID(1); id <= l.newest; id++ {
						if x := l.links[id]; x != nil && x.host == c.host {
							x.dead = true
							delete(l.links, id)
							l.lose(id, o.now())
						}
					}
					id := l.d.AddShard(o.now(), c.host)
					l.newest = id
					k.heard = o.now()
					l.hosts[c.host] = true
					if len(l.hosts) == c.w.p.controllers-1 {
						l.d.AllControllersJoined(o.now())
					}
					attempts, picture := l.d.FirstAttempt(id), l.open()
					c.w.send(host, c.host, true, func() {
						if !c.up || c.life != life || c.lead != nil || c.seat != nil {
							return
						}
						n := c.newSeat(attempts)
						st.s, st.id, st.joined, st.heard = n.s, id, true, c.now()
						if !c.w.p.unvetted {
							st.s.SetOpenJobs(picture)
						}
						c.w.changed = c.w.now
						c.seat = st
						for _, mid := range c.kept {
							st.up(func(l *lead, _ *link) {
								l.d.HandleEvent(l.c.now(), id, model.Event{Kind: model.MachineRemembered, Machine: mid})
								l.exchange()
							})
						}
					})
					k.peer = st
					l.links[id] = k
				})
			})
		})
	}
}
