package fleet

import "slices"

// insertSorted adds v to a sorted list unless it is there.
func insertSorted(list []string, v string) []string {
	i, found := slices.BinarySearch(list, v)
	if found {
		return list
	}
	return slices.Insert(list, i, v)
}

// removeSorted takes v out of a sorted list and reports whether it was there.
func removeSorted(list []string, v string) ([]string, bool) {
	i, found := slices.BinarySearch(list, v)
	if !found {
		return list, false
	}
	return slices.Delete(list, i, i+1), true
}
