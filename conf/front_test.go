package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validFront = `{
	"name": "h", "region": "r", "datacentre": "d", "datacentres": {"d": "r"},
	"callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "requests": "10.0.0.1:3", "views": "10.0.0.1:4",
	// the platform's store
	"store": "10.0.0.2:1",
}`

func loadFront(t *testing.T, text string) (*Front, error) {
	name := filepath.Join(t.TempDir(), "front.jsonc")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return LoadFront(name)
}

func TestFrontHasDefaults(t *testing.T) {
	f, err := loadFront(t, validFront)
	require.NoError(t, err)
	require.Equal(t, 3*time.Second, f.Apply.D())
	require.Equal(t, 9190, f.Metrics)
}

// TestFrontFindings makes one setting at a time invalid and checks that the error names the file and says what is wrong.
func TestFrontFindings(t *testing.T) {
	for edit, want := range map[[2]string]string{
		{`"name": "h"`, `"name": ""`}:                      "name must be given",
		{`{"d": "r"}`, `{"d": "other"}`}:                   "d must stand here with region r",
		{`"store": "10.0.0.2:1"`, `"store": "0.0.0.0:1"`}:  "nobody can reach",
		{`"store": "10.0.0.2:1"`, `"store": 7`}:            "wrong type",
		{`"ready": "10.0.0.1:2"`, `"ready": "10.0.0.1:1"`}: "the same as callers",
		{`"name": "h"`, `"name": "h", "extra": 2`}:         "out of bounds: use 0 to 1",
		{`"name": "h"`, `"name": "h", "grace": "1h"`}:      "out of bounds: use 1s to 10m",
		{`"name": "h"`, `"name": "h", "odd": 1`}:           "unknown key",
	} {
		_, err := loadFront(t, strings.Replace(validFront, edit[0], edit[1], 1))
		require.ErrorContains(t, err, want)
		require.ErrorContains(t, err, "front.jsonc:")
	}
}

// TestChangeDeadlineIsTheShortestBound guards against a host that polls the store only as often as Apply requires although Leave or Out are shorter.
func TestChangeDeadlineIsTheShortestBound(t *testing.T) {
	for settings, want := range map[string]time.Duration{
		`"apply": "9s"`: 3 * time.Second,
		`"apply": "2s"`: 2 * time.Second,
		`"apply": "9s", "leave": "8s", "out": "7s"`:   7 * time.Second,
		`"apply": "9s", "leave": "1500ms"`:            1500 * time.Millisecond,
		`"apply": "20s", "leave": "20s", "out": "1s"`: time.Second,
	} {
		f, err := loadFront(t, strings.Replace(validFront, `"name": "h"`, `"name": "h", `+settings, 1))
		require.NoError(t, err)
		require.Equal(t, want, f.ChangeDeadline(), settings)
	}
}
