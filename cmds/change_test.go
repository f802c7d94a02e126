package cmds

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/emul"
	"kingcupcross/store"
	"kingcupcross/timer"
)

// platformEnv runs commands against an emulated platform.
type platformEnv struct {
	t        *testing.T
	store    *emul.Store
	platform string
	// dropNextWrite makes the store apply the next write, lose its reply and go down.
	dropNextWrite atomic.Bool
}

// interceptWrites passes requests on to the store and applies the fault dropNextWrite.
func (o *platformEnv) interceptWrites(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && o.dropNextWrite.CompareAndSwap(true, false) {
			h.ServeHTTP(httptest.NewRecorder(), r)
			o.store.SetFaults(emul.StoreFaults{Down: true})
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// withPlatform runs f with an emulated platform whose store holds the fixture's settings as change 1.
func withPlatform(t *testing.T, f func(*platformEnv)) {
	t.Helper()
	s := emul.NewStore(timer.New())
	hosts := store.Hosts{Hosts: []store.Host{{Name: "a1", Datacentre: "aarhus"}, {Name: "o1", Datacentre: "odense"}}}
	mux := http.NewServeMux()
	o := &platformEnv{t: t, store: s}
	mux.Handle("/", o.interceptWrites(s.Handler()))
	mux.HandleFunc("GET "+store.PathHosts, func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(hosts) })
	server := httptest.NewServer(mux)
	defer server.Close()
	o.platform = strings.TrimPrefix(server.URL, "http://")
	o.mustRun("settings", "put", "../_fixtures/saltlade.jsonc")
	f(o)
}

// run runs one command with the platform's address and, for changes, an author and a reason.
func (o *platformEnv) run(args ...string) (code int, stdout, stderr string) {
	args = append(args, "--platform", o.platform)
	switch args[1] {
	case "set", "put", "edit":
		args = append(args, "--author", "ida", "--reason", "test")
	}
	if args[0] == "drain" || args[0] == "undrain" {
		args = append(args, "--author", "ida", "--reason", "test")
	}
	return runCommand(args...)
}

// mustRun runs one command, requires that it succeeds and returns its standard output.
func (o *platformEnv) mustRun(args ...string) string {
	o.t.Helper()
	code, out, stderr := o.run(args...)
	require.Equal(o.t, ExitOK, code, stderr)
	return out
}

func TestConcurrentChangesConflict(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		codes := make([]int, 2)
		stderr := make([]string, 2)
		var group sync.WaitGroup
		for i, value := range []string{"0.01", "0.02"} {
			group.Go(func() {
				codes[i], _, stderr[i] = o.run("settings", "set", "saltlade", "extra", value, "--if-change", "1")
			})
		}
		group.Wait()
		require.ElementsMatch(t, []int{ExitOK, ExitConflict}, codes)
		winner, loser, value := 0, 1, "0.01"
		if codes[1] == ExitOK {
			winner, loser, value = 1, 0, "0.02"
		}
		require.Empty(t, stderr[winner])
		require.Contains(t, stderr[loser], "nothing was changed: the settings have been changed since change 1")
		require.Contains(t, stderr[loser], "saltlade extra: 0.05 -> "+value, "the other operator's change must be shown")
		require.Regexp(t, `extra +`+value, o.mustRun("settings", "get", "saltlade"))
		require.Equal(t, 2, strings.Count(o.mustRun("settings", "history"), "(id "))
	})
}

func TestIfChangeOlderThanNewestConflicts(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		o.mustRun("settings", "set", "saltlade", "coverage", "0.1")
		code, _, stderr := o.run("settings", "set", "saltlade", "extra", "0.01", "--if-change", "1")
		require.Equal(t, ExitConflict, code)
		require.Contains(t, stderr, "saltlade coverage: (inherited) -> 0.1")
		require.Contains(t, o.mustRun("settings", "set", "saltlade", "extra", "0.01", "--if-change", "2"), "change 3 accepted")
	})
}

func TestLostWriteReplyIsResolved(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		o.store.SetFaults(emul.StoreFaults{LoseReplies: 1})
		require.Contains(t, o.mustRun("settings", "set", "saltlade", "extra", "0.01"), "change 2 accepted")
		history := o.mustRun("settings", "history")
		require.Equal(t, 2, strings.Count(history, "(id "), "the change must be applied exactly once")
		id := history[strings.LastIndex(history, "(id ")+4:]
		id = id[:strings.Index(id, ")")]
		require.Contains(t, o.mustRun("settings", "history", "--id", id), "extra: 0.05 -> 0.01")
		code, _, _ := o.run("settings", "history", "--id", "NONE")
		require.Equal(t, ExitPending, code)
	})
}

func TestUnknownOutcomeOfChangeIsReported(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		o.dropNextWrite.Store(true)
		code, _, stderr := o.run("settings", "set", "saltlade", "extra", "0.01")
		require.Equal(t, ExitUnknown, code, stderr)
		id := regexp.MustCompile(`id ([A-Z0-9]{26}) `).FindStringSubmatch(stderr)
		require.Len(t, id, 2, stderr)
		o.store.SetFaults(emul.StoreFaults{})
		require.Contains(t, o.mustRun("settings", "history", "--id", id[1]), "extra: 0.05 -> 0.01", "the change took effect although its reply was lost")
	})
}

func TestChangeIsRefusedWhileStoreIsDown(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		o.store.SetFaults(emul.StoreFaults{Down: true})
		code, _, stderr := o.run("settings", "set", "saltlade", "extra", "0.01")
		require.Equal(t, ExitRefused, code, stderr)
		o.store.SetFaults(emul.StoreFaults{})
		require.Equal(t, 1, strings.Count(o.mustRun("settings", "history"), "(id "))
	})
}

func TestInvalidChangesAreRefused(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		for _, c := range []struct{ path, key, value, want string }{
			{path: "saltlade", key: "extr", value: "0.1", want: "unknown key"},
			{path: "saltlade", key: "extra", value: "0.9", want: "saltlade: extra = 0.9: out of bounds: use 0 to 0.5"},
			{path: "saltlade", key: "deadline", value: "800", want: "a number and a unit"},
			{path: "saltlade", key: "deadline", value: "null", want: "null is no value"},
			{path: "kormsu", key: "extra", value: "0.1", want: "one organisation"},
			{path: "saltlade/fyn/dispatch/barn", key: "extra", value: "0.1", want: "one organisation"},
			{path: "saltlade", key: "longest", value: "200ms", want: "longest (200ms)"},
		} {
			code, _, stderr := o.run("settings", "set", c.path, c.key, c.value)
			require.Equal(t, ExitInvalid, code, stderr)
			require.Contains(t, stderr, c.want)
		}
		require.Equal(t, 1, strings.Count(o.mustRun("settings", "history"), "(id "))
	})
}

func TestEditAppendsEditedTree(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		editor := filepath.Join(t.TempDir(), "editor.sh")
		require.NoError(t, os.WriteFile(editor, []byte("#!/bin/sh\nsed -i 's/\"extra\": 0.05/\"extra\": 0.02/' \"$1\"\n"), 0o700))
		require.Contains(t, o.mustRun("settings", "edit", "--editor", editor), "change 2 accepted")
		require.Contains(t, o.mustRun("settings", "history"), "saltlade extra: 0.05 -> 0.02")
		require.Contains(t, o.mustRun("settings", "edit", "--editor", "true"), "nothing to change")
	})
}

func TestEditConflictsWithConcurrentChange(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		dir := t.TempDir()
		// The editor creates the gate file and waits until it is removed.
		editor, gate := filepath.Join(dir, "editor.sh"), filepath.Join(dir, "gate")
		script := "#!/bin/sh\ntouch " + gate + "\nwhile [ -e " + gate + " ]; do sleep 0.01; done\nsed -i 's/\"extra\": 0.05/\"extra\": 0.02/' \"$1\"\n"
		require.NoError(t, os.WriteFile(editor, []byte(script), 0o700))
		done := make(chan string)
		go func() {
			_, _, stderr := o.run("settings", "edit", "--editor", editor)
			done <- stderr
		}()
		for _, err := os.Stat(gate); err != nil; _, err = os.Stat(gate) {
			runtime.Gosched()
		}
		o.mustRun("settings", "set", "saltlade", "coverage", "0.1")
		require.NoError(t, os.Remove(gate))
		require.Contains(t, <-done, "nothing was changed")
	})
}

func TestEditOfInvalidFileChangesNothing(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		editor := filepath.Join(t.TempDir(), "editor.sh")
		require.NoError(t, os.WriteFile(editor, []byte("#!/bin/sh\nsed -i 's/\"extra\": 0.05/\"extra\": 5/' \"$1\"\n"), 0o700))
		code, _, stderr := o.run("settings", "edit", "--editor", editor)
		require.Equal(t, ExitInvalid, code)
		require.Contains(t, stderr, "out of bounds")
		require.Equal(t, 1, strings.Count(o.mustRun("settings", "history"), "(id "))
	})
}

func TestHistoryShowsNewestChanges(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		for i := range 40 {
			o.mustRun("settings", "set", "saltlade", "coverage", fmt.Sprintf("0.%02d", i+1))
		}
		require.Equal(t, 3, strings.Count(o.mustRun("settings", "history", "--last", "3"), "(id "))
		require.Equal(t, 41, strings.Count(o.mustRun("settings", "history", "--last", "0"), "(id "))
		history := o.mustRun("settings", "history", "--last", "0")
		id := history[strings.Index(history, "(id ")+4 : strings.Index(history, ")\n")]
		require.Contains(t, o.mustRun("settings", "history", "--id", id), "saltlade extra: (inherited) -> 0.05")
		require.Contains(t, o.mustRun("settings", "get", "saltlade"), "change 41")
		require.Contains(t, o.mustRun("settings", "diff", "--from", "39"), "saltlade coverage: 0.38 -> 0.40")
	})
}

func TestDiffAndGet(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		o.mustRun("settings", "set", "saltlade", "coverage", "0.1")
		require.Contains(t, o.mustRun("settings", "diff", "--from", "1"), "saltlade coverage: (inherited) -> 0.1")
		require.Contains(t, o.mustRun("settings", "diff", "../_fixtures/saltlade.jsonc"), "saltlade coverage: 0.1 -> (inherited)")
		require.Contains(t, o.mustRun("settings", "diff", "--from", "2"), "no difference")
		require.Regexp(t, `coverage +0.1 +saltlade\n`, o.mustRun("settings", "get", "--why", "saltlade/fyn/gritting-08"))

		file := filepath.Join(t.TempDir(), "whole.jsonc")
		require.NoError(t, os.WriteFile(file, []byte(o.mustRun("settings", "get")), 0o600))
		require.Contains(t, o.mustRun("settings", "put", file), "nothing to change", "put must accept the output of get without a difference")
	})
}

func TestDrainChangesEveryOutList(t *testing.T) {
	withPlatform(t, func(o *platformEnv) {
		o.mustRun("settings", "set", "saltlade/fyn", "out", "[]")
		require.Contains(t, o.mustRun("drain", "odense"), "change 3 accepted")
		require.Contains(t, o.mustRun("drain", "odense"), "nothing to change")
		require.Regexp(t, `out +\["odense"\]`, o.mustRun("settings", "get", "saltlade/fyn"))
		require.Regexp(t, `out +\["odense"\]`, o.mustRun("settings", "get", "saltlade/jylland"))

		code, _, stderr := o.run("drain", "odens")
		require.Equal(t, ExitInvalid, code)
		require.Contains(t, stderr, "aarhus, odense")
		code, _, stderr = o.run("drain", "aarhus")
		require.Equal(t, ExitInvalid, code)
		require.Contains(t, stderr, "last data centre")

		require.Contains(t, o.mustRun("undrain", "odense"), "change 4 accepted")
		require.Regexp(t, `out +\[\]`, o.mustRun("settings", "get", "saltlade/fyn"))
		require.Regexp(t, `out +\[\]`, o.mustRun("settings", "get", "saltlade"))
	})
}
