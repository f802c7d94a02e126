package tree

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"kingcupcross/conf"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261203"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawnValues holds values for each key of drawnKeys; no combination of them conflicts at any level.
var drawnValues = map[string][]string{
	"extra":    {`0.01`, `0.02`, `0.05`},
	"queue":    {`1`, `64`, `500`},
	"coverage": {`0`, `0.5`, `1`},
	"keyless":  {`true`, `false`},
	"body":     {`"1KiB"`, `"1MiB"`},
}

var drawnKeys = []string{"extra", "queue", "coverage", "keyless", "body"}

// drawnPaths holds an organisation, two regions and two services of each region.
var drawnPaths = []Path{"o", "o/r", "o/s", "o/r/a", "o/r/b", "o/s/a", "o/s/b"}

func drawOp(t *rapid.T) Op {
	o := Op{
		Path: rapid.SampledFrom(drawnPaths).Draw(t, "path"),
		Key:  rapid.SampledFrom(drawnKeys).Draw(t, "key"),
	}
	if rapid.IntRange(0, 3).Draw(t, "remove") > 0 {
		o.After = json.RawMessage(rapid.SampledFrom(drawnValues[o.Key]).Draw(t, "value"))
	}
	return o
}

func drawChange(t *rapid.T, n uint64, last string) Change {
	return Change{
		N:      n,
		ID:     fmt.Sprint("id", n),
		Prev:   last,
		Author: "a",
		Reason: "r",
		Ops:    rapid.SliceOfN(rapid.Custom(drawOp), 1, 4).Draw(t, "ops"),
	}
}

// TestSettingsInheritFromHigherLevels compares the tree after random changes with a plain map of the values set at each level.
func TestSettingsInheritFromHigherLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := map[Path]map[string]string{}
		current := Empty()
		for n := range rapid.IntRange(1, 12).Draw(t, "changes") {
			originsBefore, numberBefore := current.Origins("o/r/a"), current.ChangeNumber
			old := current
			c := drawChange(t, uint64(n+1), current.LastChangeID)
			next, err := current.Apply(c)
			require.NoError(t, err)
			for _, o := range c.Ops {
				if set[o.Path] == nil {
					set[o.Path] = map[string]string{}
				}
				if delete(set[o.Path], o.Key); o.After != nil {
					set[o.Path][o.Key] = string(o.After)
				}
			}
			require.Equal(t, originsBefore, old.Origins("o/r/a"), "Apply must not modify the tree it is called on")
			require.Equal(t, numberBefore, old.ChangeNumber)
			current = next
		}
		for _, p := range drawnPaths {
			requireMatchesSetValues(t, set, current, p)
		}
		requireRoundTrips(t, current)
	})
}

// requireMatchesSetValues compares the settings in force at p with those that the map of set values gives.
func requireMatchesSetValues(t *rapid.T, set map[Path]map[string]string, current *Tree, p Path) {
	for _, o := range current.Origins(p) {
		f, _ := lookupField(o.Key)
		want, from := string(f.defaultValue), Path("")
		for _, l := range p.Levels() {
			if v, ok := set[l][o.Key]; ok {
				want, from = v, l
			}
		}
		require.Equal(t, want, string(o.Value), "%s at %s", o.Key, p)
		require.Equal(t, from, o.Level, "%s at %s", o.Key, p)
	}
}

// requireRoundTrips converts the tree to operations, to a settings file and to its encoding, and each of them back to the same tree.
func requireRoundTrips(t *rapid.T, current *Tree) {
	var ops []Op
	ops = append(ops, Empty().Diff(current)...)
	rebuilt := Empty()
	for _, o := range ops {
		rebuilt.applyOp(o)
	}
	require.Equal(t, current.levels, rebuilt.levels, "the operations of Diff must lead to the same tree")
	require.Empty(t, current.Diff(rebuilt))
	if len(current.levels) == 0 {
		return
	}
	f, err := conf.Parse("f", current.Format())
	require.NoError(t, err)
	d, err := ReadDocument(f)
	require.NoError(t, err)
	require.Empty(t, current.Diff(d.Tree), "ReadDocument must read what Format wrote")
	b, err := current.Encode()
	require.NoError(t, err)
	decoded, err := Decode(b)
	require.NoError(t, err)
	require.Empty(t, current.Diff(decoded))
	require.Equal(t, current.ChangeNumber, decoded.ChangeNumber)
}

func TestConflictIsReportedAtTheLowestLevel(t *testing.T) {
	for _, c := range []struct {
		text string
		want []string
	}{
		{
			text: `{"organisation": "o", "settings": {"longest": "500ms", "deadline": "400ms"}, "regions": {"r": {"services": {"a": {"settings": {"deadline": "2s"}}}}}}`,
			want: []string{"regions.r.services.a.settings.deadline"},
		},
		{
			text: `{"organisation": "o", "settings": {"longest": "500ms"}, "regions": {"r": {"settings": {"queue": 1}}}}`,
			want: []string{"settings.longest"},
		},
		{
			text: `{"organisation": "o", "settings": {"tail": "3s"}, "regions": {"r": {"services": {"a": {"settings": {"prefer": "latency"}}}}}}`,
			want: []string{"regions.r.services.a.settings.prefer"},
		},
	} {
		f, err := conf.Parse("f", []byte(c.text))
		require.NoError(t, err)
		_, err = ReadDocument(f)
		var keys []string
		for _, e := range conf.Findings(err) {
			keys = append(keys, e.Key)
		}
		require.Equal(t, c.want, keys)
	}
}

func FuzzDocument(f *testing.F) {
	for _, s := range []string{
		`{"organisation": "o"}`, `{"organisation": "o", "settings": {"extra": 0.1}}`, `{"organisation": "o", "regions": {"r": {"services": {"a": {"settings": {"out": ["x"]}}}}}}`,
		`{"organisation": "o", "settings": {"deadline": 1, "longest": null}}`, `{"organisation": "o", "regions": {"": {}, "a/b": {}}}`, `{"organisation": 1, "regions": []}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := conf.Parse("f", text)
		if err != nil {
			return
		}
		d, err := ReadDocument(file)
		if err != nil {
			require.NotEmpty(t, conf.Findings(err), "%v", err)
			return
		}
		for _, p := range d.Tree.Paths() {
			d.Tree.valuesAt(p)
		}
		formatted, err := conf.Parse("f", d.Tree.Format())
		require.NoError(t, err)
		if len(d.Tree.levels) == 0 {
			return
		}
		reread, err := ReadDocument(formatted)
		require.NoError(t, err)
		require.Empty(t, d.Tree.Diff(reread.Tree))
	})
}

func FuzzChange(f *testing.F) {
	for _, s := range []string{
		`{"n": 1, "id": "x", "author": "a", "reason": "r", "ops": [{"path": "o", "key": "extra", "after": 0.1}]}`,
		`{"n": 1, "id": "x", "author": "a", "reason": "r", "ops": [{"path": "", "key": "", "after": null}]}`,
		`{"n": 1, "id": "x", "author": "a", "reason": "r", "ops": [{"path": "o/r/s/t", "key": "out", "after": [1]}]}`, `{}`, `[]`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var c Change
		if json.Unmarshal(text, &c) != nil {
			return
		}
		next, err := Empty().Apply(c)
		if err != nil {
			return
		}
		for _, p := range next.Paths() {
			next.valuesAt(p)
		}
		b, err := next.Encode()
		require.NoError(t, err)
		_, err = Decode(b)
		require.NoError(t, err)
	})
}

func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"n":3,"last":"c","levels":{"saltlade":{"deadline":"1s"},"saltlade/fyn/dispatch":{"coverage":0.9}}}`,
		`{"n":1,"last":"c","levels":{"a":{},"b":{"out":[]}}}`,
		`{"n":0,"last":""}`,
		`{"n":1,"last":"c","levels":{"saltlade":{"deadline":"1"}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		first, err := Decode(b)
		if err != nil {
			return
		}
		require.Empty(t, first.Check())
		encoded, err := first.Encode()
		require.NoError(t, err)
		second, err := Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, first.ChangeNumber, second.ChangeNumber)
		require.Empty(t, first.Diff(second))
	})
}
