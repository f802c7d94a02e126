package cmds

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// lossesLog has lines of six answered requests or parts of them: one without loss, four with losses, of which one has group set, and one whose caller disconnected.
const lossesLog = `{"level":"info","ts":"2026-05-15T04:12:51.000Z","logger":"relay","msg":"request answered","host":"h1","request":"a","route":"r","outcome":"whole","ms":50,"aim":100,"shards":20,"answered":20}
{"level":"info","ts":"2026-05-15T04:12:51.100Z","logger":"relay","msg":"request answered","host":"h1","request":"b","route":"r","outcome":"partial","ms":90,"aim":100,"shards":20,"answered":18,"lost":"budget:1 two:1"}
{"level":"info","ts":"2026-05-15T04:12:51.200Z","logger":"relay","msg":"request answered","host":"h1","request":"c","route":"r","outcome":"partial","ms":150,"aim":100,"shards":20,"answered":19,"lost":"two:1"}
{"level":"info","ts":"2026-05-15T04:12:53.000Z","logger":"relay","msg":"request answered","host":"h2","request":"d","route":"r","outcome":"overload","ms":0,"aim":100,"shards":20,"answered":0}
{"level":"info","ts":"2026-05-15T04:12:53.100Z","logger":"relay","msg":"request answered","host":"h2","request":"d","route":"r","outcome":"partial","ms":10,"aim":100,"shards":10,"answered":9,"lost":"two:1","group":true}
{"level":"info","ts":"2026-05-15T04:12:53.200Z","logger":"relay","msg":"request answered","host":"h2","request":"e","route":"r","outcome":"left","ms":10,"aim":100,"shards":10,"answered":0}
`

// TestLossesAreSummedByReason checks the lost score of each reason: one minus the square of the share of shards for a partial answer in time, the full score for a late or refused one, and nothing for a request whose caller disconnected and for lines with group set, whose losses the delegating host logs.
func TestLossesAreSummedByReason(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(file, []byte(lossesLog), 0o600))
	code, out, stderr := runCommand("losses", file)
	require.Equal(t, ExitOK, code, stderr)
	require.Regexp(t, `- +r +overload +1 +0 +1\.0\n`, out)
	require.Regexp(t, `- +r +late, two +1 +1 +1\.0\n`, out)
	require.Regexp(t, `- +r +budget +1 +1 +0\.1\n`, out)
	require.Regexp(t, `- +r +two +1 +1 +0\.1\n`, out)
	require.Contains(t, out, "5 requests have lines, answers worth 2.2 are lost")
	_, out, _ = runCommand("losses", "--window", "2s", file)
	require.Regexp(t, `04:12:50 +r +late, two`, out)
	require.Regexp(t, `04:12:52 +r +overload`, out)
}

func TestLossesWithoutAnsweredRequests(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(file, []byte("{}\n"), 0o600))
	code, _, stderr := runCommand("losses", file)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "no log line of an answered request found")
}
