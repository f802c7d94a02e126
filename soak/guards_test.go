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

// guards are the checks in the program on which its guarantees rest. Each is disabled by replacing the text from in a file with to;
// promise is a part of the message by which the soak test then reports the violated guarantee.
var guards = []struct {
	name, file, from, to, promise string
}{
	{
		name:    "what may not be repeated is sent once",
		file:    "relay/repeat.go",
		from:    "if notRun || q.route.Idempotent {\n",
		to:      "if true {\n",
		promise: "ran 2 times",
	},
	{
		name:    "not run is said only of what has not",
		file:    "relay/outcome.go",
		from:    "if !q.mayHaveRun() {",
		to:      "if true {",
		promise: "and has run",
	},
	{
		name:    "coverage is stated",
		file:    "relay/outcome.go",
		from:    "Missing: len(q.parts) - q.answered",
		to:      "Missing: 0",
		promise: "parts and states",
	},
	{
		name:    "a leaving target gets nothing",
		file:    "platform/target.go",
		from:    "v.State == stateDraining,",
		to:      "v.State == stateDraining && false,",
		promise: "after it began to drain",
	},
	{
		name:    "a target that says that it leaves gets nothing",
		file:    "platform/egress.go",
		from:    `if strings.TrimSpace(value) == "1" {`,
		to:      "if false {",
		promise: "after it said that it leaves",
	},
	{
		name:    "a target that wants nothing gets nothing",
		file:    "platform/egress.go",
		from:    "if status == http.StatusServiceUnavailable {",
		to:      "if false {",
		promise: "after it said that it wants nothing",
	},
	{
		name:    "repeats are bounded",
		file:    "relay/budget.go",
		from:    "if k.left < 1 {",
		to:      "if false {",
		promise: "arrivals beyond the first",
	},
	{
		name:    "a change of the configuration is read",
		file:    "follow/follow.go",
		from:    "if changed {\n",
		to:      "if changed && false {\n",
		promise: "doesn't know version",
	},
	{
		name:    "a stop waits for requests",
		file:    "front/front.go",
		from:    "s.Shutdown(ctx)",
		to:      "s.Close()",
		promise: "was cut off at a graceful stop",
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

// TestGuards checks that the soak test detects the violated guarantee when a guard is disabled.
// It needs -guards and is run by hand, since not every seed detects every violation.
func TestGuards(t *testing.T) {
	for _, g := range guards {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			program := buildWithReplacement(t, g.file, g.from, g.to)
			caught := 0
			for s := range *guardSeeds {
				if strings.Contains(strings.Join(runSeed(t, program, uint64(s+1)), "\n"), g.promise) {
					caught++
				}
			}
			t.Logf("caught with %d of %d seeds", caught, *guardSeeds)
			require.True(t, caught > 0 || *guardSeeds == 0)
		})
	}
}
