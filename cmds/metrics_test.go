package cmds

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var metric = regexp.MustCompile(`\.(?:Counter|Gauge|Timer|Histogram)\("([a-z_]+)"`)

// TestMetricsPageNamesEveryMetric reads the names where they are made, so that the operators' page can't fall behind.
func TestMetricsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	require.NoError(t, err)
	found := 0
	for _, scope := range []string{"entry", "query", "order", "keeper", "peers", "spread"} {
		files, err := filepath.Glob(filepath.Join("..", scope, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			source, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, m := range metric.FindAllStringSubmatch(string(source), -1) {
				found++
				require.True(t, strings.Contains(string(page), "`"+scope+"_"+m[1]), "%s_%s of %s", scope, m[1], file)
			}
		}
	}
	require.Greater(t, found, 20)
}
