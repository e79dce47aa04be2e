package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"honeylock/internal/config"
	"honeylock/internal/core/model"
	"honeylock/internal/core/ratelimit"
	"honeylock/internal/core/rateshare"
	"honeylock/internal/core/shard"
	"honeylock/internal/peer"
	"honeylock/internal/peer/peerpb"
	"honeylock/internal/wire"
)

const (
	grantRequestInterval = 400 * time.Millisecond
	linkTimeout          = 2500 * time.Millisecond // nothing heard for so long: the link is dead
	statusInterval       = 100 * time.Millisecond
	maxDirectSends       = 48
	directTimeout        = 2 * time.Second
	cycleDelay           = 5 * time.Millisecond // what arrives within so long is dealt with together
)

// localShard is this controller's shard. A member's localShard outlives its link until its
// grant ends: its workers go on being answered.
type localShard struct {
	shard             *shard.Shard
	leaderQueue       *peer.Queue // nil: the leader's own, or the link is lost
	codec             *peer.Codec
	lastTick          time.Duration
	statusDue         bool
	grantRequestsSent map[uint64]time.Duration
	// loggedGrant: the shard may act, as last told in the log.
	loggedGrant        bool
	grantRequestSeq    uint64
	lastGrantRequestAt time.Duration
	lastGrantNumber    uint64 // of the newest grant
	cancelsSent        int    // of the cancellations that users were told of here: what the leader has
}

func (n *Node) newLocalShard(attempts uint64) *localShard {
	local := &localShard{grantRequestsSent: map[uint64]time.Duration{}, codec: peer.NewCodec(n.names),
		shard: shard.New(n.shardParams(), attempts, n.rng)}
	local.shard.RestoreImages(n.previousMachines)
	return local
}

// dropLocalShard drops this controller's shard. The machines' workers will report
// here again: the next leader is told of them.
func (n *Node) dropLocalShard() {
	if n.local != nil {
		n.localReady, n.localDroppedAt = make(chan struct{}), n.now()
		if images := n.local.shard.Images(); len(images) > 0 {
			n.previousMachines = images
		}
	}
	n.local = nil
}

// installLocalShard lets this controller's shard begin, and wakes the reports that wait for
// that.
func (n *Node) installLocalShard(local *localShard) {
	n.local = local
	close(n.localReady)
}

// requestCycle asks for a turn: what comes in until then is dealt with together. The
// more a turn costs, the more is gathered for the next.
func (n *Node) requestCycle() {
	if n.cyclePending {
		return
	}
	n.cyclePending = true
	time.AfterFunc(min(max(cycleDelay, 4*n.cycleDuration), 60*cycleDelay), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cyclePending = false
		began := n.now()
		n.runCycle(began)
		n.cycleDuration = n.now() - began
	})
}

// runCycle lets shard and dealer settle, and sends what they have to say.
func (n *Node) runCycle(now time.Duration) {
	if n.lead != nil {
		n.lead.dispatchLoop.runCycle(now)
		return
	}
	if n.local == nil {
		return
	}
	n.local.shard.Place(now)
	n.sendDirects(now)
	n.sendEvents(now)
	n.local.statusDue = true
}

// sendEvents passes the shard's events to the dealer, wherever it is. Without a link
// they are lost: the next shard of this controller finds out anew what there is.
func (n *Node) sendEvents(now time.Duration) {
	if n.lead != nil {
		n.lead.dispatchLoop.exchangeMessages(now)
		return
	}
	for _, e := range n.local.shard.TakeEvents() {
		if n.local.leaderQueue != nil {
			n.local.leaderQueue.Send(n.local.codec.Event(&e))
		}
	}
}

func (n *Node) sendDirects(now time.Duration) {
	local := n.local
	local.shard.Flush(now, n.health.scaleConcurrency(now, maxDirectSends))
	for _, d := range local.shard.TakeDirectCommands() {
		n.logStarts(d.Machine, d.Token, d.Session, d.Commands, true)
		go n.sendDirect(local, d)
	}
}

func (n *Node) sendDirect(local *localShard, d shard.DirectCommand) {
	// Opening the connection takes time, and the process may stand still: what is
	// decided under a grant is not sent once it is over.
	ctx, cancel := context.WithTimeout(context.Background(), d.NotAfter-n.now())
	defer cancel()
	raw, executed, err := n.workers.Send(ctx, d.Addr, d.Token, d.Session, d.Commands)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var report *model.Report
	if err == nil {
		report, err = raw.Report(n.names)
	}
	if err != nil {
		n.log.Debug("direct command unanswered", "machine", wire.MachineName(d.Machine), "err", err)
		report = nil
	}
	local.shard.DirectCommandDone(now, d, report, executed)
	if n.local == local {
		if report != nil {
			n.wakeReports(d.Machine)
		}
		n.requestCycle()
	}
}

// tickMember is called a few times a second on a member.
func (n *Node) tickMember(now time.Duration) {
	local := n.local
	if now-local.lastTick < statusInterval {
		return
	}
	local.lastTick = now
	n.logGrant(now, local)
	local.shard.Tick(now)
	n.sendDirects(now)
	n.sendEvents(now)
	if local.leaderQueue == nil {
		return
	}
	if now-local.lastGrantRequestAt >= grantRequestInterval {
		// The grant counts from here, however late the answer comes.
		local.grantRequestSeq++
		local.grantRequestsSent[local.grantRequestSeq] = now
		local.lastGrantRequestAt = now
		demand := n.state.Needs()
		ask := &peerpb.Ask{
			Seq:            local.grantRequestSeq,
			Promised:       local.lastGrantNumber,
			StateAgeUs:     n.health.sinceServed(now).Microseconds(),
			ToldForUs:      max(1, (now - n.cancelLog.CompleteSince()).Microseconds()),
			RequestsNeeded: demand.Requests,
			WritesNeeded:   demand.Writes,
		}
		var cancelled []model.JobID
		cancelled, local.cancelsSent = n.cancelLog.EntriesFrom(local.cancelsSent)
		for _, id := range cancelled {
			ask.Told = append(ask.Told, uint64(id))
		}
		local.leaderQueue.Send(&peerpb.Up{Msg: &peerpb.Up_Ask{Ask: ask}})
		local.statusDue = true
	}
	if local.statusDue {
		local.statusDue = false
		local.leaderQueue.Send(local.codec.Status(now, local.shard.TakeStatus(now), local.shard.TaskCounts(now),
			local.shard.AssignmentsReceived()))
	}
}

// wakeOwned wakes reports that wait for their machine's owner.
func (n *Node) wakeOwned(order *model.Order) {
	id := order.Machine.ID
	switch order.Kind {
	case model.OwnMachine:
	case model.RedirectWorker:
		id = order.ID
	default:
		return
	}
	n.wakeReports(id)
}

// wakeReports lets the reports of a machine go on that wait.
func (n *Node) wakeReports(id model.MachineID) {
	for _, c := range n.reportWaiters[id] {
		close(c)
	}
	delete(n.reportWaiters, id)
}

func (n *Node) siblingAddr(host string) string {
	for _, s := range n.cfg.Siblings {
		if s.HostName == host {
			return s.Address
		}
	}
	return ""
}

// checkSiblings finds out, while this controller's start holds it off from
// leadership, whether any sibling leads: if none does, nobody can count on a
// promise of its last life.
func (n *Node) checkSiblings(ctx context.Context) {
	dialer := peer.NewDialer()
	notLeading := map[string]bool{}
	for ctx.Err() == nil && n.now() < config.Promise {
		noneLeads := true
		for _, s := range n.cfg.Siblings {
			if !notLeading[s.HostName] {
				leads, known := dialer.Leading(ctx, s.Address)
				notLeading[s.HostName] = known && !leads
			}
			noneLeads = noneLeads && notLeading[s.HostName]
		}
		if noneLeads {
			n.mu.Lock()
			n.election.ClearPriorPromise(n.now())
			n.mu.Unlock()
			return
		}
		sleep(ctx, 150*time.Millisecond)
	}
}

// runMember keeps a link to the leader while another controller leads.
func (n *Node) runMember(ctx context.Context) {
	dialer := peer.NewDialer()
	for ctx.Err() == nil {
		n.mu.Lock()
		host := n.election.Holder()
		leading := n.lead != nil
		unserved := n.health.stateUnserved(n.now())
		n.mu.Unlock()
		if unserved && !leading {
			host = n.findLeader(ctx, dialer)
		}
		addr := n.siblingAddr(host)
		if leading || addr == "" {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		err := n.followLeader(ctx, dialer, host, addr)
		n.mu.Lock()
		level := slog.LevelDebug
		if n.leader != "" {
			level = slog.LevelInfo
		}
		n.leader, n.lastLinkHost = "", host
		n.mu.Unlock()
		n.log.Log(ctx, level, "link to the leader ended", "leader", host, "err", err)
		sleep(ctx, 300*time.Millisecond)
	}
}

// findLeader asks the siblings who leads, for a controller that can't read the
// leader's key.
func (n *Node) findLeader(ctx context.Context, dialer *peer.Dialer) string {
	for _, s := range n.cfg.Siblings {
		leads, known := dialer.Leading(ctx, s.Address)
		if known {
			n.mu.Lock()
			n.siblingSeenAt = n.now()
			n.mu.Unlock()
		}
		if leads {
			return s.HostName
		}
	}
	return ""
}

var errLinkTimeout = errors.New("nothing heard from the other side")

func (n *Node) followLeader(ctx context.Context, dialer *peer.Dialer, host, addr string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	requestWriter, body, err := dialer.Open(ctx, addr)
	if err != nil {
		return err
	}
	defer body.Close()
	defer requestWriter.Close()
	sendQueue := peer.NewQueue()
	go func() { cancel(sendQueue.Run(ctx, requestWriter, nil)) }()
	watchdog := time.AfterFunc(linkTimeout, func() { cancel(errLinkTimeout) })
	defer watchdog.Stop()
	// From here the shard of before acts no more: that is what Hello says.
	n.mu.Lock()
	if n.lead != nil {
		n.mu.Unlock()
		return errors.New("leading myself")
	}
	n.dropLocalShard()
	n.mu.Unlock()
	sendQueue.Send(&peerpb.Up{Msg: &peerpb.Up_Hello{Hello: &peerpb.Hello{Host: n.cfg.HostName,
		Release: release}}})
	reader := peer.NewReader(body)
	var local *localShard
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.openChecker.setLeader(nil)
		n.election.CheckSoon(n.now())
		if local != nil {
			local.leaderQueue = nil
		}
	}()
	for {
		var message peerpb.Down
		if err := reader.Next(&message); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}
			return err
		}
		watchdog.Reset(linkTimeout)
		n.mu.Lock()
		now := n.now()
		n.siblingSeenAt = now
		if local != nil && n.local != local {
			n.mu.Unlock()
			return errors.New("another shard took over")
		}
		switch msg := message.Msg.(type) {
		case *peerpb.Down_Welcome:
			if n.lead != nil || local != nil {
				n.mu.Unlock()
				return errors.New("unexpected welcome")
			}
			local = n.newLocalShard(msg.Welcome.GetAttempts())
			local.leaderQueue = sendQueue
			local.shard.ReportInterruptions(msg.Welcome.GetTell())
			n.leader = host
			n.installLocalShard(local)
			if msg.Welcome.GetCompares() {
				n.openChecker.setLeader(sendQueue)
			}
			n.log.Info("joined", "leader", host, "term", msg.Welcome.GetTerm(), "remembered", len(n.previousMachines))
			for id := range n.previousMachines {
				sendQueue.Send(local.codec.Event(&model.Event{Kind: model.MachineRemembered, Machine: id}))
			}
		case *peerpb.Down_Progress:
			n.leaderStateServedAt = now - time.Duration(msg.Progress.GetStateAgeUs())*time.Microsecond
			previousProgress := n.progress
			n.progress = make(map[model.JobID]jobProgress, len(msg.Progress.GetJobs()))
			open := make(map[model.JobID]bool, len(msg.Progress.GetJobs()))
			if local != nil {
				local.shard.SetOpenJobs(open)
			}
			for _, j := range msg.Progress.GetJobs() {
				open[model.JobID(j.GetJob())] = true
				n.progress[model.JobID(j.GetJob())] = jobProgress{int(j.GetDone()), int(j.GetRunning()), j.GetVersion(),
					j.GetWaits(), j.GetDoubt()}
			}
			n.cacheRemovedRecords(previousProgress)
		case *peerpb.Down_Answers:
			n.openChecker.handleAnswers(msg.Answers.GetAnswers())
		case *peerpb.Down_Grant:
			if local == nil {
				break
			}
			if share := msg.Grant.GetRequestsShare(); share > 0 {
				n.state.SetPart(ratelimit.Allocation{Requests: share, Writes: msg.Grant.GetWritesShare()}, rateshare.AllocationTTL)
			}
			if sentAt, ok := local.grantRequestsSent[msg.Grant.GetSeq()]; ok {
				delete(local.grantRequestsSent, msg.Grant.GetSeq())
				local.lastGrantNumber = msg.Grant.GetNumber()
				if age := msg.Grant.GetSettledAgeUs(); age > 0 { // as old as its asking
					n.statusFreshness.SetPropagated(sentAt - time.Duration(age)*time.Microsecond)
				}
				if age := msg.Grant.GetToldAgeUs(); age > 0 {
					n.statusFreshness.SetInDoubtKnown(sentAt - time.Duration(age)*time.Microsecond)
				}
				n.election.Promise(now + config.Promise)
				grantDuration := time.Duration(msg.Grant.GetForUs()) * time.Microsecond
				// Both clocks may drift, and timers are late.
				local.shard.SetGrant(sentAt + grantDuration - grantDuration/500 - 50*time.Millisecond)
			}
		case *peerpb.Down_Order:
			if local == nil {
				break
			}
			order, err := local.codec.FromOrder(now, msg.Order)
			if err != nil {
				n.mu.Unlock()
				return err
			}
			local.shard.HandleOrder(now, order)
			n.wakeOwned(&order)
			n.requestCycle()
		}
		n.mu.Unlock()
	}
}

// jobProgress of an open job, for display, with its open record's version.
type jobProgress struct {
	done, running int
	version       uint64
	onHold        bool // jobs that it needs are not done
	inDoubt       bool // ... or one of them was cancelled, or that is being found out
}
