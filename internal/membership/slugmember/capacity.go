package slugmember

import "slices"

// Capacity is what the host of a process may use; 0 means that it is not known.
type Capacity struct {
	// Cores is the processor time in cores, and LinkMbps the bandwidth in Mbit/s.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// capableShare is the fraction of the largest capacity in a list that makes a host capable.
const capableShare = 0.5

// Capable returns the items of a list whose hosts have at least half of the processor time and
// of the bandwidth of the largest ones, in their order, or all items if fewer than minimum have.
//
// It answers hosts of very different sizes: work for others that a small host is chosen for,
// such as telling twenty hosts of all changes of endpoints, fills its link for seconds, while
// that of the largest is twenty times as wide.
func Capable[T any](list []T, of func(T) Capacity, minimum int) []T {
	var largest Capacity
	for _, x := range list {
		c := of(x)
		largest = Capacity{max(largest.Cores, c.Cores), max(largest.LinkMbps, c.LinkMbps)}
	}
	capable := slices.DeleteFunc(slices.Clone(list), func(x T) bool {
		c := of(x)
		return c.Cores < capableShare*largest.Cores || c.LinkMbps < capableShare*largest.LinkMbps
	})
	if len(capable) < minimum {
		return list
	}
	return capable
}
