// Package checkpoint names the steps between which a process may be held up, so that tests can hold it up there.
package checkpoint
