// Package handover connects the predecessor and the successor of an upgrade over a Unix socket in a directory that both
// processes share. The predecessor sends its listening socket to the successor, so that no connection that waits in the
// accept queue is lost when a process ends. The successor reports when it starts to serve and when it will stop. As
// long as their connection is open both processes are alive, and they share the limits of a single process.
package handover
