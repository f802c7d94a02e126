// Package poison keeps track of requests that end every target that runs them, so that no further target is lost to their copies.
//
// A request becomes a suspect when targets end under it and none answers it. A suspect is tried at one target at a time, some time after the ends. If that target ends too and no other one does, the request is quarantined: all hosts refuse its copies for a short time, after which it is tried once more. If that trial ends the same way, the refusal lasts longer and is final for callers. An answer of any target, at any time, clears it.
package poison
