package gateway

import (
	"cmp"
	"slices"
	"time"

	"sandbarrow.example/sandbarrow/quota"
)

// formerLeaderTime is how long the controller on the box that led a shard last is nominated alone.
// It is a few nominations. After that the others are nominated too: the former leader may have lost
// the store.
const formerLeaderTime = 250 * time.Millisecond

// nominees returns the controllers to nominate for a shard that has been without a leader for some
// time: the one at the address of the last leader, if it is linked, and the others in turn by rank.
// Only a process on the last leader's box can take the lease over before it expires.
func nominees(links []*controllerLink, s quota.Shard, former string, missing time.Duration) []*controllerLink {
	links = slices.Clone(links)
	slices.SortFunc(links, func(a, b *controllerLink) int { return cmp.Compare(shardRank(s, b), shardRank(s, a)) })
	next := links[int(missing/nominationTime)%len(links)]
	i := slices.IndexFunc(links, func(l *controllerLink) bool { return l.address == former })
	switch {
	case i < 0:
		return []*controllerLink{next}
	case missing < formerLeaderTime || links[i] == next:
		return []*controllerLink{links[i]}
	default:
		return []*controllerLink{links[i], next}
	}
}

// former returns the address of the controller that led a shard last; empty if none is known.
func (q *quotaLeaders) former(s quota.Shard) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.byShard[s].former
}
