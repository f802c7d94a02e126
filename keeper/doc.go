// Package keeper admits work to the targets that this host keeps and names the keeper of every other target.
package keeper
