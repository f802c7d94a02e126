package order

import (
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/wire"
)

func FuzzParse(f *testing.F) {
	f.Add(Format(wire.Ticket{Host: wire.HostID{Name: "h1", Incarnation: 7}, Datacentre: "odense", Sequence: 9}))
	f.Add("")
	f.Add("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Add("GO3ireWVJT4AAAAAAAAAAQ8hYXJodXM")
	f.Fuzz(func(t *testing.T, s string) {
		ticket, err := Parse(s)
		if err != nil {
			return
		}
		require.Equal(t, s, Format(ticket), "a ticket has one text form only")
	})
}
