// Package keeper decides which host is the keeper of each target and admits requests to the targets that this host keeps. Only the keeper of a target sends requests to it, so that the target's concurrency limit holds across all hosts. While a network partition leaves a target more than one keeper, each uses only its share of the limit.
package keeper
