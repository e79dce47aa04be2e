package sim

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/dispatcher"
	"honeylock/internal/core/jobs"
	"honeylock/internal/core/model"
	"honeylock/internal/core/pipeline"
)

// chains wires the graph as the node does.
type chains struct {
	l      *lead
	g      *pipeline.Graph
	doubts pipeline.InDoubtJobs
	doomed time.Duration // the last cancellation was written
}

func (p *chains) add(o *openJob) {
	since := -time.Hour
	if p.l.loaded {
		since = p.l.fresh
	}
	if p.g.Add(pipeline.Job{ID: o.spec.ID, Rank: o.spec.Rank, HasObjective: !o.spec.BestEffort, DependsOn: o.awaits}, since) {
		p.l.d.HoldJob(o.spec.ID)
	}
}

func (p *chains) ended(id model.JobID, e pipeline.FinalState) {
	if e == pipeline.Unknown && p.l.c.w.p.goOnUnasked {
		e = pipeline.Done
	}
	p.g.JobEnded(id, e, p.l.fresh)
	p.settle()
}

func (p *chains) settle() {
	for _, r := range p.g.TakeReleased() {
		p.l.d.ReleaseJob(r.ID, p.l.c.now(), r.NeverStarted)
	}
	for _, c := range p.g.TakeInherited() {
		p.l.d.InheritRank(c.ID, c.Rank, c.HasObjective)
	}
}

func (p *chains) settled(now time.Duration) time.Duration {
	return min(p.l.fresh, p.g.PropagatedUntil(now))
}

func (p *chains) tick(now time.Duration) {
	l, c := p.l, p.l.c
	if c.w.p.resize > 0 && c.w.now > c.w.p.resize && l.d.Layout() == 0 {
		l.d.SetLayout(smallBlock)
	}
	for _, id := range p.g.NextLookups(now, 4) {
		c.storeCall(func() any { c.w.store.expire(); return c.w.store.ending(id) }, func(v any) {
			if end, ok := v.(pipeline.FinalState); ok && c.lead == l {
				p.g.LookupDone(c.now(), id, end, 0)
				p.settle()
			} else {
				p.g.LookupDone(c.now(), id, pipeline.Unknown, 0)
			}
		})
	}
	most := 2
	if c.w.p.slowDooms > 0 { // hardly any changes are left for them
		if most = 0; now-p.doomed >= c.w.p.slowDooms {
			most, p.doomed = 1, now
		}
	}
	for _, id := range p.g.NextCancellations(now, most) {
		version := l.d.JobVersion(id)
		c.storeTxn(func() any { return c.w.store.doom(l.guard, id, version) }, func(v any) {
			r, _ := v.(written)
			switch {
			case r.ok:
				l.d.JobRemoved(id)
				p.ended(id, pipeline.Cancelled)
			case r.lost:
				l.d.JobRemoved(id)
				p.ended(id, pipeline.Unknown)
			default:
				p.g.CancellationFailed(c.now(), id)
			}
		})
	}
}

func (s *store) ending(id model.JobID) pipeline.FinalState {
	switch s.final[id] {
	case jobs.Done:
		return pipeline.Done
	case jobs.Cancelled:
		return pipeline.Cancelled
	}
	return pipeline.Absent
}

// doom ends a job that was never let begin, guarded as the leader's writes are.
func (s *store) doom(guard uint64, id model.JobID, version uint64) any {
	s.expire()
	if !s.leader.Present || s.leader.Version != guard {
		return written{}
	}
	if o, ok := s.open[id]; !ok || o.version != version {
		return written{lost: !ok}
	}
	s.rev++
	delete(s.open, id)
	s.final[id] = jobs.Cancelled
	return written{rev: s.rev, ok: true}
}

// loadRecords takes the stored blocks, those of the layout last written first.
func (l *lead) loadRecords(records map[dispatcher.BlockID]record) {
	ids := slices.SortedFunc(maps.Keys(records), func(a, b dispatcher.BlockID) int {
		if (a.Size == 0) != (b.Size == 0) {
			return int(b.Size) - int(a.Size)
		}
		return int(a.Index) - int(b.Index)
	})
	for _, id := range ids {
		l.d.AddStoredBlock(id, records[id].version, records[id].machines)
	}
	if len(ids) > 0 && ids[0].Size != 0 {
		l.d.SetLayout(smallBlock)
	}
}

// smallBlock is the size that blocks get when limits are to fall.
const smallBlock = 3

// chain has a job await some that were accepted, in whatever state they are now.
func (w *world) chain(u *user) {
	if w.rng.IntN(4) == 0 {
		return
	}
	var known []model.JobID
	for id := range w.p.jobs {
		if o := w.users[model.JobID(id)]; o != nil && o.accepted && !o.fails && !o.spec.Daemon {
			known = append(known, o.spec.ID)
		}
	}
	for range min(len(known), 1+w.rng.IntN(3)) {
		id := known[len(known)-1-w.rng.IntN(min(len(known), 8))]
		if !slices.Contains(u.awaits, id) {
			u.awaits = append(u.awaits, id)
		}
	}
	if w.rng.IntN(3) == 0 {
		u.spec.Rank = model.Urgent
	}
}

// request begins a request as a controller does.
func (c *ctl) request(u *user, k jobs.Kind) (*jobs.Request, jobs.Op) {
	if k == jobs.Submit && len(u.awaits) > 0 {
		open := map[model.JobID]uint64{}
		for _, id := range u.awaits { // what it happens to have seen
			if v := c.w.users[id].version; v != 0 && c.w.rng.IntN(2) == 0 {
				open[id] = v
			}
		}
		return jobs.NewWithDependencies(u.spec.ID, u.awaits, open, 18)
	}
	if k != jobs.Submit && c.now()/time.Second%4 == 0 { // rightly or wrongly
		return jobs.NewEnded(k, u.spec.ID)
	}
	return jobs.New(k, u.spec.ID, u.version)
}

// vouched is how long ago the last news of cancellations may be, as the node's settings
// have it.
func (p *params) vouched() time.Duration { return p.cancel*9/10 - 3*time.Second }

// tell is, for each open job, whether it is in doubt.
func (p *chains) tell(now time.Duration) map[model.JobID]bool {
	doubted := p.doubts.Update(now, p.g)
	out := map[model.JobID]bool{}
	p.l.d.ForEachOpenJob(func(id model.JobID, _ uint64, _, _ int) {
		out[id] = doubted[id]
	})
	return out
}

// vet turns an answer that nobody may vouch for into a refusal, or into what is certain.
func (c *ctl) vet(u *user, a *jobs.Answer) *jobs.Answer {
	if a.Stage != jobs.Queued || a.Created || len(u.awaits) == 0 || c.w.p.vouchForEver {
		return a
	}
	now, id := c.now(), u.spec.ID
	if l := c.lead; l != nil && l.loaded && !c.old {
		c.doubt = l.chains.tell(now)
		c.vouch.SetPropagated(l.chains.settled(now))
		c.vouch.SetInDoubtKnown(l.fresh)
		if c.w.p.hastyCancel && l.chains.g.CancelPending(id) {
			return &jobs.Answer{Status: http.StatusOK, Stage: jobs.Cancelled}
		}
	}
	if l := c.lead; l != nil && l.loaded && c.old {
		c.vouch.SetPropagated(l.chains.settled(now))
	}
	doubt, told := c.doubt[id]
	if c.vouch.MayReportQueued(now, told && (!doubt || c.w.p.vouchInDoubt) && !c.w.p.oneForAll) {
		return a
	}
	for _, o := range c.w.ctls { // passed on, as the node does
		if l := o.lead; l != nil && o.up && l.loaded && !o.old && (o == c || doubt) && !o.halted() && !c.w.p.oneForAll &&
			l.chains.doubts.CertainlyCancelled(o.now(), c.vouch.MaxAge, l.chains.g, id) {
			return &jobs.Answer{Status: http.StatusOK, Stage: jobs.Cancelled}
		}
	}
	return &jobs.Answer{Status: http.StatusServiceUnavailable}
}

// needsCancelled tells whether a job needs one, directly or through others, whose user
// asked to cancel it.
func (w *world) needsCancelled(u *user) bool {
	return slices.ContainsFunc(u.awaits, func(id model.JobID) bool {
		return w.users[id].wants || w.needsCancelled(w.users[id])
	})
}

// checkOrphan: a job is called queued or running too long after a user was told that one
// that it needs is cancelled.
func (w *world) checkOrphan(u *user, asked time.Duration, st jobs.Stage) {
	if st.Ended() {
		return
	}
	for _, id := range u.awaits {
		if o := w.users[id]; o.ended == jobs.Cancelled && asked > max(o.endedAt, u.acceptedAt)+w.p.cancel {
			w.fail("orphaned", "job %d is %s, %d was cancelled at %v", u.spec.ID, st, id, o.endedAt)
		}
	}
}

// checkEarly: a task starts before all that its job needs is done.
func (w *world) checkEarly(u *user, t model.Task) {
	for _, id := range u.awaits {
		if o := w.users[id]; len(o.done) < int(o.spec.Tasks) {
			w.fail("too_early", "task %v starts, job %d has %d of %d tasks done", t, id, len(o.done), o.spec.Tasks)
		}
	}
}

// outages are longer than a cancellation may take: whoever leads afterwards must not let
// it be told that what waits is queued before it has looked.
func (w *world) outages() {
	w.after(w.p.cancel+15*time.Second, func() {
		if w.now > w.p.length {
			return
		}
		w.note("fault: the store is out for long")
		w.troubled(w.p.cancel + 15*time.Second)
		w.store.out = true
		w.after(w.p.cancel+5*time.Second, func() { w.store.back() })
		w.outages()
	})
}

func chained() params {
	p := almatyLike()
	p.chains, p.jobs, p.controllers, p.resize = true, 120, 5, 2*time.Minute
	return p
}

// TestRulesHoldForChains plays random days of jobs that await each other, with every kind
// of failure, while the blocks of machines' records change their size half way.
func TestRulesHoldForChains(t *testing.T) {
	t.Parallel()
	long := longLease()
	long.chains, long.jobs, long.resize = true, 120, 3*time.Minute
	for name, p := range map[string]params{"short lease": chained(), "long lease": long} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				play(t, seed, p)
			})
		}
	}
}

// TestChainsComplete: without failures every chain ends, done or cancelled.
func TestChainsComplete(t *testing.T) {
	t.Parallel()
	p := chained()
	p.faults = false
	p.rest = 3 * time.Minute
	w := newWorld(1, p)
	w.run()
	if len(w.broken) > 0 {
		t.Fatal(strings.Join(w.broken, "\n"))
	}
	ends := map[jobs.Stage]int{}
	for id, u := range w.users {
		if u.accepted && u.ended == "" {
			t.Errorf("job %d (%+v, awaits %v) has not ended", id, u.spec, u.awaits)
		}
		if len(u.awaits) > 0 {
			ends[u.ended]++
		}
	}
	if ends[jobs.Done] == 0 || ends[jobs.Cancelled] == 0 {
		t.Errorf("jobs that awaited others ended %v: one way never happened", ends)
	}
	for id := range w.store.records {
		if id.Size != smallBlock {
			t.Errorf("block %v is still there", id)
		}
	}
}

// TestChecksCatchBrokenChains proves the checks.
func TestChecksCatchBrokenChains(t *testing.T) {
	t.Parallel()
	for name, breakIt := range map[string]func(*params){
		"a job that is gone counts as done": func(p *params) { p.goOnUnasked = true },
		// Leaders that are refused alone give up at once here as they do in the node, so only
		// records that end slowly leave time for it.
		"what waits is called queued in any event": func(p *params) { p.vouchForEver, p.slowDooms = true, 6*time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := chained()
			breakIt(&p)
			breaks(t, 60, 0, p)
		})
	}
}

// bushy has trees of jobs that are cancelled faster than their records can be ended.
func bushy() params {
	p := chained()
	p.slowDooms, p.rest = 6*time.Second, 10*time.Minute // outages take most of such a day
	return p
}

// TestATreeThatIsBehindHidesNoJob: one cancelled tree whose records could not be ended in
// time had every poll of a waiting job answered with 503, for longer than 75 s.
func TestATreeThatIsBehindHidesNoJob(t *testing.T) {
	t.Parallel()
	for seed := range seeds(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed, bushy())
		})
	}
	for name, breakIt := range map[string]func(*params){
		"one tree for all":                     func(p *params) { p.oneForAll = true },
		"jobs in doubt are vouched for":        func(p *params) { p.vouchInDoubt = true },
		"cancelled is said while others vouch": func(p *params) { p.hastyCancel = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := bushy()
			breakIt(&p)
			breaks(t, 60, 0, p)
		})
	}
}
