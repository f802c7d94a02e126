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

var metric = regexp.MustCompile(`\.(?:Counter|Gauge|Timer|Histogram)\("([a-z_]+)"`)

// namesMade returns the metrics that a package makes.
func namesMade(t *testing.T, scope string) map[string]bool {
	made := map[string]bool{}
	files, err := filepath.Glob(filepath.Join("..", scope, "*.go"))
	require.NoError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		for _, m := range metric.FindAllStringSubmatch(string(source), -1) {
			made[scope+"_"+m[1]] = true
		}
	}
	return made
}

// TestMetricsOfTheFrontRoleAreDescribed holds the list to what the packages make, both ways.
func TestMetricsOfTheFrontRoleAreDescribed(t *testing.T) {
	made := map[string]bool{}
	for _, scope := range []string{"relay", "coord", "follow", "pool"} {
		maps.Copy(made, namesMade(t, scope))
	}
	// The gauges of what a host believes are made where it is put together.
	for name := range namesMade(t, "front") {
		name = strings.TrimPrefix(name, "front_")
		switch name {
		case "limits_share":
			made["relay_"+name] = true
		case "cut_off":
			made["front_"+name] = true
		case "calls":
			made["store_"+name] = true
		default:
			made["follow_"+name] = true
		}
	}
	described := map[string]bool{}
	for _, m := range meter.Metrics {
		described[m.Name] = true
	}
	require.Equal(t, made, described)
}

// TestMetricsPageNamesEveryMetric reads the names where they are made, so that the operators' page can't fall behind.
func TestMetricsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	require.NoError(t, err)
	found := 0
	for _, scope := range []string{"entry", "query", "order", "keeper", "peers", "spread"} {
		for name := range namesMade(t, scope) {
			found++
			require.True(t, strings.Contains(string(page), "`"+name), name)
		}
	}
	require.Greater(t, found, 20)
}
