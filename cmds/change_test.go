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

// operators speak to an emulated platform through the command line.
type operators struct {
	t        *testing.T
	store    *emul.Store
	platform string
	// dropping makes the store go down right after the next write, whose reply is lost.
	dropping atomic.Bool
}

// front passes calls on to the store.
func (o *operators) front(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && o.dropping.CompareAndSwap(true, false) {
			h.ServeHTTP(httptest.NewRecorder(), r)
			o.store.SetFaults(emul.StoreFaults{Down: true})
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// withOperators starts an emulated platform with the first settings in it.
func withOperators(t *testing.T, f func(*operators)) {
	t.Helper()
	s := emul.NewStore(timer.New())
	hosts := store.Hosts{Hosts: []store.Host{{Name: "a1", Datacentre: "aarhus"}, {Name: "o1", Datacentre: "odense"}}}
	mux := http.NewServeMux()
	o := &operators{t: t, store: s}
	mux.Handle("/", o.front(s.Handler()))
	mux.HandleFunc("GET "+store.PathHosts, func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(hosts) })
	server := httptest.NewServer(mux)
	defer server.Close()
	o.platform = strings.TrimPrefix(server.URL, "http://")
	o.good("settings", "put", "../_fixtures/saltlade.jsonc")
	f(o)
}

// run runs one command with the platform's address and, for changes, a reason.
func (o *operators) run(args ...string) (code int, out, problems string) {
	args = append(args, "--platform", o.platform)
	switch args[1] {
	case "set", "put", "edit":
		args = append(args, "--author", "ida", "--reason", "test")
	}
	if args[0] == "drain" || args[0] == "undrain" {
		args = append(args, "--author", "ida", "--reason", "test")
	}
	return runIt(args...)
}

func (o *operators) good(args ...string) string {
	o.t.Helper()
	code, out, problems := o.run(args...)
	require.Equal(o.t, ExitOK, code, problems)
	return out
}

func TestRacingOperatorsDontOverwriteEachOther(t *testing.T) {
	withOperators(t, func(o *operators) {
		codes := make([]int, 2)
		problems := make([]string, 2)
		var group sync.WaitGroup
		for i, value := range []string{"0.01", "0.02"} {
			group.Go(func() {
				codes[i], _, problems[i] = o.run("settings", "set", "saltlade", "extra", value, "--if-change", "1")
			})
		}
		group.Wait()
		require.ElementsMatch(t, []int{ExitOK, ExitConflict}, codes)
		winner, lost, value := 0, 1, "0.01"
		if codes[1] == ExitOK {
			winner, lost, value = 1, 0, "0.02"
		}
		require.Empty(t, problems[winner])
		require.Contains(t, problems[lost], "nothing was changed: the settings have moved on since change 1")
		require.Contains(t, problems[lost], "saltlade extra: 0.05 -> "+value, "the diff of what the other operator changed")
		require.Regexp(t, `extra +`+value, o.good("settings", "get", "saltlade"))
		require.Equal(t, 2, strings.Count(o.good("settings", "history"), "(id "))
	})
}

func TestChangeForAnOlderTreeIsAConflict(t *testing.T) {
	withOperators(t, func(o *operators) {
		o.good("settings", "set", "saltlade", "coverage", "0.1")
		code, _, problems := o.run("settings", "set", "saltlade", "extra", "0.01", "--if-change", "1")
		require.Equal(t, ExitConflict, code)
		require.Contains(t, problems, "saltlade coverage: (inherited) -> 0.1")
		require.Contains(t, o.good("settings", "set", "saltlade", "extra", "0.01", "--if-change", "2"), "change 3 accepted")
	})
}

func TestLostReplyIsResolvedToTheTruth(t *testing.T) {
	withOperators(t, func(o *operators) {
		o.store.SetFaults(emul.StoreFaults{LoseReplies: 1})
		require.Contains(t, o.good("settings", "set", "saltlade", "extra", "0.01"), "change 2 accepted")
		history := o.good("settings", "history")
		require.Equal(t, 2, strings.Count(history, "(id "), "the change stands once")
		id := history[strings.LastIndex(history, "(id ")+4:]
		id = id[:strings.Index(id, ")")]
		require.Contains(t, o.good("settings", "history", "--id", id), "extra: 0.05 -> 0.01")
		code, _, _ := o.run("settings", "history", "--id", "NONE")
		require.Equal(t, ExitPending, code)
	})
}

func TestFateThatCannotBeFoundOutIsSaidToBeUnknown(t *testing.T) {
	withOperators(t, func(o *operators) {
		o.dropping.Store(true)
		code, _, problems := o.run("settings", "set", "saltlade", "extra", "0.01")
		require.Equal(t, ExitUnknown, code, problems)
		id := regexp.MustCompile(`id ([A-Z0-9]{26}) `).FindStringSubmatch(problems)
		require.Len(t, id, 2, problems)
		o.store.SetFaults(emul.StoreFaults{})
		require.Contains(t, o.good("settings", "history", "--id", id[1]), "extra: 0.05 -> 0.01", "the change had taken effect")
	})
}

func TestStoreDownChangesNothingAndSaysSo(t *testing.T) {
	withOperators(t, func(o *operators) {
		o.store.SetFaults(emul.StoreFaults{Down: true})
		code, _, problems := o.run("settings", "set", "saltlade", "extra", "0.01")
		require.Equal(t, ExitRefused, code, problems)
		o.store.SetFaults(emul.StoreFaults{})
		require.Equal(t, 1, strings.Count(o.good("settings", "history"), "(id "))
	})
}

func TestWrongChangesAreRefusedWithKeyAndFix(t *testing.T) {
	withOperators(t, func(o *operators) {
		for _, c := range []struct{ path, key, value, want string }{
			{path: "saltlade", key: "extr", value: "0.1", want: "unknown key"},
			{path: "saltlade", key: "extra", value: "0.9", want: "saltlade: extra = 0.9: out of bounds: use 0 to 0.5"},
			{path: "saltlade", key: "deadline", value: "800", want: "a number and a unit"},
			{path: "saltlade", key: "deadline", value: "null", want: "null is no value"},
			{path: "kormsu", key: "extra", value: "0.1", want: "one organisation"},
			{path: "saltlade/fyn/dispatch/barn", key: "extra", value: "0.1", want: "one organisation"},
			{path: "saltlade", key: "longest", value: "200ms", want: "longest (200ms)"},
		} {
			code, _, problems := o.run("settings", "set", c.path, c.key, c.value)
			require.Equal(t, ExitSettings, code, problems)
			require.Contains(t, problems, c.want)
		}
		require.Equal(t, 1, strings.Count(o.good("settings", "history"), "(id "))
	})
}

func TestEditAppendsWhatTheEditorLeaves(t *testing.T) {
	withOperators(t, func(o *operators) {
		editor := filepath.Join(t.TempDir(), "editor.sh")
		require.NoError(t, os.WriteFile(editor, []byte("#!/bin/sh\nsed -i 's/\"extra\": 0.05/\"extra\": 0.02/' \"$1\"\n"), 0o700))
		require.Contains(t, o.good("settings", "edit", "--editor", editor), "change 2 accepted")
		require.Contains(t, o.good("settings", "history"), "saltlade extra: 0.05 -> 0.02")
		require.Contains(t, o.good("settings", "edit", "--editor", "true"), "nothing to change")
	})
}

func TestEditConflictsWithAChangeMadeMeanwhile(t *testing.T) {
	withOperators(t, func(o *operators) {
		dir := t.TempDir()
		editor, gate := filepath.Join(dir, "editor.sh"), filepath.Join(dir, "gate")
		script := "#!/bin/sh\ntouch " + gate + "\nwhile [ -e " + gate + " ]; do sleep 0.01; done\nsed -i 's/\"extra\": 0.05/\"extra\": 0.02/' \"$1\"\n"
		require.NoError(t, os.WriteFile(editor, []byte(script), 0o700))
		done := make(chan string)
		go func() {
			_, _, problems := o.run("settings", "edit", "--editor", editor)
			done <- problems
		}()
		for _, err := os.Stat(gate); err != nil; _, err = os.Stat(gate) {
			runtime.Gosched()
		}
		o.good("settings", "set", "saltlade", "coverage", "0.1")
		require.NoError(t, os.Remove(gate))
		require.Contains(t, <-done, "nothing was changed")
	})
}

func TestEditWithAFaultInTheFileChangesNothing(t *testing.T) {
	withOperators(t, func(o *operators) {
		editor := filepath.Join(t.TempDir(), "editor.sh")
		require.NoError(t, os.WriteFile(editor, []byte("#!/bin/sh\nsed -i 's/\"extra\": 0.05/\"extra\": 5/' \"$1\"\n"), 0o700))
		code, _, problems := o.run("settings", "edit", "--editor", editor)
		require.Equal(t, ExitSettings, code)
		require.Contains(t, problems, "out of bounds")
		require.Equal(t, 1, strings.Count(o.good("settings", "history"), "(id "))
	})
}

func TestHistoryIsReadFromItsEnd(t *testing.T) {
	withOperators(t, func(o *operators) {
		for i := range 40 {
			o.good("settings", "set", "saltlade", "coverage", fmt.Sprintf("0.%02d", i+1))
		}
		require.Equal(t, 3, strings.Count(o.good("settings", "history", "--last", "3"), "(id "))
		require.Equal(t, 41, strings.Count(o.good("settings", "history", "--last", "0"), "(id "))
		first := o.good("settings", "history", "--last", "0")
		id := first[strings.Index(first, "(id ")+4 : strings.Index(first, ")\n")]
		require.Contains(t, o.good("settings", "history", "--id", id), "saltlade extra: (inherited) -> 0.05")
		require.Contains(t, o.good("settings", "get", "saltlade"), "change 41")
		require.Contains(t, o.good("settings", "diff", "--from", "39"), "saltlade coverage: 0.38 -> 0.40")
	})
}

func TestDiffAndGet(t *testing.T) {
	withOperators(t, func(o *operators) {
		o.good("settings", "set", "saltlade", "coverage", "0.1")
		require.Contains(t, o.good("settings", "diff", "--from", "1"), "saltlade coverage: (inherited) -> 0.1")
		require.Contains(t, o.good("settings", "diff", "../_fixtures/saltlade.jsonc"), "saltlade coverage: 0.1 -> (inherited)")
		require.Contains(t, o.good("settings", "diff", "--from", "2"), "no difference")
		require.Regexp(t, `coverage +0.1 +saltlade\n`, o.good("settings", "get", "--why", "saltlade/fyn/gritting-08"))

		whole := filepath.Join(t.TempDir(), "whole.jsonc")
		require.NoError(t, os.WriteFile(whole, []byte(o.good("settings", "get")), 0o600))
		require.Contains(t, o.good("settings", "put", whole), "nothing to change", "what get writes is what put reads")
	})
}

func TestDrainIsAChangeOfEveryListThatCounts(t *testing.T) {
	withOperators(t, func(o *operators) {
		o.good("settings", "set", "saltlade/fyn", "out", "[]")
		require.Contains(t, o.good("drain", "odense"), "change 3 accepted")
		require.Contains(t, o.good("drain", "odense"), "nothing to change")
		require.Regexp(t, `out +\["odense"\]`, o.good("settings", "get", "saltlade/fyn"))
		require.Regexp(t, `out +\["odense"\]`, o.good("settings", "get", "saltlade/jylland"))

		code, _, problems := o.run("drain", "odens")
		require.Equal(t, ExitSettings, code)
		require.Contains(t, problems, "aarhus, odense")
		code, _, problems = o.run("drain", "aarhus")
		require.Equal(t, ExitSettings, code)
		require.Contains(t, problems, "last data centre")

		require.Contains(t, o.good("undrain", "odense"), "change 4 accepted")
		require.Regexp(t, `out +\[\]`, o.good("settings", "get", "saltlade/fyn"))
		require.Regexp(t, `out +\[\]`, o.good("settings", "get", "saltlade"))
	})
}
