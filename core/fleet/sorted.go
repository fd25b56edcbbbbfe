package fleet

import "slices"

// insertSorted inserts v into a sorted list unless the list contains it.
func insertSorted(list []string, v string) []string {
	i, found := slices.BinarySearch(list, v)
	if found {
		return list
	}
	return slices.Insert(list, i, v)
}

// removeSorted removes v from a sorted list and reports whether the list contained it.
func removeSorted(list []string, v string) ([]string, bool) {
	i, found := slices.BinarySearch(list, v)
	if !found {
		return list, false
	}
	return slices.Delete(list, i, i+1), true
}
