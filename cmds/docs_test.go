package cmds

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGeneratedPagesAreCommitted(t *testing.T) {
	for page, file := range map[string]string{pageCLI: "../docs/CLI.md", pageSettings: "../docs/SETTINGS.md", pageMetrics: "../docs/METRICS.md"} {
		code, out, stderr := runCommand("docs", page)
		require.Equal(t, ExitOK, code, stderr)
		committed, err := os.ReadFile(file)
		require.NoError(t, err)
		require.True(t, out == string(committed), "%s differs: run go generate ./cmds", file)
	}
}

func TestAPIPageContainsRefusalsTable(t *testing.T) {
	committed, err := os.ReadFile("../docs/API.md")
	require.NoError(t, err)
	require.True(t, strings.Contains(string(committed), refusalsTable()), "paste the output of kingcupcross docs refusals into docs/API.md")
}

func TestEveryExitCodeHasText(t *testing.T) {
	require.Len(t, exitCodeTexts, ExitPending+1)
	for _, text := range exitCodeTexts {
		require.NotEmpty(t, text)
	}
}
