package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startLine is the line that a host logs when it starts.
type startLine struct {
	Message string `json:"msg"`
	Version string `json:"version"`
	Build   string `json:"build"`
}

// startLineOf returns a host's first start line.
func startLineOf(h *host) (found startLine, ok bool) {
	text, err := os.ReadFile(h.logFile)
	if err != nil {
		return found, false
	}
	for line := range strings.Lines(string(text)) {
		if json.Unmarshal([]byte(line), &found) == nil && found.Message == "host started" {
			return found, true
		}
	}
	return found, false
}

// TestStartLineNamesTheBuild guards against logs of a run from which nobody can tell which code ran.
func TestStartLineNamesTheBuild(t *testing.T) {
	program, err := buildProgram()
	require.NoError(t, err)
	out, err := exec.Command(program, "version").Output()
	require.NoError(t, err)
	w := newCluster(t, program, false)
	for _, h := range w.hosts {
		require.Eventually(t, func() bool {
			_, ok := startLineOf(h)
			return ok
		}, time.Minute, 20*time.Millisecond)
		line, _ := startLineOf(h)
		require.Equal(t, string(out), "kingcupcross "+line.Version+", build "+line.Build+"\n")
		require.NotContains(t, []string{"", "unknown"}, line.Build)
	}
}
