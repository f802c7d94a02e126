// Package coord forwards the requests of hosts with low traffic to a few coordinators of their region. Coordinators see more requests, so their latency estimates of targets are better and their connections stay warm.
package coord
