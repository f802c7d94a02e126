package cmds

import (
	"errors"

	"kingcupcross/conf"
	"kingcupcross/fault"
)

// Exit codes of the commands, explained by exitCodeTexts.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitInvalid  = 3
	ExitConflict = 4
	ExitUnknown  = 5
	ExitRefused  = 6
	ExitPending  = 7
)

// exitCodeTexts explains each exit code, indexed by the code.
var exitCodeTexts = []string{
	ExitOK:       "done",
	ExitFailed:   "failed for a reason outside the table of refusals, such as a file that can't be read or a host that gives no answer",
	ExitUsage:    "the command line is wrong",
	ExitInvalid:  "the checks found something wrong with the settings or the request; nothing was changed",
	ExitConflict: "another operator's change came first; nothing was changed",
	ExitUnknown:  "it is not known whether the order ran or the change took effect",
	ExitRefused:  "the host or the platform refused; the message says whether nothing ran and when to come back",
	ExitPending:  "the change isn't in force everywhere yet, or no change has the id that was asked for",
}

// exitCode returns the exit code for a command's error.
func exitCode(err error) int {
	var invalid *conf.Error
	var pending *PendingError
	var notFound *ChangeNotFoundError
	switch {
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &pending), errors.As(err, &notFound):
		return ExitPending
	}
	var f *fault.Error
	if !errors.As(err, &f) {
		return ExitFailed
	}
	switch f.Kind {
	case fault.Invalid:
		return ExitInvalid
	case fault.Conflict:
		return ExitConflict
	case fault.Unknown:
		return ExitUnknown
	default:
		return ExitRefused
	}
}
