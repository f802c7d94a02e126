package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// entryHostLog has a prefixed line of request q1, lines of another request and of no request, and two malformed lines.
const entryHostLog = `   2.210 h1 {"level":"info","ts":"2026-05-15T04:12:56.210Z","logger":"coord","msg":"request forwarded","host":"h1","request":"q1","coordinator":"h2","status":502}
{"level":"info","ts":"2026-05-15T04:12:50.000Z","logger":"follow","msg":"configuration is in force","host":"h1","version":7}
{"level":"info","ts":"2026-05-15T04:12:30.000Z","logger":"follow","msg":"long before","host":"h1"}
{"level":"info","ts":"2026-05-15T04:12:51.000Z","logger":"relay","msg":"request answered","host":"h1","request":"other"}
cut off in the mid
{"level":"info","ts":"2026-05-15T04:1`

// coordinatorHostLog has one line of request q1, whose time precedes that of the line in entryHostLog.
const coordinatorHostLog = `{"level":"info","ts":"2026-05-15T04:12:56.205Z","logger":"relay","msg":"request answered","host":"h2","request":"q1","outcome":"failed","ms":36}
`

// withLogs runs f with the names of the log files of two hosts and of one file that doesn't exist.
func withLogs(t *testing.T, f func(files []string)) {
	dir := t.TempDir()
	entry, coordinator := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	require.NoError(t, os.WriteFile(entry, []byte(entryHostLog), 0o600))
	require.NoError(t, os.WriteFile(coordinator, []byte(coordinatorHostLog), 0o600))
	f([]string{entry, filepath.Join(dir, "absent"), coordinator})
}

func TestTracePrintsLinesInTimeOrder(t *testing.T) {
	withLogs(t, func(files []string) {
		code, out, stderr := runCommand(append([]string{"trace", "q1"}, files...)...)
		require.Equal(t, ExitOK, code, stderr)
		lines := strings.Split(strings.TrimSpace(out), "\n")
		require.Len(t, lines, 2)
		require.Equal(t, "04:12:56.205 h2 relay: request answered ms=36 outcome=failed", lines[0])
		require.Contains(t, lines[1], "h1 coord: request forwarded coordinator=h2 status=502")
		require.Contains(t, stderr, "skipped 2 malformed log lines")
		require.Contains(t, stderr, "absent")
	})
}

func TestTraceAroundIncludesPrecedingHostState(t *testing.T) {
	withLogs(t, func(files []string) {
		_, out, _ := runCommand(append([]string{"trace", "--around", "q1"}, files...)...)
		require.Contains(t, out, "configuration is in force version=7")
		require.NotContains(t, out, "long before")
		require.NotContains(t, out, "other")
	})
}

func TestTraceOfAnUnknownRequest(t *testing.T) {
	withLogs(t, func(files []string) {
		code, _, stderr := runCommand(append([]string{"trace", "nobody"}, files...)...)
		require.Equal(t, ExitFailed, code)
		require.Contains(t, stderr, "no log line of request")
	})
}
