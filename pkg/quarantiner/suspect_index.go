package quarantiner

import "slices"

// suspectIndex finds the crashes of a suspect.
type suspectIndex struct {
	crashes map[Key][]*crashRecord
	// repeated are the keys with more than one crash.
	repeated map[Key]struct{}
	// size is the number of suspects of all crashes.
	size int
}

func newSuspectIndex() suspectIndex {
	return suspectIndex{crashes: map[Key][]*crashRecord{}, repeated: map[Key]struct{}{}}
}

func (x *suspectIndex) add(k Key, r *crashRecord) {
	x.crashes[k] = append(x.crashes[k], r)
	x.size++
	if len(x.crashes[k]) > 1 {
		x.repeated[k] = struct{}{}
	}
}

func (x *suspectIndex) remove(k Key, r *crashRecord) {
	i := slices.Index(x.crashes[k], r)
	if i < 0 {
		return
	}
	x.size--
	x.crashes[k] = slices.Delete(x.crashes[k], i, i+1)
	switch len(x.crashes[k]) {
	case 0:
		delete(x.crashes, k)
	case 1:
		delete(x.repeated, k)
	}
}
