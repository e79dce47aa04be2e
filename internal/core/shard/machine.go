package shard

import (
	"time"

	"honeylock/internal/core/model"
)

// machine is what the shard knows of a machine that it owns.
type machine struct {
	model.Machine
	reachability
	token, shown   uint64
	first          uint64 // the token whose showing fences the worker
	fenced         bool
	usable         bool
	low            float64 // the lowest price that runs here
	priced         bool    // low holds: nothing has changed since
	session, seq   uint64
	endedSession   uint64        // of a fenced worker: it, and those before, ended with a lapse; 0: none has
	tokenSent      bool          // the worker was sent its token
	reported       uint64        // of session: the newest report, answers to direct commands left out
	spoke          bool          // this shard has answered it
	refence        bool          // the token to come is the one to be shown
	raised         time.Duration // a higher token was last asked for to clear attempts
	unclearedSince time.Duration // attempts that could be cleared are kept since, 0: there are none
	inUse          bool          // has attempts besides those that only wait to be cleared
	answered       time.Duration
	slots          slots
	used           model.Resources // of all slots not exited, reservations included
	images         map[model.Name]bool
	noticeAt       time.Duration // 0: none
	inFlight       int
	quietUntil     time.Duration
	needToken      bool
	idleSince      time.Duration
	errors         []jobError
	faultyUntil    time.Duration // held to be faulty
	refusedUntil   time.Duration // it had less room than the books say
	wake           bool          // has commands that should go out directly
	keptFor        model.JobID   // no other job's tasks are placed here
	keptUntil      time.Duration // ... until then
	patient        time.Duration // not directly before, while it is not fenced
	probe          bool          // its worker is to be asked, whether there are commands or not
	roomier        bool          // has had room freed since waiting tasks were placed
	last           brief         // as last told to the dealer
	anew           bool          // more has changed since than that
	leveled        uint64        // round in which lowest and busy were looked up
	lowest         model.Rank
	busy           bool
}
