package scale

import (
	"fmt"
	"time"
)

// Host is a controller of a region.
type Host struct {
	Name, Zone, Bind, Peer, Operators string
}

// RegionSpec is what the processes of a region are told.
type RegionSpec struct {
	Index          int
	Name           string
	Zones          []string
	Hosts          []Host
	Workers        int
	Teams          []TeamSpec
	TasksPerWorker int
	MeanTask       time.Duration
	TasksPerJob    int
	Limits         Limits
	Timing         WorkerTiming
	Seed           uint64
	HollowAddr     string // control address of the hollow process
	// CancelledShare is the part of arrays that their users cancel.
	CancelledShare     float64
	LimitChangesPerDay float64
	OperatorToken      string
}

// TeamSpec is a team with its guarantee and limit.
type TeamSpec struct {
	Name          string
	CPUs, CPUsMax float64
}

// What a task takes, and how much more room a worker has than its tasks need on average.
const (
	taskCPUs  = 4.0
	taskMemGB = 4.0
	headroom  = 1.25
)

// workerCPUs is the room of a worker.
func (s *RegionSpec) workerCPUs() float64 {
	return float64(int(float64(s.TasksPerWorker)*headroom)) * taskCPUs
}

// startsPerSecond is the region's part of the starts.
func (s *RegionSpec) startsPerSecond() float64 {
	return float64(s.Workers*s.TasksPerWorker) / s.MeanTask.Seconds()
}

// evenShare is the ith of n nearly equal parts of a whole.
func evenShare(total, n, i int) int { return total*(i+1)/n - total*i/n }

// regionSpecs divides the fleet. Controllers and zones are dealt out as evenly as can be, the
// first regions having one more.
func (o *Options) regionSpecs() []RegionSpec {
	out := make([]RegionSpec, o.Regions)
	for i := range out {
		spec := RegionSpec{
			Index: i, Name: fmt.Sprintf("region-%d", i), Workers: evenShare(o.Workers, o.Regions, i),
			TasksPerWorker: o.TasksPerWorker, MeanTask: o.MeanTask(), TasksPerJob: o.TasksPerJob,
			Limits: o.Limits, Timing: o.Timing, Seed: o.Seed + uint64(i)*1000,
			CancelledShare: o.CancelledShare, LimitChangesPerDay: o.LimitChangesPerDay,
		}
		for z := range evenShare(o.Zones, o.Regions, o.Regions-1-i) {
			spec.Zones = append(spec.Zones, fmt.Sprintf("zone-%d%c", i, 'a'+z))
		}
		for h := range evenShare(o.Controllers, o.Regions, o.Regions-1-i) {
			spec.Hosts = append(spec.Hosts, Host{Name: fmt.Sprintf("controller-%d-%d", i, h), Zone: spec.Zones[h%len(spec.Zones)]})
		}
		spec.Teams = spec.teamSpecs(o.Teams)
		out[i] = spec
	}
	return out
}

// teamSpecs share the region's room as guarantees; each may use three times its part, and two
// arrays at once.
func (s *RegionSpec) teamSpecs(n int) []TeamSpec {
	mean := float64(s.Workers) * s.workerCPUs() / float64(n)
	maxCPUs := max(3*mean, 2*taskCPUs*float64(2*s.TasksPerJob))
	out := make([]TeamSpec, n)
	for i := range out {
		out[i] = TeamSpec{Name: fmt.Sprintf("team-%03d", i), CPUs: mean, CPUsMax: maxCPUs}
	}
	return out
}
