package tree

import "encoding/json"

// OutOfServiceList holds the data centres that one level takes out of service.
type OutOfServiceList struct {
	Path        Path
	Datacentres []string
}

// OutOfServiceLists returns the list of each level that sets one, sorted by path.
func (t *Tree) OutOfServiceLists() ([]OutOfServiceList, error) {
	var lists []OutOfServiceList
	for _, p := range t.Paths() {
		value, found := t.levels[p]["out"]
		if !found {
			continue
		}
		l := OutOfServiceList{Path: p}
		if err := json.Unmarshal(value, &l.Datacentres); err != nil {
			return nil, err
		}
		lists = append(lists, l)
	}
	return lists, nil
}
