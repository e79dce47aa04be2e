package readbatch

import "time"

// avoidLeaderFor is for how long a leader is not asked again that left a question unanswered.
const avoidLeaderFor = 2 * time.Second

// Route decides who compares a question: the leader for all controllers, or this controller
// by itself.
type Route struct {
	leaderCompares bool // there is a leader that compares for others
	avoidUntil     time.Duration
}

// SetLeaderCompares tells that there is a leader that compares for others, or none any more.
func (r *Route) SetLeaderCompares(yes bool) { r.leaderCompares, r.avoidUntil = yes, 0 }

// UseLeader tells whether the leader is to be asked now.
func (r *Route) UseLeader(now time.Duration) bool { return r.leaderCompares && now >= r.avoidUntil }

// LeaderFailed tells that the leader left a question unanswered, or could not ask the state
// service: it may be cut off from it alone.
func (r *Route) LeaderFailed(now time.Duration) { r.avoidUntil = now + avoidLeaderFor }
