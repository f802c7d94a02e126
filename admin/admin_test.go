package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"kingcupcross/apiv1"
	"kingcupcross/board"
	"kingcupcross/fault"
	"kingcupcross/logs"
	"kingcupcross/meter"
	"kingcupcross/query"
	"kingcupcross/timer"
	"kingcupcross/wire"
)

// withAdmin serves the operator interface of a host without a keeper and gives f a function that sends requests to it.
func withAdmin(t *testing.T, f func(send func(method, path, body string) (int, string), l *logs.Logs)) {
	t.Helper()
	clock, _ := timer.NewManualClock(time.Unix(1000, 0))
	l, err := logs.New("a1", nil)
	require.NoError(t, err)
	m := meter.New()
	defer m.Close()
	b := board.New(clock, wire.Member{HostID: wire.HostID{Name: "a1"}, Datacentre: "aarhus"})
	explain := func(service string) (*query.Explanation, error) {
		if service != "dispatch" {
			return nil, fault.New(fault.NoService, "no shard map of %q", service)
		}
		return &query.Explanation{Routes: []query.Route{{Shard: 3}}}, nil
	}
	server := httptest.NewServer(New(b, nil, m, l, explain).Handler())
	defer server.Close()
	f(func(method, path, body string) (int, string) {
		req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := server.Client().Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(text)
	}, l)
}

func TestLogLevelsAreChangedAtomically(t *testing.T) {
	withAdmin(t, func(send func(method, path, body string) (int, string), l *logs.Logs) {
		keeper := l.For("keeper")
		code, body := send(http.MethodPut, apiv1.PathLogs, `{"levels": {"keeper": "debug"}}`)
		require.Equal(t, http.StatusOK, code)
		require.Contains(t, body, `"keeper":"debug"`)
		require.True(t, keeper.Core().Enabled(zapcore.DebugLevel))
		for _, invalid := range []string{`{"levels": {"keeper": "error", "barn": "info"}}`, `{"levels": {"keeper": "loud"}}`, `[`} {
			code, body = send(http.MethodPut, apiv1.PathLogs, invalid)
			require.Equal(t, http.StatusBadRequest, code, body)
		}
		_, body = send(http.MethodGet, apiv1.PathLogs, "")
		require.Contains(t, body, `"keeper":"debug"`)
	})
}

func TestExplainReturnsRefusals(t *testing.T) {
	withAdmin(t, func(send func(method, path, body string) (int, string), _ *logs.Logs) {
		code, body := send(http.MethodGet, apiv1.PathExplain+"?service=dispatch", "")
		require.Equal(t, http.StatusOK, code)
		require.Contains(t, body, `"service":"dispatch","host":"a1"`)
		require.Contains(t, body, `"shards":[{"shard":3`)
		code, body = send(http.MethodGet, apiv1.PathExplain+"?service=barns", "")
		require.Equal(t, http.StatusNotFound, code)
		require.Contains(t, body, `"kind":"noservice","notrun":true`)
	})
}

func TestMetricsAreServedAsText(t *testing.T) {
	withAdmin(t, func(send func(method, path, body string) (int, string), _ *logs.Logs) {
		code, body := send(http.MethodGet, apiv1.PathMetrics, "")
		require.Equal(t, http.StatusOK, code)
		require.Contains(t, body, "# TYPE go_goroutines gauge")
	})
}
