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

// answerTo is the right answer to a query over two shards.
func answerTo(q apiv1.Query) apiv1.Answer {
	a := apiv1.Answer{Service: q.Service, Snapshot: shard.Snapshot{Map: 1, Index: 1}, Shards: 2, Answered: 2, First: 2, Extra: 1}
	for s := range a.Shards {
		a.Parts = append(a.Parts, apiv1.Part{Shard: s, Payload: emul.Payload(q.Service, a.Snapshot, s, q.Payload)})
	}
	return a
}

// withAnswers runs ten queries against a host that answers by the given function.
func withAnswers(t *testing.T, reply func(http.ResponseWriter, apiv1.Query)) load.Report {
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
	return loadFrom(t, addressOf(server).String())
}

func loadFrom(t *testing.T, host string) (r load.Report) {
	t.Helper()
	code, out, problems := runIt("load", "--host", host, "dispatch", "--rate", "1000", "--count", "10", "--check", "standin", "--json", "--quiet")
	require.Equal(t, ExitOK, code, problems)
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, 10, r.Answered+r.Refused+r.Lost)
	return r
}

func sendSummed(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set(apiv1.SumHeader, strconv.FormatUint(xxhash.Sum64(body), 16))
	w.WriteHeader(status)
	w.Write(body)
}

func TestLoadTellsRightAnswersFromWrongOnes(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(*apiv1.Answer)
		wrong int
	}{
		{name: "right", spoil: func(*apiv1.Answer) {}},
		{name: "missing and said so", spoil: func(a *apiv1.Answer) {
			a.Answered, a.Parts, a.Missing = 1, a.Parts[:1], []apiv1.Missing{{Shard: 1}}
		}},
		{name: "another query's payload", spoil: func(a *apiv1.Answer) { a.Parts[1].Payload = []byte("x") }, wrong: 10},
		{name: "another service", spoil: func(a *apiv1.Answer) { a.Service = "barges" }, wrong: 10},
		{name: "a shard twice", spoil: func(a *apiv1.Answer) { a.Parts[1] = a.Parts[0] }, wrong: 10},
		{name: "a false label", spoil: func(a *apiv1.Answer) { a.Parts = a.Parts[:1] }, wrong: 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := withAnswers(t, func(w http.ResponseWriter, q apiv1.Query) {
				a := answerTo(q)
				c.spoil(&a)
				sendSummed(w, http.StatusOK, a)
			})
			require.Equal(t, 10, r.Answered)
			require.Equal(t, c.wrong, r.Wrong)
			require.Equal(t, load.Load{Extra: 0.5, Shard: 1.5}, r.Load)
		})
	}
}

func TestLoadCountsRefusalsByKindAndLostAnswers(t *testing.T) {
	r := withAnswers(t, func(w http.ResponseWriter, _ apiv1.Query) {
		sendSummed(w, http.StatusTooManyRequests, apiv1.Failure{Kind: fault.Overload.String(), NotRun: true})
	})
	require.Equal(t, map[string]int{"overload": 10}, r.Refusals)

	r = withAnswers(t, func(w http.ResponseWriter, q apiv1.Query) {
		w.Header().Set(apiv1.SumHeader, "0")
		json.NewEncoder(w).Encode(answerTo(q))
	})
	require.Equal(t, 10, r.Lost, "a checksum that doesn't match")

	r = withAnswers(t, func(http.ResponseWriter, apiv1.Query) { panic(http.ErrAbortHandler) })
	require.Equal(t, 10, r.Lost, "a reset before the answer")

	gone := httptest.NewServer(http.NotFoundHandler())
	address := addressOf(gone).String()
	gone.Close()
	require.Equal(t, map[string]int{unreachable: 10}, loadFrom(t, address).Refusals)
}

func TestLoadComparesWithASavedRun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q apiv1.Query
		if json.NewDecoder(r.Body).Decode(&q) == nil {
			sendSummed(w, http.StatusOK, answerTo(q))
		}
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "run.json")
	args := []string{"load", "--host", addressOf(server).String(), "dispatch", "--rate", "1000", "--count", "5"}
	code, out, progress := runIt(append(args, "--name", "before", "--save", file)...)
	require.Equal(t, ExitOK, code)
	require.Regexp(t, `answered +5`, out)
	require.Contains(t, progress, "5 of 5 sent")
	_, out, _ = runIt(append(args, "--name", "after", "--compare", file, "--quiet")...)
	require.Regexp(t, `run +before +after +ratio`, out)
	require.Regexp(t, `answered +5 +5 +1\.000`, out)
	code, _, problems := runIt(append(args, "--rate", "0")...)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, problems, "rate 0")
}
