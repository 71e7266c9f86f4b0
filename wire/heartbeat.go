package wire

import "time"

const (
	// HeartbeatInterval is the pause between two heartbeats while work is in progress between an
	// entry and an agent.
	HeartbeatInterval = 500 * time.Millisecond
	// IdleHeartbeatInterval is the pause between two heartbeats on an idle connection. It keeps idle
	// connections within the bytes that a node may spend on control traffic.
	IdleHeartbeatInterval = 5 * time.Second
	// HeartbeatTimeout is the time without messages after which a peer with work in progress counts
	// as unreachable.
	HeartbeatTimeout = 3 * HeartbeatInterval
)

// UnchangedFrom reports whether s contains nothing new for an entry that has received sent.
// Changes of the measured times alone don't count.
func (s *Status) UnchangedFrom(sent *Status) bool {
	return s.Resident == nil &&
		s.Config == sent.Config &&
		s.Draining == sent.Draining &&
		s.Queued == sent.Queued &&
		s.Running == sent.Running &&
		s.Unready == sent.Unready
}
