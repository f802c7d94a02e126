package build

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// buildProgram builds a program with the given text in it and returns its file.
func buildProgram(t *testing.T, text string, flags ...string) string {
	dir := t.TempDir()
	source, program := filepath.Join(dir, "main.go"), filepath.Join(dir, "program")
	require.NoError(t, os.WriteFile(source, []byte("package main\n\nfunc main() { println(\""+text+"\") }\n"), 0o600))
	args := append(append([]string{"build"}, flags...), "-o", program, source)
	out, err := exec.Command("go", args...).CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// TestDigestTellsBuildsApart guards against runs of different code that can't be told apart afterwards, because the program named no build.
func TestDigestTellsBuildsApart(t *testing.T) {
	for _, flags := range [][]string{nil, {"-ldflags=-linkmode=external"}, {"-ldflags=-buildid="}} {
		one, same, other := buildProgram(t, "one", flags...), buildProgram(t, "one", flags...), buildProgram(t, "other", flags...)
		require.NotEqual(t, unknown, digestOf(one))
		require.NotEqual(t, digestOf(one), digestOf(other))
		copied := filepath.Join(t.TempDir(), "copy")
		program, err := os.ReadFile(same)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(copied, program, 0o600))
		require.Equal(t, digestOf(same), digestOf(copied))
	}
}

func TestDigestIsThatOfTheGoCommand(t *testing.T) {
	program := buildProgram(t, "one")
	out, err := exec.Command("go", "tool", "buildid", program).Output()
	require.NoError(t, err)
	id := strings.TrimSpace(string(out))
	require.Equal(t, id, buildIDOf(program))
	require.True(t, strings.HasSuffix(id, "/"+strings.TrimPrefix(digestOf(program), "go:")))
}

func TestStampedRevision(t *testing.T) {
	revision := debug.BuildSetting{Key: "vcs.revision", Value: "718acdf"}
	modified := debug.BuildSetting{Key: "vcs.modified", Value: "true"}
	require.Equal(t, "718acdf", revisionOf([]debug.BuildSetting{revision, {Key: "vcs.modified", Value: "false"}}))
	require.Equal(t, "718acdf+changes", revisionOf([]debug.BuildSetting{revision, modified}))
	require.Empty(t, revisionOf([]debug.BuildSetting{modified}))
}

func TestMissingProgramIsUnknown(t *testing.T) {
	require.Equal(t, unknown, digestOf(filepath.Join(t.TempDir(), "none")))
}
