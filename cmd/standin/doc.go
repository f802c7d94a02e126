// Command standin runs an emulated platform or an emulated target as a process, writes their settings files, and runs trials of query policies in its own process.
package main
