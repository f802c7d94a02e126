// Package build identifies the build of the running program, so that logs and commands show which code ran.
package build
