// Package discovery calls and watches the list services. When to call is decided by package balance.
package discovery
