// Package conf reads and checks settings files in JSON with comments, and reports each error with its line and key.
package conf
