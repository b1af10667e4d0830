// Package clientserver serves the application: it reads requests, hands them to the event loop and writes the one answer of each.
package clientserver
