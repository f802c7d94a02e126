package order

import (
	"encoding/base64"
	"encoding/binary"

	"kingcupcross/fault"
	"kingcupcross/wire"
)

// The binary form of a ticket: incarnation (8 bytes), sequence (8 bytes), length of the host's name (1 byte), the name, the data centre.
const (
	ticketHeaderSize = 17
	maxNameLength    = 255
)

// FormatTicket encodes a ticket as the text that callers receive.
func FormatTicket(t wire.Ticket) string {
	name := t.Host.Name[:min(len(t.Host.Name), maxNameLength)]
	b := binary.BigEndian.AppendUint64(nil, t.Host.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Sequence)
	b = append(b, byte(len(name)))
	b = append(b, name...)
	return base64.RawURLEncoding.EncodeToString(append(b, t.Datacentre...))
}

// ParseTicket decodes the text of a ticket; a malformed one gives fault.Invalid.
func ParseTicket(s string) (wire.Ticket, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil || len(b) < ticketHeaderSize {
		return wire.Ticket{}, fault.New(fault.Invalid, "%q is no ticket", s)
	}
	nameLength := int(b[ticketHeaderSize-1])
	if nameLength == 0 || len(b) < ticketHeaderSize+nameLength {
		return wire.Ticket{}, fault.New(fault.Invalid, "%q is no ticket", s)
	}
	return wire.Ticket{
		Host: wire.HostID{
			Name:        string(b[ticketHeaderSize : ticketHeaderSize+nameLength]),
			Incarnation: binary.BigEndian.Uint64(b),
		},
		Datacentre: string(b[ticketHeaderSize+nameLength:]),
		Sequence:   binary.BigEndian.Uint64(b[8:]),
	}, nil
}
