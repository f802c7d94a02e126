// Package poison keeps track of requests that end every target that runs them, so that no further target is lost to their copies.
//
// A request becomes a suspect when targets end under it and none answers it. A suspect is tried at one target at a time. If that target ends too, the request is quarantined: all hosts refuse its copies for a time, after which it is tried once more. An answer of any target clears it.
package poison
