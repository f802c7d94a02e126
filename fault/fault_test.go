package fault

import (
	"errors"
	"net/http"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

// mayHaveRunKinds holds the kinds of errors after which a part of the request may have run; all others are refusals before anything was sent.
var mayHaveRunKinds = map[Kind]bool{Internal: true, Coverage: true, Unknown: true, Failed: true}

func TestEveryKindIsDescribed(t *testing.T) {
	require.Len(t, descriptions, int(kindEnd)-1)
	names := map[string]Kind{}
	for _, k := range Kinds() {
		description, found := descriptions[k]
		require.True(t, found, "kind %d", k)
		require.Regexp(t, "^[a-z]+$", description.Name)
		require.NotContains(t, names, description.Name)
		names[description.Name] = k
		require.NotEmpty(t, http.StatusText(description.Status), description.Name)
		require.GreaterOrEqual(t, description.Status, http.StatusBadRequest)
		require.NotEmpty(t, description.Text)
	}
}

func TestNotRunOnlyWhereNothingCanHaveRun(t *testing.T) {
	for _, k := range Kinds() {
		require.Equal(t, !mayHaveRunKinds[k], Describe(k).NotRun, k.String())
		require.Equal(t, !mayHaveRunKinds[k], New(k, "x").NotRun(), k.String())
		ran := New(k, "x")
		ran.Ran = true
		require.False(t, ran.NotRun(), "%s with a part that may have run", k)
	}
	require.False(t, Of(errors.New("without a kind")).NotRun())
	require.False(t, Describe(kindEnd).NotRun, "a kind that isn't in the list")
}

func TestRetryTimeOnlyWhereARetryCanSucceed(t *testing.T) {
	for _, k := range Kinds() {
		description := Describe(k)
		switch description.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout:
			require.Positive(t, description.Retry, description.Name)
		case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusForbidden, http.StatusConflict:
			require.Zero(t, description.Retry, description.Name)
		}
		require.Equal(t, description.Retry, New(k, "x").RetryAfter())
		require.Equal(t, 2*description.Retry+1, New(k, "x").WithRetry(2*description.Retry+1).RetryAfter())
	}
	require.Zero(t, Describe(Unknown).Retry, "an order with an unknown outcome must not be retried")
}

func TestKindSurvivesWrapping(t *testing.T) {
	err := eris.Wrap(New(Overload, "full"), "ask")
	require.True(t, Is(err, Overload))
	require.False(t, Is(nil, Overload))
	require.Equal(t, Internal, Of(errors.New("x")).Kind)
}
