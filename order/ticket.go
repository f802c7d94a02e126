package order

import (
	"encoding/base64"
	"encoding/binary"

	"kingcupcross/fault"
	"kingcupcross/wire"
)

// A ticket's bytes: incarnation, sequence, length of the host's name, name, data centre.
const (
	ticketHead = 17
	maxName    = 255
)

// Format writes a ticket as callers get it.
func Format(t wire.Ticket) string {
	name := t.Host.Name[:min(len(t.Host.Name), maxName)]
	b := binary.BigEndian.AppendUint64(nil, t.Host.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	b = append(b, byte(len(name)))
	b = append(b, name...)
	return base64.RawURLEncoding.EncodeToString(append(b, t.Datacentre...))
}

// Parse reads a ticket; it fails with fault.Invalid.
func Parse(s string) (wire.Ticket, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil || len(b) < ticketHead {
		return wire.Ticket{}, fault.New(fault.Invalid, "%q is no ticket", s)
	}
	size := int(b[ticketHead-1])
	if size == 0 || len(b) < ticketHead+size {
		return wire.Ticket{}, fault.New(fault.Invalid, "%q is no ticket", s)
	}
	return wire.Ticket{
		Host: wire.HostID{
			Name:        string(b[ticketHead : ticketHead+size]),
			Incarnation: binary.BigEndian.Uint64(b),
		},
		Datacentre: string(b[ticketHead+size:]),
		Sequence:   binary.BigEndian.Uint64(b[8:]),
	}, nil
}
