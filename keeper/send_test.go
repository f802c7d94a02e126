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
		{name: "may have left", err: &target.SendError{Sent: true, Err: errors.New("reset")}, kind: fault.Unknown},
		{name: "no send error", err: errors.New("other"), kind: fault.Unknown},
		{name: "never left", err: &target.SendError{Err: errors.New("dial")}, kind: fault.NoReplica, notRun: true},
		{name: "paused", err: &target.SendError{Err: fault.New(fault.Paused, "")}, kind: fault.Paused, notRun: true},
		{name: "not begun", err: &target.SendError{Err: target.ErrStartDeadlinePassed}, kind: fault.TooLate, notRun: true},
		{name: "shed", err: refused(target.ReasonShed), kind: fault.Overload, notRun: true},
		{name: "leaving", err: refused(target.ReasonLeaving), kind: fault.NoReplica, notRun: true},
		{name: "expired", err: refused(target.ReasonExpired), kind: fault.TooLate, notRun: true},
		{name: "malformed", err: refused(target.ReasonBad), kind: fault.Invalid, notRun: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := orderFault("t", c.err)
			require.Equal(t, c.kind.String(), f.Kind.String())
			require.Equal(t, c.notRun, f.NotRun())
		})
	}
}
