// Command standin2 plays the cases of the second review: each is a subcommand, which starts the sidecar and the stand-ins
// around it, writes record.txt and judges the rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*record){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		end(2)
	}()
	r := newRecord(os.Args[2])
	cases[os.Args[1]](r)
	end(0)
}
