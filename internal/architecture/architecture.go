// Package architecture holds the tests of the whole repository: which package may import which, and which words are no
// longer used.
package architecture
