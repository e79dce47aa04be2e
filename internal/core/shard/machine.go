package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// machine is the shard's state for a machine that it owns.
type machine struct {
	model.Machine
	reachability
	epoch             model.Epoch         // of this ownership; 0: the dispatcher does not know epochs
	token, shownToken uint64              // the shard's newest token, and the one in the worker's newest message
	fencingToken      uint64              // the worker is fenced once it shows this token or a higher one
	fenced            bool                // the worker has shown fencingToken: it refuses earlier owners' commands
	usable            bool                // the dispatcher allows tasks to be placed here
	minPrice          float64             // cached result of computeMinTaskPrice
	minPriceValid     bool                // minPrice is up to date
	session, seq      uint64              // of the worker's newest message
	endedSession      uint64              // sessions up to this one ended with a confirmed lease expiry; 0: none
	tokenSent         bool                // the newest token was sent to the worker
	reportRequested   bool                // a report request was sent, and no report was answered since
	reportSeq         uint64              // newest report of the session, not counting answers to direct commands
	everAnswered      bool                // this shard has answered a report of the worker
	refence           bool                // the next token that the dispatcher assigns becomes fencingToken
	inUse             bool                // has attempts other than those that only wait to be cleared
	answeredAt        time.Duration       // the worker's lease counts as renewed at this time
	attempts          attemptList         // attempts that are, or may be, on the machine
	used              model.Resources     // of all attempts, unsent ones included
	images            map[model.Name]bool // images that the machine is expected to have
	preemptionAt      time.Duration       // when the cloud takes the machine; 0: no notice
	commandsInFlight  int                 // direct commands without an outcome so far
	directRetryAt     time.Duration       // no direct command before this time
	tokenNeeded       bool                // a higher token was requested; no tasks are placed until it arrives
	idleSince         time.Duration       // when the last attempt in use was gone
	errors            []jobError          // recent task errors on this machine
	faultyUntil       time.Duration       // the machine is considered faulty until then
	refusedUntil      time.Duration       // the worker refused a launch for lack of capacity; no tasks until then
	needsFlush        bool                // has commands that should be sent directly
	reservedFor       model.JobID         // no other job's tasks are placed here before reservedUntil
	reservedUntil     time.Duration       // end of the reservation
	directNotBefore   time.Duration       // an unfenced worker gets no direct command before this time
	needsProbe        bool                // send a direct command even if it is empty
	capacityFreed     bool                // is in Shard.freedMachines
	lastSummary       machineSummary      // as last returned by TakeStatus
	summaryChanged    bool                // a part of the status outside lastSummary has changed since
	lowestRankRound   uint64              // the placement round that lowestRank and hasTasks were computed in
	lowestRank        model.Rank          // cached result of Shard.lowestRank
	hasTasks          bool                // a task of this shard is on the machine
}
