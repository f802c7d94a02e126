package tree

import "encoding/json"

// OutList is the list of data centres that one level says are out of service.
type OutList struct {
	Path        Path
	Datacentres []string
}

// OutLists returns the lists of all levels that have one, in the order of their paths.
func (t *Tree) OutLists() ([]OutList, error) {
	var all []OutList
	for _, p := range t.Paths() {
		value, found := t.levels[p]["out"]
		if !found {
			continue
		}
		l := OutList{Path: p}
		if err := json.Unmarshal(value, &l.Datacentres); err != nil {
			return nil, err
		}
		all = append(all, l)
	}
	return all, nil
}
