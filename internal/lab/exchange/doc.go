// Package exchange plays long uploads and answers on real nodes of the gateway, with clients and backends that reset, close and stall at random
// times. It checks that no node ends, that requests of well-behaved clients on kept connections are answered, and that a node holds no more at
// the end than it held at the start.
package exchange
