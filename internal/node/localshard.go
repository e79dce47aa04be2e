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
	grantRequestInterval = 400 * time.Millisecond  // between a member's requests for a new grant
	linkTimeout          = 2500 * time.Millisecond // a link without messages for this long is closed
	statusInterval       = 100 * time.Millisecond  // between the ticks of a member's shard
	maxDirectSends       = 48                      // direct commands in flight at a time
	directTimeout        = 2 * time.Second
	cycleDelay           = 5 * time.Millisecond // messages that arrive within this delay are handled together
)

// localShard is the shard that runs in this controller, with its connection to the leader. On a member
// it outlives that connection until its grant ends, so that its workers are still answered.
type localShard struct {
	shard             *shard.Shard
	leaderQueue       *peer.Queue // nil on the leader itself, and when the link is lost
	codec             *peer.Codec
	lastTick          time.Duration
	statusDue         bool                     // the next tick of a member sends the shard's status to the leader
	grantRequestsSent map[uint64]time.Duration // when each unanswered grant request was sent, by its number
	// loggedGrant is whether the shard had a grant when that was last logged.
	loggedGrant        bool
	grantRequestSeq    uint64 // number of the newest grant request
	lastGrantRequestAt time.Duration
	lastGrantNumber    uint64 // number of the newest grant received
	cancelsSent        int    // how many entries of the cancellation log were sent to the leader
}

// newLocalShard builds a shard that numbers its attempts from firstAttempt on. It knows which images the
// machines of this controller's previous shard hold.
func (n *Node) newLocalShard(firstAttempt uint64) *localShard {
	local := &localShard{grantRequestsSent: map[uint64]time.Duration{}, codec: peer.NewCodec(n.names),
		shard: shard.New(n.shardParams(), firstAttempt, n.rng)}
	local.shard.RestoreImages(n.previousMachines)
	return local
}

// dropLocalShard drops this controller's shard. It remembers the shard's machines, because their workers
// will report here again and the next leader must learn of them.
func (n *Node) dropLocalShard() {
	if n.local != nil {
		n.localReady, n.localDroppedAt = make(chan struct{}), n.now()
		if images := n.local.shard.Images(); len(images) > 0 {
			n.previousMachines = images
		}
	}
	n.local = nil
}

// installLocalShard makes local this controller's shard, and wakes the reports that wait for one.
func (n *Node) installLocalShard(local *localShard) {
	n.local = local
	close(n.localReady)
}

// requestCycle schedules a cycle, which handles all that has arrived by then together. The longer the
// last cycle took, the later the next one starts, so that more is batched.
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

// runCycle runs the dispatch loop's cycle on the leader. On a member it places waiting tasks, and sends
// the shard's commands to workers and its events to the leader.
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

// sendEvents passes the shard's events to the dispatcher, here or on the leader. Without a link they
// are lost: the next shard of this controller learns the state of its machines from their reports.
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

// sendDirects sends those commands directly to the workers that should not wait for the workers' next
// reports. A controller that is behind has fewer of them in flight at a time.
func (n *Node) sendDirects(now time.Duration) {
	local := n.local
	local.shard.Flush(now, n.health.scaleConcurrency(now, maxDirectSends))
	for _, command := range local.shard.TakeDirectCommands() {
		n.logStarts(command.Machine, command.Token, command.Session, command.Commands, true)
		go n.sendDirect(local, command)
	}
}

// sendDirect sends the commands for one worker and passes its answer to the shard.
func (n *Node) sendDirect(local *localShard, command shard.DirectCommand) {
	// A command that was decided under a grant must not be sent after the grant has expired.
	// That could happen, because opening the connection takes time and the process may stall.
	ctx, cancel := context.WithTimeout(context.Background(), command.NotAfter-n.now())
	defer cancel()
	rawReport, executed, err := n.workers.Send(ctx, command.Addr, command.Token, command.Session, command.Commands)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	var report *model.Report
	if err == nil {
		report, err = rawReport.Report(n.names)
	}
	if err != nil {
		n.log.Debug("no valid answer to a direct command", "machine", wire.MachineName(command.Machine), "err", err)
		report = nil
	}
	local.shard.DirectCommandDone(now, command, report, executed)
	if n.local == local {
		if report != nil {
			n.wakeReports(command.Machine)
		}
		n.requestCycle()
	}
}

// tickMember is called a few times a second on a member. Every statusInterval it advances the shard,
// requests a grant from the leader when that is due, and reports the shard's status when it is due.
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
		// The grant counts from when it was requested, however late the answer arrives.
		local.grantRequestSeq++
		local.grantRequestsSent[local.grantRequestSeq] = now
		local.lastGrantRequestAt = now
		demand := n.state.Demand()
		// ToldForUs is at least 1, because 0 means that the member reports no cancellations.
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

// wakeOwned wakes the waiting reports of a machine once an order says which shard owns it.
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

// wakeReports wakes the waiting reports of a machine.
func (n *Node) wakeReports(id model.MachineID) {
	for _, c := range n.reportWaiters[id] {
		close(c)
	}
	delete(n.reportWaiters, id)
}

// siblingAddr returns the address of another controller, "" if the host is not one.
func (n *Node) siblingAddr(host string) string {
	for _, sibling := range n.cfg.Siblings {
		if sibling.HostName == host {
			return sibling.Address
		}
	}
	return ""
}

// checkSiblings asks the other controllers, while a restart keeps this one from leadership, whether any
// of them leads. If none does, no leader relies on a promise that this controller made in its
// previous run, and it may take leadership at once.
func (n *Node) checkSiblings(ctx context.Context) {
	dialer := peer.NewDialer()
	notLeading := map[string]bool{}
	for ctx.Err() == nil && n.now() < config.PromiseDuration {
		noneLeads := true
		for _, sibling := range n.cfg.Siblings {
			if !notLeading[sibling.HostName] {
				leads, known := dialer.Leading(ctx, sibling.Address)
				notLeading[sibling.HostName] = known && !leads
			}
			noneLeads = noneLeads && notLeading[sibling.HostName]
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

// runMember keeps a connection to the leader while another controller leads.
func (n *Node) runMember(ctx context.Context) {
	dialer := peer.NewDialer()
	for ctx.Err() == nil {
		n.mu.Lock()
		host := n.election.Holder()
		leading := n.lead != nil
		stateUnreachable := n.health.stateUnreachable(n.now())
		n.mu.Unlock()
		if stateUnreachable && !leading {
			host = n.findLeader(ctx, dialer)
		}
		addr := n.siblingAddr(host)
		if leading || addr == "" {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		err := n.followLeader(ctx, dialer, host, addr)
		// Failed attempts to join are repeated, so only the loss of a leader that this controller
		// had joined is logged at info level.
		n.mu.Lock()
		level := slog.LevelDebug
		if n.leader != "" {
			level = slog.LevelInfo
		}
		n.leader, n.lastLinkHost = "", host
		n.mu.Unlock()
		n.log.Log(ctx, level, "connection to the leader closed", "leader", host, "err", err)
		sleep(ctx, 300*time.Millisecond)
	}
}

// findLeader asks the other controllers which of them leads, when this controller can't read the leader key.
// It returns "" if none says that it does.
func (n *Node) findLeader(ctx context.Context, dialer *peer.Dialer) string {
	for _, sibling := range n.cfg.Siblings {
		leads, known := dialer.Leading(ctx, sibling.Address)
		if known {
			n.mu.Lock()
			n.siblingSeenAt = n.now()
			n.mu.Unlock()
		}
		if leads {
			return sibling.HostName
		}
	}
	return ""
}

var errLinkTimeout = errors.New("no message from the peer within the link timeout")

// followLeader connects this controller to a leader as a member, and applies the leader's messages
// until the connection fails or this controller's shard is replaced.
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
	// The Hello that is sent next tells the leader that this controller's previous shard no longer
	// acts, so that shard is dropped first.
	n.mu.Lock()
	if n.lead != nil {
		n.mu.Unlock()
		return errors.New("this controller leads")
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
			return errors.New("the local shard was replaced or dropped")
		}
		switch msg := message.Msg.(type) {
		case *peerpb.Down_Welcome:
			if n.lead != nil || local != nil {
				n.mu.Unlock()
				return errors.New("unexpected Welcome message")
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
				n.state.SetAllocation(ratelimit.Allocation{Requests: share, Writes: msg.Grant.GetWritesShare()},
					rateshare.AllocationTTL)
			}
			if sentAt, ok := local.grantRequestsSent[msg.Grant.GetSeq()]; ok {
				delete(local.grantRequestsSent, msg.Grant.GetSeq())
				local.lastGrantNumber = msg.Grant.GetNumber()
				// The ages count from when the grant was requested, like the grant itself; 0 means not reported.
				if age := msg.Grant.GetSettledAgeUs(); age > 0 {
					n.statusFreshness.SetPropagated(sentAt - time.Duration(age)*time.Microsecond)
				}
				if age := msg.Grant.GetToldAgeUs(); age > 0 {
					n.statusFreshness.SetInDoubtKnown(sentAt - time.Duration(age)*time.Microsecond)
				}
				n.election.Promise(now + config.PromiseDuration)
				grantDuration := time.Duration(msg.Grant.GetForUs()) * time.Microsecond
				// The margin allows for drift between the two clocks and for late timers.
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

// jobProgress is an open job's progress, for display, with the version of its open record.
type jobProgress struct {
	done, running int
	version       uint64
	onHold        bool // not all of its dependencies are done
	inDoubt       bool // a dependency was cancelled, or may have been
}
