// Package handover lets the older and the newer process of an upgrade meet at a Unix socket in the directory that they share. The
// older one gives the other its listening socket, so that what waits there is never lost with a process; the newer one
// says when it serves. While their connection lasts, both are alive and share what one of them may use.
package handover
