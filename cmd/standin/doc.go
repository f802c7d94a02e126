// Command standin runs emulated parts of the platform and emulated targets, each as a process of its own.
package main
