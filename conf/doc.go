// Package conf reads settings files in JSON with comments and names the place of each error.
package conf
