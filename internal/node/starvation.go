package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"honeylock/internal/core/floor"
)

// floorName is what a floor is about, for people.
func (n *Node) floorName(of floor.Of) string {
	switch of.Kind {
	case floor.Team:
		return "team " + n.names.Teams.Name(of.Name)
	case floor.Largest:
		return "largest " + n.names.Classes.Name(of.Name)
	default:
		return "class " + n.names.Classes.Name(of.Name)
	}
}

// floorMetrics tell, on the leader, what part of each class, team and size has begun.
type floorMetrics struct {
	n             *Node
	part, longest *prometheus.Desc
}

func newFloorMetrics(n *Node) *floorMetrics {
	return &floorMetrics{n, prometheus.NewDesc("honeylock_begun_share",
		"Part of the jobs that have begun, of those that have or should have, by what they have in common.",
		[]string{"of"}, nil),
		prometheus.NewDesc("honeylock_begin_longest_seconds", "Longest wait of a job to begin, by what they have in common.",
			[]string{"of"}, nil)}
}

// Describe implements prometheus.Collector.
func (m *floorMetrics) Describe(c chan<- *prometheus.Desc) {
	c <- m.part
	c <- m.longest
}

// Collect implements prometheus.Collector.
func (m *floorMetrics) Collect(c chan<- prometheus.Metric) {
	m.n.mu.Lock()
	defer m.n.mu.Unlock()
	if m.n.lead == nil {
		return
	}
	for _, s := range m.n.lead.d.Floors(m.n.now()) {
		of := m.n.floorName(s.Of)
		c <- prometheus.MustNewConstMetric(m.part, prometheus.GaugeValue, s.Part(), of)
		c <- prometheus.MustNewConstMetric(m.longest, prometheus.GaugeValue, s.Longest.Seconds(), of)
	}
}
