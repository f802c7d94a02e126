package soak

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var guardSeeds = flag.Int("guards", 0, "seeds to run with each guard taken out, which must be caught")

// guards are the checks in the program that enforce its guarantees. Each is disabled by replacing the text from in a file with to;
// message is a part of the violation that the soak test must then report.
var guards = []struct {
	name, file, from, to, message string
}{
	{
		name:    "requests that may not be repeated are sent once",
		file:    "relay/repeat.go",
		from:    "if notRun || q.route.Idempotent {\n",
		to:      "if true {\n",
		message: "ran 2 times",
	},
	{
		name:    "only requests that did not run are answered as not run",
		file:    "relay/outcome.go",
		from:    "if !q.mayHaveRun() {",
		to:      "if true {",
		message: "although it ran",
	},
	{
		name:    "missing parts are reported",
		file:    "relay/outcome.go",
		from:    "Missing: len(q.parts) - q.answered",
		to:      "Missing: 0",
		message: "parts and states that",
	},
	{
		name:    "a draining target gets no requests",
		file:    "platform/target.go",
		from:    "v.State == stateDraining,",
		to:      "v.State == stateDraining && false,",
		message: "after it began to drain",
	},
	{
		name:    "a target that announces that it leaves gets no requests",
		file:    "platform/egress.go",
		from:    `if strings.TrimSpace(value) == "1" {`,
		to:      "if false {",
		message: "after it announced that it leaves",
	},
	{
		name:    "a target that announces Retry-After gets no requests",
		file:    "platform/egress.go",
		from:    "if status == http.StatusServiceUnavailable {",
		to:      "if false {",
		message: "after it announced that it wants no requests",
	},
	{
		name:    "a target that states a rate limit gets no more requests",
		file:    "platform/egress.go",
		from:    "decodeRateLimit(h); malformed",
		to:      "(relay.StatedRate{}), \"\"; malformed",
		message: "stated a rate limit",
	},
	{
		name:    "repeated sub-requests are limited by a budget",
		file:    "relay/budget.go",
		from:    "if k.left < 1 {",
		to:      "if false {",
		message: "arrivals beyond the first",
	},
	{
		name:    "a new configuration is applied",
		file:    "follow/follow.go",
		from:    "if changed {\n",
		to:      "if changed && false {\n",
		message: "hasn't applied version",
	},
	{
		name:    "a graceful stop waits for open requests",
		file:    "front/front.go",
		from:    "s.Shutdown(ctx)",
		to:      "s.Close()",
		message: "was cut off at a graceful stop",
	},
}

// buildWithReplacement builds the program with one text of a source file replaced, and returns the name of the executable.
// The text must occur exactly once in the file.
func buildWithReplacement(t *testing.T, file, from, to string) string {
	dir := t.TempDir()
	original, err := filepath.Abs(filepath.Join("..", file))
	require.NoError(t, err)
	source, err := os.ReadFile(original)
	require.NoError(t, err)
	require.Equal(t, 1, strings.Count(string(source), from), "%s in %s", from, file)
	changed := filepath.Join(dir, "changed.go")
	require.NoError(t, os.WriteFile(changed, []byte(strings.Replace(string(source), from, to, 1)), 0o600))
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{original: changed}})
	require.NoError(t, err)
	overlayFile := filepath.Join(dir, "overlay.json")
	require.NoError(t, os.WriteFile(overlayFile, overlay, 0o600))
	executable := filepath.Join(dir, "kingcupcross")
	out, err := exec.Command("go", "build", "-overlay", overlayFile, "-o", executable, "kingcupcross/cmd/kingcupcross").CombinedOutput()
	require.NoError(t, err, string(out))
	return executable
}

// TestGuards checks for each guard that the soak test detects the violation when the guard is disabled.
// It runs no seeds without the flag -guards and is run by hand, since not every seed detects every violation.
func TestGuards(t *testing.T) {
	for _, g := range guards {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			program := buildWithReplacement(t, g.file, g.from, g.to)
			caught := 0
			for s := range *guardSeeds {
				if strings.Contains(strings.Join(runSeed(t, program, uint64(s+1)), "\n"), g.message) {
					caught++
				}
			}
			t.Logf("caught with %d of %d seeds", caught, *guardSeeds)
			require.True(t, caught > 0 || *guardSeeds == 0)
		})
	}
}
