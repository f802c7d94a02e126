package cmds

import (
	"errors"

	"kingcupcross/conf"
	"kingcupcross/fault"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
	ExitConflict = 4
	ExitUnknown  = 5
	ExitRefused  = 6
)

func exitOf(err error) int {
	var file *conf.Error
	if errors.As(err, &file) {
		return ExitSettings
	}
	var f *fault.Error
	if !errors.As(err, &f) {
		return ExitFailed
	}
	switch f.Kind {
	case fault.Invalid:
		return ExitSettings
	case fault.Conflict:
		return ExitConflict
	case fault.Unknown:
		return ExitUnknown
	default:
		return ExitRefused
	}
}
