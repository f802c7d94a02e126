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

// findingMarker starts a comment on a line of a fixture that states the finding expected there.
const findingMarker = "// wrong: "

// expectedFinding is a finding that a fixture states in a comment.
type expectedFinding struct {
	line int
	text string
}

// expectedFindings returns the findings that a fixture states.
func expectedFindings(t *testing.T, file string) (all []expectedFinding) {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	for i, line := range strings.Split(string(text), "\n") {
		if _, finding, found := strings.Cut(line, findingMarker); found {
			all = append(all, expectedFinding{line: i + 1, text: finding})
		}
	}
	return all
}

// runCommand runs the command line in this process and returns its exit code and output.
func runCommand(args ...string) (code int, stdout, stderr string) {
	var stdoutBuffer, stderrBuffer bytes.Buffer
	code = Run(args, &stdoutBuffer, &stderrBuffer)
	return code, stdoutBuffer.String(), stderrBuffer.String()
}

func TestInvalidSettingsAreReportedWithLineNumbers(t *testing.T) {
	files, err := filepath.Glob("../_fixtures/wrong/*.jsonc")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 24)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			kind := kindTree
			if strings.HasPrefix(filepath.Base(file), "host-") {
				kind = kindHost
			}
			want := expectedFindings(t, file)
			require.NotEmpty(t, want)
			code, out, _ := runCommand("settings", "check", "--json", "--kind", kind, file)
			require.Equal(t, ExitInvalid, code)
			var found []conf.Error
			require.NoError(t, json.Unmarshal([]byte(out), &found))
			require.Len(t, found, len(want), out)
			for i, f := range found {
				require.Equal(t, want[i].line, f.Line, f.Error())
				require.Contains(t, f.Text, want[i].text)
			}
			_, _, stderr := runCommand("settings", "check", "--kind", kind, file)
			for _, w := range want {
				require.Contains(t, stderr, fmt.Sprintf("%s:%d: ", filepath.Base(file), w.line))
			}
		})
	}
}

func TestOversizedTreeIsRefused(t *testing.T) {
	var b strings.Builder
	b.WriteString("{\"organisation\": \"saltlade\", \"regions\": {\"fyn\": {\"services\": {\n")
	for i := range 20000 {
		fmt.Fprintf(&b, "  \"desk-%d\": {\"settings\": {\"deadline\": \"2s\", \"coverage\": 0.5}},\n", i)
	}
	b.WriteString("}}}}\n")
	file := filepath.Join(t.TempDir(), "large.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(b.String()), 0o600))
	code, _, stderr := runCommand("settings", "check", file)
	require.Equal(t, ExitInvalid, code)
	require.Contains(t, stderr, "large.jsonc:1: ")
	require.Contains(t, stderr, "too large for the store")
}

func TestExamplesPassTheCheck(t *testing.T) {
	files, err := filepath.Glob("../_fixtures/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		code, out, stderr := runCommand("settings", "check", file)
		require.Equal(t, ExitOK, code, stderr)
		require.Contains(t, out, "is good")
	}
}
