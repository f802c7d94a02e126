// Package pool is an HTTP/1.1 client with a connection pool. Each connection carries one request at a time, and the pool never retries a request.
package pool
