package tree

import "encoding/json"

// OutList holds the data centres that one level takes out of service.
type OutList struct {
	Path        Path
	Datacentres []string
}

// OutLists returns the list of each level that sets one, sorted by path.
func (t *Tree) OutLists() ([]OutList, error) {
	var lists []OutList
	for _, p := range t.Paths() {
		value, found := t.levels[p]["out"]
		if !found {
			continue
		}
		l := OutList{Path: p}
		if err := json.Unmarshal(value, &l.Datacentres); err != nil {
			return nil, err
		}
		lists = append(lists, l)
	}
	return lists, nil
}
