package crashguard

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// leastUseful returns the crash that says least: the oldest one without suspect parts, or else, of the crashes with the same parts that are
// most, the one that is closest to its predecessor. Crashes in quick succession would otherwise drive out those that are needed as separate
// ones.
func leastUseful(crashes map[crashKey]Crash) crashKey {
	groups := map[string][]crashKey{}
	for key, crash := range crashes {
		parts := strings.Join(crash.Parts, "\x00")
		groups[parts] = append(groups[parts], key)
	}
	if without := groups[""]; len(without) > 0 {
		sortByTime(without, crashes)
		return without[0]
	}
	largest := slices.MaxFunc(slices.Sorted(maps.Keys(groups)), func(a, b string) int { return cmp.Compare(len(groups[a]), len(groups[b])) })
	group := groups[largest]
	sortByTime(group, crashes)
	chosen, smallestGap := group[0], time.Duration(-1)
	for i := 1; i < len(group); i++ {
		if gap := crashes[group[i]].At.Sub(crashes[group[i-1]].At); smallestGap < 0 || gap <= smallestGap {
			chosen, smallestGap = group[i], gap
		}
	}
	return chosen
}

// sortByTime sorts the keys of crashes by their times.
func sortByTime(keys []crashKey, crashes map[crashKey]Crash) {
	slices.SortFunc(keys, func(a, b crashKey) int {
		return cmp.Or(crashes[a].At.Compare(crashes[b].At), cmp.Compare(a.server, b.server), cmp.Compare(a.request, b.request))
	})
}
