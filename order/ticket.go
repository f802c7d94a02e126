package order

import (
	"encoding/base64"
	"encoding/binary"

	"kingcupcross/fault"
	"kingcupcross/wire"
)

// Format writes a ticket as callers get it.
func Format(t wire.Ticket) string {
	b := binary.BigEndian.AppendUint64(nil, t.Host.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	return base64.RawURLEncoding.EncodeToString(append(b, t.Host.Name...))
}

const ticketHead = 16

// Parse reads a ticket; it fails with fault.Invalid.
func Parse(s string) (wire.Ticket, error) {
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(b) <= ticketHead {
		return wire.Ticket{}, fault.New(fault.Invalid, "%q is no ticket", s)
	}
	return wire.Ticket{
		Host: wire.HostID{
			Name:        string(b[ticketHead:]),
			Incarnation: binary.BigEndian.Uint64(b),
		},
		Sequence: binary.BigEndian.Uint64(b[8:]),
	}, nil
}
