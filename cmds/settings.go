package cmds

import (
	"context"
	"net/netip"
	"os"
	"os/user"
	"time"

	"kingcupcross/spread"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/tree"
)

// SettingsCmd groups the commands for the settings tree.
type SettingsCmd struct {
	Check   CheckCmd   `cmd:"" help:"Check a settings file; nothing needs to run."`
	Get     GetCmd     `cmd:"" help:"Show the settings at a level, with inheritance worked out, or the whole tree as a file."`
	Set     SetCmd     `cmd:"" help:"Set one key at one level, or remove it there."`
	Put     PutCmd     `cmd:"" help:"Make the tree equal to a file, as one change."`
	Edit    EditCmd    `cmd:"" help:"Edit the tree in $$EDITOR and make the result one change."`
	Diff    DiffCmd    `cmd:"" help:"Show how a file differs from the tree, or one change from another."`
	History HistoryCmd `cmd:"" help:"Show the audit trail of changes."`
	Wait    WaitCmd    `cmd:"" help:"Wait until a change is in force, host by host."`
}

// Operator holds the flags shared by all commands that read or change the settings in the platform's store.
type Operator struct {
	Platform netip.AddrPort `required:"" env:"KINGCUPCROSS_PLATFORM" help:"Address of the platform's store."`
	JSON     bool           `help:"Print JSON."`
}

// newWriter returns a writer for the settings in the platform's store.
func (o *Operator) newWriter() *spread.Writer {
	clock := timer.New()
	return spread.NewWriter(clock, store.New(clock, o.Platform))
}

// Signed holds the flags shared by all commands that make a change: author and reason for the audit trail, and the change expected to be the newest.
type Signed struct {
	Author string `help:"Who makes the change; the user's name by default."`
	Reason string `required:"" help:"Why the change is made."`
	// IfChange is a pointer because 0 is a valid value: it means that no change has been made yet.
	IfChange *uint64 `help:"Make the change only if this one is the newest, as shown by settings get or history."`
}

// proposal returns the change to append; the author defaults to the name of the current user.
func (s *Signed) proposal(ops []tree.Op) spread.Proposal {
	p := spread.Proposal{Author: s.Author, Reason: s.Reason, Ops: ops}
	if p.Author != "" {
		return p
	}
	p.Author = os.Getenv("USER")
	if u, err := user.Current(); err == nil {
		p.Author = u.Username
	}
	return p
}

// settingsTimeout bounds one command that reads or changes settings or queries hosts.
const settingsTimeout = 30 * time.Second

// withTimeout runs f with a context that ends after settingsTimeout.
func withTimeout(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), settingsTimeout)
	defer cancel()
	return f(ctx)
}
