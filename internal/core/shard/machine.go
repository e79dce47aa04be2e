package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// machine is what the shard knows of a machine that it owns.
type machine struct {
	model.Machine
	reachability
	token, shownToken uint64
	fencingToken      uint64 // the token whose showing fences the worker
	fenced            bool
	usable            bool
	minPrice          float64 // the lowest price that runs here
	minPriceValid     bool    // low holds: nothing has changed since
	session, seq      uint64
	endedSession      uint64        // of a fenced worker: it, and those before, ended with a lapse; 0: none has
	tokenSent         bool          // the worker was sent its token
	reportSeq         uint64        // of session: the newest report, answers to direct commands left out
	everAnswered      bool          // this shard has answered it
	refence           bool          // the token to come is the one to be shown
	tokenRaisedAt     time.Duration // a higher token was last asked for to clear attempts
	unclearedSince    time.Duration // attempts that could be cleared are kept since, 0: there are none
	inUse             bool          // has attempts besides those that only wait to be cleared
	answeredAt        time.Duration
	attempts          attemptList
	used              model.Resources // of all slots not exited, reservations included
	images            map[model.Name]bool
	preemptionAt      time.Duration // 0: none
	commandsInFlight  int
	directRetryAt     time.Duration
	tokenNeeded       bool
	idleSince         time.Duration
	errors            []jobError
	faultyUntil       time.Duration  // held to be faulty
	refusedUntil      time.Duration  // it had less room than the books say
	needsFlush        bool           // has commands that should go out directly
	reservedFor       model.JobID    // no other job's tasks are placed here
	reservedUntil     time.Duration  // ... until then
	directNotBefore   time.Duration  // not directly before, while it is not fenced
	needsProbe        bool           // its worker is to be asked, whether there are commands or not
	capacityFreed     bool           // has had room freed since waiting tasks were placed
	lastSummary       machineSummary // as last told to the dealer
	summaryChanged    bool           // more has changed since than that
	lowestRankRound   uint64         // round in which lowest and busy were looked up
	lowestRank        model.Rank
	hasTasks          bool
}
