package cmds

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/meter"
)

// metricPattern matches the creation of a metric and captures its name.
var metricPattern = regexp.MustCompile(`\.(?:Counter|Gauge|Timer|Histogram)\("([a-z_]+)"`)

// metricNamesIn returns the full names of the metrics that a package creates, found in its source text.
func metricNamesIn(t *testing.T, scope string) map[string]bool {
	names := map[string]bool{}
	files, err := filepath.Glob(filepath.Join("..", scope, "*.go"))
	require.NoError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, m := range metricPattern.FindAllStringSubmatch(string(source), -1) {
			names[scope+"_"+m[1]] = true
		}
	}
	return names
}

// TestMetricsOfTheFrontRoleAreDescribed checks that meter.Metrics lists exactly the metrics that the packages of the front role create.
func TestMetricsOfTheFrontRoleAreDescribed(t *testing.T) {
	created := map[string]bool{}
	for _, scope := range []string{"relay", "coord", "follow", "pool", "poison"} {
		maps.Copy(created, metricNamesIn(t, scope))
	}
	// Package front also creates metrics in the scopes of other packages, because it assembles the host from them.
	for name := range metricNamesIn(t, "front") {
		name = strings.TrimPrefix(name, "front_")
		switch name {
		case "limits_share":
			created["relay_"+name] = true
		case "cut_off", "accept_failures", "path_lost", "rejected":
			created["front_"+name] = true
		case "calls":
			created["store_"+name] = true
		default:
			created["follow_"+name] = true
		}
	}
	described := map[string]bool{}
	for _, m := range meter.Metrics {
		described[m.Name] = true
	}
	require.Equal(t, created, described)
}

// TestOperatorsPageNamesEveryMetric checks that docs/OPERATORS.md names every metric that the packages of the host role create.
func TestOperatorsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	require.NoError(t, err)
	found := 0
	for _, scope := range []string{"entry", "query", "order", "keeper", "peers", "spread"} {
		for name := range metricNamesIn(t, scope) {
			found++
			require.True(t, strings.Contains(string(page), "`"+name), name)
		}
	}
	require.Greater(t, found, 20)
}
