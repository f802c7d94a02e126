// Command standin runs an emulated platform or an emulated target as a process, and in-process trials of query policies.
package main
