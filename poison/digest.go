package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the size of a Digest. Its collisions can't be found on purpose, so nobody can have the request of another caller refused.
const digestBytes = 16

// Digest identifies requests of the same content, whatever their ids, hosts and connections.
type Digest [digestBytes]byte

// DigestOf returns the digest of a request. The credentials tell callers apart whose requests are otherwise equal.
func DigestOf(method, host, uri, credentials string, body []byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{method, host, uri, credentials, string(body)} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		// Writing to a hash never fails.
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	return Digest(h.Sum(nil)[:digestBytes])
}

// String returns the digest in hexadecimal digits.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}
