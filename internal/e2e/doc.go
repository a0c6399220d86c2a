// Package e2e holds the end-to-end tests. They run instances and stand-ins as separate processes, pause and stop them with
// signals, and check what callers, backend servers and the table service observe.
package e2e
