//go:build review

// Command standin plays one case of the review: it starts the system's hosts as processes
// beside stand-ins of the platform, the replicas and the requesters, all on the loopback
// interface, and checks one rule.
//
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(g *rig, trouble bool) (broken bool, err error){
	"upgrade":   upgrade,
	"poison":    poison,
	"copy-key":  copyKey,
	"error-end": errorEnd,
	"resend":    resend,
	"ids":       ids,
	"silence":   silence,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was seen")
	trouble := flag.Bool("trouble", true, "play the disruption")
	logs := flag.String("logs", "", "folder that takes the logs of the hosts; empty means none")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return 2
	}
	g, err := newRig()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	watchdog := time.AfterFunc(115*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		g.close()
		os.Exit(2)
	})
	defer watchdog.Stop()
	broken, err := play(g, *trouble)
	exits := g.exits()
	for _, x := range exits {
		g.note("%s", x)
	}
	if *logs != "" {
		for _, h := range g.hosts {
			b, _ := os.ReadFile(h.log)
			_ = os.WriteFile(*logs+"/"+h.name+".log", b, 0o644)
		}
	}
	g.close()
	if err != nil {
		g.note("could not run: %v", err)
		broken = false
	}
	if werr := g.rec.write(*record); err == nil {
		err = werr
	}
	if n := len(g.rec.lines); n > 0 {
		fmt.Println(g.rec.lines[n-1])
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		return 1
	}
	return 0
}
