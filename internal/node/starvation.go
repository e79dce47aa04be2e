package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"honeylock/internal/core/starvation"
)

// groupName returns a readable name of a group of jobs: its team or class, or the largest jobs of a class.
func (n *Node) groupName(group starvation.Group) string {
	switch group.Kind {
	case starvation.Team:
		return "team " + n.names.Teams.Name(group.Name)
	case starvation.Largest:
		return "largest " + n.names.Classes.Name(group.Name)
	default:
		return "class " + n.names.Classes.Name(group.Name)
	}
}

// starvationMetrics exports, on the leader, for each class, team and size of jobs the share that have
// begun and their longest wait.
type starvationMetrics struct {
	node                *Node
	begunShare, longest *prometheus.Desc
}

// newStarvationMetrics returns the collector of the node's starvation metrics.
func newStarvationMetrics(n *Node) *starvationMetrics {
	return &starvationMetrics{n, prometheus.NewDesc("honeylock_begun_share",
		"Part of the jobs that have begun, of those that have or should have, by what they have in common.",
		[]string{"of"}, nil),
		prometheus.NewDesc("honeylock_begin_longest_seconds", "Longest wait of a job to begin, by what they have in common.",
			[]string{"of"}, nil)}
}

// Describe implements prometheus.Collector.
func (m *starvationMetrics) Describe(descs chan<- *prometheus.Desc) {
	descs <- m.begunShare
	descs <- m.longest
}

// Collect implements prometheus.Collector.
func (m *starvationMetrics) Collect(metrics chan<- prometheus.Metric) {
	m.node.mu.Lock()
	defer m.node.mu.Unlock()
	if m.node.lead == nil {
		return
	}
	for _, s := range m.node.lead.dispatcher.Starvation(m.node.now()) {
		of := m.node.groupName(s.Group)
		metrics <- prometheus.MustNewConstMetric(m.begunShare, prometheus.GaugeValue, s.StartedFraction(), of)
		metrics <- prometheus.MustNewConstMetric(m.longest, prometheus.GaugeValue, s.LongestWait.Seconds(), of)
	}
}
