// Package rendezvous assigns keys to members by highest random weight, so that a member that comes or goes moves only the
// keys that it gains or had.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a member for a key.
func Weight(key, member string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(member)
	return hash.Sum64()
}

// Owner returns the member with the highest weight for the key, or "" if there are none.
func Owner(key string, members []string) string {
	owner, highest := "", uint64(0)
	for _, member := range members {
		weight := Weight(key, member)
		if owner == "" || weight > highest || weight == highest && member < owner {
			owner, highest = member, weight
		}
	}
	return owner
}

// Sort orders the members by falling weight for the key.
func Sort(key string, members []string) {
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
}
