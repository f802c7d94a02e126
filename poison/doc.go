// Package poison identifies requests that end every target that runs them, so that no further target is lost to their copies.
package poison
