// Package upstream sends attempts to servers: it keeps the connections, opens new ones, writes requests and reads answers.
package upstream
