// Package quota meters customers over many gateways: the hashed owner's bucket, snapshots of it at the others, and the datagrams
// between them. Both programs use it.
package quota
