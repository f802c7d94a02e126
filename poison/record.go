package poison

import (
	"errors"
	"fmt"
	"time"

	"kingcupcross/roster"
)

const (
	// maxCrashes is the number of crashes that are kept for one request.
	maxCrashes = 16
	// maxRefuted is the number of targets that are remembered as refuted for one request.
	maxRefuted = 4 * maxCrashes
	// maxRecords is the number of requests about which records are kept.
	maxRecords = 512
	// maxRemaining bounds the rest of a quarantine in a message. Those of hosts of earlier versions last up to two hours.
	maxRemaining = 2 * time.Hour
	// maxQuarantines bounds the count of a request's quarantines in a message.
	maxQuarantines = 1 << 16
)

// Crash is the end of a target under a request.
type Crash struct {
	Target roster.Process
	// Trial is set if the request was tried at this target alone and no other target ended then.
	Trial bool
	// Tried is set if the request was being tried as a suspect, whatever else ended then. Hosts of earlier versions don't set it.
	Tried bool
	// Age is the time since the end.
	Age time.Duration
}

// Record is what a host knows about one request, in the form in which hosts exchange it.
type Record struct {
	Digest  Digest
	Crashes []Crash
	// Quarantines is the number of times that the request was quarantined, QuarantineAge the time since the latest one, and Remaining the rest of it.
	Quarantines   int
	QuarantineAge time.Duration
	Remaining     time.Duration
	// Cleared is set if a target has answered the request, ClearedAge is the time since.
	Cleared    bool
	ClearedAge time.Duration
	// Claim is the number with which the sending host, or one of which it has heard, claims the trial of the request, zero if none does. ClaimAge is the time since.
	Claim    uint32
	ClaimAge time.Duration
}

// Validate reports the first invalid field.
func (r *Record) Validate() error {
	switch {
	case len(r.Crashes) > maxCrashes:
		return fmt.Errorf("record %s has %d crashes, at most %d are kept", r.Digest, len(r.Crashes), maxCrashes)
	case r.Quarantines < 0 || r.Quarantines > maxQuarantines:
		return fmt.Errorf("record %s has %d quarantines, not 0 to %d", r.Digest, r.Quarantines, maxQuarantines)
	case r.QuarantineAge < 0 || r.ClearedAge < 0 || r.ClaimAge < 0:
		return fmt.Errorf("record %s has ages %s, %s and %s, none may be negative", r.Digest, r.QuarantineAge, r.ClearedAge, r.ClaimAge)
	case r.Remaining < 0 || r.Remaining > maxRemaining:
		return fmt.Errorf("record %s is quarantined for %s, not 0 to %s", r.Digest, r.Remaining, maxRemaining)
	}
	for _, c := range r.Crashes {
		if c.Target.ID == "" || c.Age < 0 {
			return fmt.Errorf("record %s has a crash of target %q of age %s", r.Digest, c.Target.ID, c.Age)
		}
	}
	return nil
}

// Records is a message with records. Decoding doesn't check it.
type Records struct {
	Records []Record
	// Complete is set if the sending host has run long enough, or has asked such a host since its start, to know what the others know.
	Complete bool
}

// Validate reports the first invalid record.
func (m *Records) Validate() error {
	if len(m.Records) > maxRecords {
		return fmt.Errorf("message has %d records, at most %d are kept", len(m.Records), maxRecords)
	}
	for i := range m.Records {
		if err := m.Records[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Reachability is what a host finds when it connects to a target.
type Reachability uint8

// Results of connecting to a target.
const (
	// Unknown means that the host doesn't know the target, or that connecting took too long.
	Unknown Reachability = iota
	// Reached means that the target has accepted the connection.
	Reached
	// Refused means that the target's machine has refused the connection, or that another process has the target's place.
	Refused
)

// CheckRequest names the targets to which another host is to connect.
type CheckRequest struct {
	Targets []roster.Process
}

// MaxChecked is the number of targets that may be checked at once.
const MaxChecked = 8

// Validate reports an invalid number of targets.
func (r *CheckRequest) Validate() error {
	if len(r.Targets) == 0 || len(r.Targets) > MaxChecked {
		return fmt.Errorf("request names %d targets to check, not 1 to %d", len(r.Targets), MaxChecked)
	}
	return nil
}

// CheckReply holds the results in the order of the request's targets.
type CheckReply struct {
	Results []Reachability
}

// Validate reports whether there are results for n targets.
func (r *CheckReply) Validate(n int) error {
	if len(r.Results) != n {
		return errors.New("reply doesn't have a result for each target")
	}
	return nil
}
