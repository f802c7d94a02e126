package order

import (
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/wire"
)

// FuzzParse checks that a text that parses as a ticket is exactly the text that the ticket is formatted as.
func FuzzParse(f *testing.F) {
	f.Add(FormatTicket(wire.Ticket{Host: wire.HostID{Name: "h1", Incarnation: 7}, Datacentre: "odense", Sequence: 9}))
	f.Add("")
	f.Add("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Add("GO3ireWVJT4AAAAAAAAAAQ8hYXJodXM")
	f.Fuzz(func(t *testing.T, s string) {
		ticket, err := ParseTicket(s)
		if err != nil {
			return
		}
		require.Equal(t, s, FormatTicket(ticket), "a ticket must have exactly one text form")
	})
}
