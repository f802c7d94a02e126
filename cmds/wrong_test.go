package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/conf"
)

// marker names on a line of a fixture what is to be found there.
const marker = "// wrong: "

// wanted is one finding that a fixture names.
type wanted struct {
	line int
	text string
}

func wantedIn(t *testing.T, file string) (all []wanted) {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	for i, line := range strings.Split(string(text), "\n") {
		if _, what, found := strings.Cut(line, marker); found {
			all = append(all, wanted{line: i + 1, text: what})
		}
	}
	return all
}

func runIt(args ...string) (code int, out, problems string) {
	var o, p bytes.Buffer
	code = Run(args, &o, &p)
	return code, o.String(), p.String()
}

func TestWrongSettingsAreFoundAtTheirLines(t *testing.T) {
	files, err := filepath.Glob("../_fixtures/wrong/*.jsonc")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 24)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			kind := kindTree
			if strings.HasPrefix(filepath.Base(file), "host-") {
				kind = kindHost
			}
			want := wantedIn(t, file)
			require.NotEmpty(t, want)
			code, out, _ := runIt("settings", "check", "--json", "--kind", kind, file)
			require.Equal(t, ExitSettings, code)
			var found []conf.Error
			require.NoError(t, json.Unmarshal([]byte(out), &found))
			require.Len(t, found, len(want), out)
			for i, f := range found {
				require.Equal(t, want[i].line, f.Line, f.Error())
				require.Contains(t, f.Text, want[i].text)
			}
			_, _, problems := runIt("settings", "check", "--kind", kind, file)
			for _, w := range want {
				require.Contains(t, problems, fmt.Sprintf("%s:%d: ", filepath.Base(file), w.line))
			}
		})
	}
}

func TestTooLargeTreeIsRefused(t *testing.T) {
	var b strings.Builder
	b.WriteString("{\"organisation\": \"saltlade\", \"regions\": {\"fyn\": {\"services\": {\n")
	for i := range 20000 {
		fmt.Fprintf(&b, "  \"desk-%d\": {\"settings\": {\"deadline\": \"2s\", \"coverage\": 0.5}},\n", i)
	}
	b.WriteString("}}}}\n")
	file := filepath.Join(t.TempDir(), "large.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(b.String()), 0o600))
	code, _, problems := runIt("settings", "check", file)
	require.Equal(t, ExitSettings, code)
	require.Contains(t, problems, "large.jsonc:1: ")
	require.Contains(t, problems, "too large for the store")
}

func TestExamplesPassTheCheck(t *testing.T) {
	files, err := filepath.Glob("../_fixtures/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		code, out, problems := runIt("settings", "check", file)
		require.Equal(t, ExitOK, code, problems)
		require.Contains(t, out, "is good")
	}
}
