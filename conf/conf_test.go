package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHostFileIsReadWithItsDefaults(t *testing.T) {
	name := filepath.Join(t.TempDir(), "host.jsonc")
	require.NoError(t, os.WriteFile(name, []byte(`// A host.
{
  "name": "aarhus-h1", "region": "jylland", "datacentre": "aarhus",
  "callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3", "platform": "127.0.0.1:4",
  "log": {"keeper": "debug"}, // a comma at the end is good
}`), 0o600))
	h, err := LoadHost(name)
	require.NoError(t, err)
	require.Equal(t, "aarhus", h.Datacentre)
	require.Equal(t, 30*time.Second, h.Grace.D())
	require.Equal(t, uint16(3), h.Admin.Port())
}

func TestHostFieldsDescribeBounds(t *testing.T) {
	for _, f := range HostFields() {
		require.NotEmpty(t, f.Doc, f.Key)
		if f.Key == "grace" {
			require.Equal(t, "30s", f.Default)
			require.Equal(t, "1s to 10m", f.Bounds)
		}
	}
}

func TestKeysAreCaseSensitive(t *testing.T) {
	f, err := Parse("f", []byte("{\n\"Name\": \"x\"}"))
	require.NoError(t, err)
	found := Findings(f.Decode(&Host{}))
	require.Len(t, found, 1)
	require.Equal(t, 2, found[0].Line)
	require.Contains(t, found[0].Error(), "f:2: Name = \"x\": unknown key")
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"{}", "{", "", "null", "[]", `{"name": "a", "log": {"keeper": "debug"}}`, "{\"a\": \"x\n}", "// c\n{\"seeds\": [1, null, \"a\"]}",
		`{"name": 1, "name": 2}`, `{"grace": "1s", "callers": "127.0.0.1:1"}`, `{"a/b~": {"c": []}}`, "{\"\\u0041\": \"\\q\"}",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		lines := 1 + strings.Count(string(text), "\n")
		file, err := Parse("f", text)
		if err == nil {
			h := &Host{}
			if err = file.Decode(h); err == nil {
				file.checkHost(h)
			}
		}
		for _, e := range Findings(err) {
			require.GreaterOrEqual(t, e.Line, 1)
			require.LessOrEqual(t, e.Line, lines)
			require.NotEmpty(t, e.Text)
		}
	})
}
