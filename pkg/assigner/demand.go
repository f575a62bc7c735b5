package assigner

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// levelsPerDoubling is the number of levels in which demand doubles. Entries whose sums
	// differ by less than a tenth mostly agree on the level.
	levelsPerDoubling = 3
	// levelTolerance is how far a demand may be from its level, in levels, before the level
	// changes. Half a level is the nearest one; more keeps a demand near the edge from
	// changing it back and forth.
	levelTolerance = 0.8
	// evenTolerance is how far demands may be from the median, in levels, to count as even: a
	// third. Of 50 arrivals in the second over which demand is averaged, chance is a tenth to a
	// fifth, since their slot times differ.
	evenTolerance = 1.2
	// lowestShare is the least share of the mean demand for which an entry gets homes: callers
	// come to an entry within the time in which homes follow.
	lowestShare = 0.25
	// weightUnit is the weight of the lowest level; it makes the weights whole numbers, which
	// all entries divide alike.
	weightUnit = 1 << 8
	// maxLevel is the level of a million slots, more than any entry can use.
	maxLevel = 60
	// borrowedUse is the share of its slots that a region uses before it borrows, and keeps
	// when it lends.
	borrowedUse = 0.9
	// maxDemand bounds the demand of one entry, as a multiple of the slots of all endpoints: no
	// callers need more than what a lasting overload of 2.0 at one entry is.
	maxDemand = 2.0
)

// Levels returns the level of each entry's demand. heard is the demand in slots of the entries
// that it is known of, and known are all others: they have the mean level of those. slots are
// those of all endpoints, and last are the levels so far.
//
// Demands near the median have its level: they differ by chance, and entries that each
// measure somewhat else would disagree on homes that are not worth a move.
func Levels(heard map[string]float64, known []string, slots float64, last map[string]int) map[string]int {
	demands := make(map[string]float64, len(heard)+len(known))
	sum := 0.0
	// In a fixed order, as the sum of the same demands has to be the same at all entries.
	for _, name := range slices.Sorted(maps.Keys(heard)) {
		demands[name] = min(heard[name], maxDemand*slots)
		sum += demands[name]
	}
	for _, name := range known {
		if _, ok := heard[name]; !ok {
			demands[name] = sum / float64(max(len(heard), 1))
		}
	}
	center, lastCenter := median(slices.Sorted(maps.Values(demands))), -1
	if len(last) > 0 {
		sorted := slices.Sorted(maps.Values(last))
		lastCenter = sorted[len(sorted)/2]
	}
	base := Level(center, lastCenter)
	levels := make(map[string]int, len(demands))
	for name, demand := range demands {
		previous, ok := last[name]
		if !ok {
			previous = -1
		}
		tolerance := evenTolerance
		if ok && previous != lastCenter {
			tolerance = levelTolerance
		}
		if levels[name] = Level(demand, previous); math.Abs(exactLevel(demand)-exactLevel(center)) <= tolerance {
			levels[name] = base
		}
	}
	return levels
}

// median returns the median of sorted demands; of two, the one with the same ratio to both.
func median(sorted []float64) float64 {
	n := len(sorted)
	if n == 0 {
		return 0
	}
	return math.Sqrt(sorted[(n-1)/2] * sorted[n/2])
}

// Level returns the level of a demand in slots: 0 for none, one more for each third of a
// doubling. last is the level so far, which is kept while it nearly fits; -1 for none.
func Level(slots float64, last int) int {
	exact := exactLevel(slots)
	if last >= 0 && math.Abs(exact-float64(last)) <= levelTolerance {
		return last
	}
	return int(math.Round(exact))
}

// exactLevel returns the level of a demand in slots before it is rounded.
func exactLevel(slots float64) float64 {
	if slots <= 1 {
		return 0
	}
	return min(1+levelsPerDoubling*math.Log2(slots), maxLevel)
}

// weights returns the weight of each entry by name, and the slots that they stand for.
func weights(entries []Entry) (byName map[string]int, unit float64) {
	levels := map[string]int{}
	sum := 0.0
	for _, e := range entries {
		levels[e.Name] = min(max(e.Level, 0), maxLevel)
		sum += levelSlots(levels[e.Name])
	}
	lowest := Level(lowestShare*sum/float64(max(len(entries), 1)), -1)
	byName = make(map[string]int, len(entries))
	for name, level := range levels {
		byName[name] = int(math.Round(weightUnit * levelSlots(max(level, lowest))))
	}
	return byName, 1.0 / weightUnit
}

// levelSlots returns the demand of a level in slots.
func levelSlots(level int) float64 {
	if level <= 0 {
		return 0.5
	}
	return math.Exp2(float64(level-1) / levelsPerDoubling)
}

// hasEqualLevels reports whether all entries have the same demand.
func hasEqualLevels(entries []Entry) bool {
	return !slices.ContainsFunc(entries, func(e Entry) bool { return e.Level != entries[0].Level })
}

// borrow assigns endpoints of regions with slots to spare to entries of regions whose demand
// exceeds their slots. It returns the endpoints without those.
func borrow(homes map[string]string, entries []Entry, endpoints []Endpoint, byName map[string]int, unit float64) []Endpoint {
	demand, slots := map[string]float64{}, map[string]float64{}
	names := map[string][]string{}
	count := map[string]int{}
	for _, e := range entries {
		demand[e.Region] += float64(byName[e.Name]) * unit
		names[e.Region] = append(names[e.Region], e.Name)
	}
	for _, e := range endpoints {
		slots[e.Region] += borrowedUse * float64(e.Slots)
		count[e.Region]++
	}
	if !lacksSlots(demand, slots) {
		return endpoints
	}
	left := slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, region := range slices.Sorted(maps.Keys(demand)) {
		var borrowed []string
		left = slices.DeleteFunc(left, func(e Endpoint) bool {
			use := borrowedUse * float64(e.Slots)
			isSpare := e.Region != region && len(names[e.Region]) > 0 && count[e.Region] > len(names[e.Region]) && slots[e.Region]-use >= demand[e.Region]
			// Part of an endpoint is not worth the way between regions.
			if !isSpare || use <= 0 || demand[region]-slots[region] < use {
				return false
			}
			slots[e.Region] -= use
			count[e.Region]--
			slots[region] += use
			borrowed = append(borrowed, e.ID)
			return true
		})
		if len(borrowed) > 0 {
			assignByWeight(homes, names[region], borrowed, byName, true)
		}
	}
	return left
}

// lacksSlots reports whether the demand of a region exceeds its slots.
func lacksSlots(demand, slots map[string]float64) bool {
	for region, d := range demand {
		if d > slots[region] {
			return true
		}
	}
	return false
}

// assignByWeight assigns each entry a number of endpoints by its weight. With equal weights
// that is its run; other weights move as few endpoints as possible out of the runs. Entries
// may get none if mayBeFew is set.
func assignByWeight(homes map[string]string, names, ids []string, byName map[string]int, mayBeFew bool) {
	if len(names) == 0 || len(ids) == 0 || !mayBeFew && len(ids) < len(names) {
		return
	}
	sortByHash(names)
	sortByHash(ids)
	runs := make([][]string, len(names))
	for i, id := range ids {
		k := i * len(names) / len(ids)
		runs[k] = append(runs[k], id)
	}
	counts := countsByWeight(names, len(ids), byName, runs, mayBeFew)
	var moved []string
	for k, run := range runs {
		kept := min(len(run), counts[k])
		for _, id := range run[:kept] {
			homes[id] = names[k]
		}
		moved = append(moved, run[kept:]...)
		counts[k] -= kept
	}
	// Each endpoint goes to the entry that it ranks first, so that one that moves more or less
	// hardly affects where the others go.
	hashes := make([]uint64, len(names))
	for k, name := range names {
		hashes[k] = xxhash.Sum64String(name)
	}
	for _, id := range moved {
		best, highest, idHash := -1, uint64(0), xxhash.Sum64String(id)
		for k := range names {
			if r := rank(idHash, hashes[k]); counts[k] > 0 && (best < 0 || r > highest) {
				best, highest = k, r
			}
		}
		homes[id] = names[best]
		counts[best]--
	}
}

// countsByWeight splits n endpoints by weight. What is left after whole numbers goes to the
// largest remainders, of equal ones to the longest run, and then in the order of the names.
func countsByWeight(names []string, n int, byName map[string]int, runs [][]string, mayBeFew bool) []int {
	counts, remainders, order := make([]int, len(names)), make([]int, len(names)), make([]int, len(names))
	total, left := 0, n
	for _, name := range names {
		total += byName[name]
	}
	least := 1
	if mayBeFew {
		least = 0
	}
	for k, name := range names {
		counts[k], remainders[k], order[k] = n*byName[name]/total, n*byName[name]%total, k
		if counts[k] < least {
			counts[k], remainders[k] = least, 0
		}
		left -= counts[k]
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(remainders[b], remainders[a]), cmp.Compare(len(runs[b]), len(runs[a])))
	})
	for i := 0; left > 0; i = (i + 1) % len(order) {
		counts[order[i]]++
		left--
	}
	// The least count of some may have used more than there are.
	for left < 0 {
		largest := slices.Index(counts, slices.Max(counts))
		counts[largest]--
		left++
	}
	return counts
}

// rank orders the entries for an endpoint by the hashes of both. It mixes them as SplitMix64 does.
func rank(id, name uint64) uint64 {
	x := id ^ bits.RotateLeft64(name, 32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
