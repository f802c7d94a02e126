package tree

import (
	"encoding/json"
	"fmt"
)

// snapshot is the JSON encoding of a whole tree, sent between hosts and kept in the store.
type snapshot struct {
	N      uint64         `json:"n"`
	Last   string         `json:"last"`
	Levels map[Path]Level `json:"levels"`
}

// Encode returns the tree as JSON.
func (t *Tree) Encode() ([]byte, error) {
	return json.Marshal(snapshot{N: t.ChangeNumber, Last: t.LastChangeID, Levels: t.levels})
}

// Decode decodes a tree that Encode wrote; it fails if the tree doesn't pass the checks.
func Decode(b []byte) (*Tree, error) {
	var s snapshot
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, err
	}
	if s.N == 0 || s.Last == "" {
		return nil, fmt.Errorf("snapshot: n and last must be given")
	}
	t := Empty()
	t.ChangeNumber, t.LastChangeID = s.N, s.Last
	for p, l := range s.Levels {
		if len(l) > 0 {
			t.levels[p] = l
		}
	}
	if problems := t.Check(); len(problems) > 0 {
		return nil, problems[0]
	}
	return t, nil
}
