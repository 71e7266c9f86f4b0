package gateway

import (
	"time"

	"sandbarrow.example/sandbarrow"
	"sandbarrow.example/sandbarrow/internal/rendezvous"
)

const (
	// firstRankBonus and secondRankBonus are the bonuses of the two engines that are ranked highest for
	// an adapter. They outweigh small differences in load, so that gateways with different views choose
	// the same engine, but not a wait for a slot or for prompts.
	firstRankBonus  = 80 * time.Millisecond
	secondRankBonus = 40 * time.Millisecond
)

// preferRanked decides which engines are preferred for an adapter that no engine has. All gateways rank
// the engines alike. Otherwise gateways that get the first requests for an adapter at the same time
// load it at different engines, and later requests after its eviction load it anew at another engine
// than the one that has it in its memory.
//
// Inputs: the engines that accept work, with their listed ids. The preferred ones get a bonus in their
// cost.
func preferRanked(list []candidate, key sandbarrow.AdapterKey) {
	purpose := rendezvous.HashOf(string(key.Model) + "/" + string(key.Adapter))
	first, second := -1, -1
	var firstRank, secondRank uint64
	for i := range list {
		if !list[i].linked {
			continue
		}
		switch rank := rendezvous.EvenRank(purpose, rendezvous.HashOf(string(list[i].instance.ID.Listed()))); {
		case first < 0 || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = i, rank
		case second < 0 || rank > secondRank:
			second, secondRank = i, rank
		}
	}
	if first >= 0 {
		list[first].cost -= firstRankBonus
	}
	if second >= 0 {
		list[second].cost -= secondRankBonus
	}
}
