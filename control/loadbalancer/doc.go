// Package loadbalancer decides for one front door: which txns pass, which backend gets them, what is sent again, and which backends are
// ejected. How a Controller is called is told in package control; why it decides as it does, in docs/design.md.
package loadbalancer
