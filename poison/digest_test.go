package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDigestTellsContentsApart guards against requests being taken for copies of each other, which would have a proper one refused.
func TestDigestTellsContentsApart(t *testing.T) {
	seen := map[Digest]int{}
	for i, d := range []Digest{
		DigestOf("GET", "h", "/a", "", nil),
		DigestOf("POST", "h", "/a", "", nil),
		DigestOf("GET", "g", "/a", "", nil),
		DigestOf("GET", "h", "/a?b", "", nil),
		DigestOf("GET", "h", "/a", "caller", nil),
		DigestOf("GET", "h", "/a", "", []byte("caller")),
		DigestOf("GET", "h", "/ac", "aller", nil),
	} {
		require.NotContains(t, seen, d)
		seen[d] = i
	}
	require.Equal(t, DigestOf("GET", "h", "/a", "", nil), DigestOf("GET", "h", "/a", "", []byte{}))
}
