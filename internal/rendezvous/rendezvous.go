// Package rendezvous implements rendezvous hashing (highest random weight). When a member joins or leaves, only the keys that
// it gains or loses are assigned to another member.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the hash that serves as the weight of a member for a key. It is the same in every process.
func Weight(key, member string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(member)
	return hash.Sum64()
}

// Owner returns the member with the highest weight for the key, or "" if there are no members. Ties go to the smaller
// member.
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

// Sort sorts the members in place by descending weight for the key. Ties go to the smaller member.
func Sort(key string, members []string) {
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
}
