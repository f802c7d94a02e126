package cmds

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"kingcupcross/apiv1"
	"kingcupcross/emul"
	"kingcupcross/fault"
	"kingcupcross/load"
	"kingcupcross/shard"
)

// correctAnswer returns the correct answer of a service with two shards to a query.
func correctAnswer(q apiv1.Query) apiv1.Answer {
	a := apiv1.Answer{Service: q.Service, Snapshot: shard.Snapshot{Map: 1, Index: 1}, Shards: 2, Answered: 2, First: 2, Extra: 1}
	for s := range a.Shards {
		a.Parts = append(a.Parts, apiv1.Part{Shard: s, Payload: emul.PartPayload(q.Service, a.Snapshot, s, q.Payload)})
	}
	return a
}

// runLoadAgainst runs a load test of ten queries against a host that answers with reply.
func runLoadAgainst(t *testing.T, reply func(http.ResponseWriter, apiv1.Query)) load.Report {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q apiv1.Query
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply(w, q)
	}))
	defer server.Close()
	return runLoad(t, serverAddress(server).String())
}

// runLoad runs a load test of ten queries against a host and returns its report.
func runLoad(t *testing.T, host string) (r load.Report) {
	t.Helper()
	code, out, stderr := runCommand("load", "--host", host, "dispatch", "--rate", "1000", "--count", "10", "--check", "standin", "--json", "--quiet")
	require.Equal(t, ExitOK, code, stderr)
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, 10, r.Answered+r.Refused+r.Lost)
	return r
}

// writeWithChecksum writes v as JSON with the checksum header.
func writeWithChecksum(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set(apiv1.ChecksumHeader, strconv.FormatUint(xxhash.Sum64(body), 16))
	w.WriteHeader(status)
	w.Write(body)
}

func TestLoadDetectsWrongAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		corrupt func(*apiv1.Answer)
		wrong   int
	}{
		{name: "right", corrupt: func(*apiv1.Answer) {}},
		{name: "missing shard reported", corrupt: func(a *apiv1.Answer) {
			a.Answered, a.Parts, a.Missing = 1, a.Parts[:1], []apiv1.MissingShard{{Shard: 1}}
		}},
		{name: "another query's payload", corrupt: func(a *apiv1.Answer) { a.Parts[1].Payload = []byte("x") }, wrong: 10},
		{name: "another service", corrupt: func(a *apiv1.Answer) { a.Service = "barges" }, wrong: 10},
		{name: "duplicate shard", corrupt: func(a *apiv1.Answer) { a.Parts[1] = a.Parts[0] }, wrong: 10},
		{name: "wrong count", corrupt: func(a *apiv1.Answer) { a.Parts = a.Parts[:1] }, wrong: 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := runLoadAgainst(t, func(w http.ResponseWriter, q apiv1.Query) {
				a := correctAnswer(q)
				c.corrupt(&a)
				writeWithChecksum(w, http.StatusOK, a)
			})
			require.Equal(t, 10, r.Answered)
			require.Equal(t, c.wrong, r.Wrong)
			require.Equal(t, load.Load{Extra: 0.5, Shard: 1.5}, r.Load)
		})
	}
}

func TestLoadCountsRefusalsByKindAndLostAnswers(t *testing.T) {
	r := runLoadAgainst(t, func(w http.ResponseWriter, _ apiv1.Query) {
		writeWithChecksum(w, http.StatusTooManyRequests, apiv1.Failure{Kind: fault.Overload.String(), NotRun: true})
	})
	require.Equal(t, map[string]int{"overload": 10}, r.Refusals)

	r = runLoadAgainst(t, func(w http.ResponseWriter, q apiv1.Query) {
		w.Header().Set(apiv1.ChecksumHeader, "0")
		json.NewEncoder(w).Encode(correctAnswer(q))
	})
	require.Equal(t, 10, r.Lost, "checksum mismatch")

	r = runLoadAgainst(t, func(http.ResponseWriter, apiv1.Query) { panic(http.ErrAbortHandler) })
	require.Equal(t, 10, r.Lost, "connection reset before the answer")

	closed := httptest.NewServer(http.NotFoundHandler())
	address := serverAddress(closed).String()
	closed.Close()
	require.Equal(t, map[string]int{refusalUnreachable: 10}, runLoad(t, address).Refusals)
}

func TestLoadComparesWithASavedRun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q apiv1.Query
		if json.NewDecoder(r.Body).Decode(&q) == nil {
			writeWithChecksum(w, http.StatusOK, correctAnswer(q))
		}
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "run.json")
	args := []string{"load", "--host", serverAddress(server).String(), "dispatch", "--rate", "1000", "--count", "5"}
	code, out, progress := runCommand(append(args, "--name", "before", "--save", file)...)
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `answered +5`, out)
	require.Contains(t, progress, "5 of 5 sent")
	_, out, _ = runCommand(append(args, "--name", "after", "--compare", file, "--quiet")...)
	require.Regexp(t, `run +before +after +ratio`, out)
	require.Regexp(t, `answered +5 +5 +1\.000`, out)
	code, _, stderr := runCommand(append(args, "--rate", "0")...)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "rate 0")
}
