// Package e2e holds the tests that run instances and stand-ins as separate processes, stop them by signals, and check what
// callers, backend servers and the table service see.
package e2e
