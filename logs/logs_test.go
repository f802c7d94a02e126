package logs

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"
)

func TestLevelsFollowChanges(t *testing.T) {
	l, err := New("h1", map[string]string{"keeper": "debug"})
	require.NoError(t, err)
	keeper, query := l.For("keeper"), l.For("query")
	require.True(t, keeper.Core().Enabled(zapcore.DebugLevel))
	require.False(t, query.Core().Enabled(zapcore.DebugLevel))

	require.NoError(t, l.Set(map[string]string{All: "error"}))
	require.True(t, keeper.Core().Enabled(zapcore.DebugLevel), "a level set for the subsystem itself stays")
	require.False(t, query.Core().Enabled(zapcore.WarnLevel))
	require.NoError(t, l.Set(map[string]string{"query": "debug"}))
	require.True(t, query.Core().Enabled(zapcore.DebugLevel))

	before := l.Levels()
	require.Error(t, l.Set(map[string]string{"query": "error", "barn": "info"}))
	require.Error(t, l.Set(map[string]string{"query": "loud"}))
	require.Equal(t, before, l.Levels(), "an invalid set changes nothing")
}
