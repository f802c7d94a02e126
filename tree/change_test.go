package tree

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestApplyAcceptsExactlyTheValidChanges checks that Apply, which only looks at the levels that a change affects, accepts exactly the changes after which Check finds nothing, over 3000 random changes.
func TestApplyAcceptsExactlyTheValidChanges(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	paths := []Path{"org", "org/r1", "org/r2", "org/r1/s1", "org/r1/s2", "org/r2/s1", "other", "other/r1"}
	values := map[string][]string{
		"deadline": {`"100ms"`, `"1s"`, `"50s"`, `"2000s"`},
		"longest":  {`"500ms"`, `"30s"`, `"300s"`},
		"prefer":   {`"latency"`, `"coverage"`},
		"tail":     {`"190ms"`, `"2s"`},
		"queue":    {"7", `"seven"`},
		"out":      {`["a"]`},
	}
	keys := []string{"deadline", "longest", "prefer", "tail", "queue", "out"}
	current, accepted, refused := Empty(), 0, 0
	for range 3000 {
		c := Change{N: current.ChangeNumber + 1, ID: "id", Author: "op", Reason: "test"}
		for range 1 + r.IntN(3) {
			k := keys[r.IntN(len(keys))]
			o := Op{Path: paths[r.IntN(len(paths))], Key: k}
			if r.IntN(3) > 0 {
				o.After = json.RawMessage(values[k][r.IntN(len(values[k]))])
			}
			c.Ops = append(c.Ops, o)
		}
		expected := current.clone()
		for _, o := range c.Ops {
			expected.applyOp(o)
		}
		before := slices.Clone(current.Paths())
		next, err := current.Apply(c)
		require.Equal(t, len(expected.Check()) == 0, err == nil, "%+v", c.Ops)
		require.Equal(t, before, current.Paths(), "Apply must not modify the tree it is called on")
		if err != nil {
			refused++
			continue
		}
		accepted++
		current = next
		encoded, err := current.Encode()
		require.NoError(t, err)
		decoded, err := Decode(encoded)
		require.NoError(t, err)
		require.Empty(t, current.Diff(decoded))
	}
	require.Greater(t, accepted, 300)
	require.Greater(t, refused, 300)
}
