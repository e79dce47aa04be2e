package readbatch

import "time"

// avoidLeaderFor is how long the leader is not asked after it failed to answer a check.
const avoidLeaderFor = 2 * time.Second

// Route decides who sends the comparison for a check: the leader, which does so for all controllers,
// or this controller itself.
type Route struct {
	leaderCompares bool // there is a leader that sends comparisons for others
	avoidUntil     time.Duration
}

// SetLeaderCompares sets whether there is a leader that sends comparisons for others.
func (r *Route) SetLeaderCompares(yes bool) { r.leaderCompares, r.avoidUntil = yes, 0 }

// UseLeader reports whether checks should go to the leader now.
func (r *Route) UseLeader(now time.Duration) bool { return r.leaderCompares && now >= r.avoidUntil }

// LeaderFailed records that the leader did not answer a check or could not reach the state service. The
// leader may be the only controller that can't reach the service.
func (r *Route) LeaderFailed(now time.Duration) { r.avoidUntil = now + avoidLeaderFor }
