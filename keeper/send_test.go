package keeper

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupcross/fault"
	"kingcupcross/target"
)

func TestOrderFaultSaysNotRunOnlyWhereCertain(t *testing.T) {
	refused := func(r target.Reason) error { return &target.SendError{Err: &target.Refusal{Reason: r}} }
	cases := []struct {
		name   string
		err    error
		kind   fault.Kind
		notRun bool
	}{
		{name: "may have been sent", err: &target.SendError{Sent: true, Err: errors.New("reset")}, kind: fault.Unknown},
		{name: "error of another type", err: errors.New("other"), kind: fault.Unknown},
		{name: "not sent", err: &target.SendError{Err: errors.New("dial")}, kind: fault.NoReplica, notRun: true},
		{name: "host was paused", err: &target.SendError{Err: fault.New(fault.Paused, "")}, kind: fault.Paused, notRun: true},
		{name: "start deadline passed", err: &target.SendError{Err: target.ErrStartDeadlinePassed}, kind: fault.TooLate, notRun: true},
		{name: "refused by an overloaded target", err: refused(target.ReasonShed), kind: fault.Overload, notRun: true},
		{name: "refused by a leaving target", err: refused(target.ReasonLeaving), kind: fault.NoReplica, notRun: true},
		{name: "refused as expired", err: refused(target.ReasonExpired), kind: fault.TooLate, notRun: true},
		{name: "refused as malformed", err: refused(target.ReasonBad), kind: fault.Invalid, notRun: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := orderFault("t", c.err)
			require.Equal(t, c.kind.String(), f.Kind.String())
			require.Equal(t, c.notRun, f.NotRun())
		})
	}
}
