//go:build review

// Command standin-2 plays the cases of the second review. It starts the host program of the
// deploy file in separate processes, beside stand-ins for clients, servers and the platform, and
// writes what these see. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 it leaves the disruption out.
//
//	target/standin-2 CASE RECORD
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// testCase is one case of the review.
type testCase struct {
	// routes are those of the configuration.
	routes []route
	// run plays the case, without its disruption unless trouble is set, and reports whether the
	// rule was broken.
	run func(r *rig, trouble bool) (broken bool, err error)
}

// cases are the cases by name.
var cases = map[string]testCase{
	"memory":   {[]route{{Prefix: "/ask/", Kind: "stream", Service: modelService, Public: true}}, playMemory},
	"parts":    {[]route{{Prefix: "/ask/", Kind: "stream", Service: modelService}}, playParts},
	"status":   {[]route{{Prefix: "/accounts/", Kind: "unsafe", Service: plainService}}, playStatus},
	"killed":   {[]route{{Prefix: "/ask/", Kind: "stream", Service: modelService}}, playKilled},
	"slashes":  {[]route{{Prefix: "/", Kind: "unsafe", Service: plainService}}, playSlashes},
	"upgrade":  {[]route{{Prefix: "/ask/", Kind: "stream", Service: modelService}}, playUpgrade},
	"channels": {[]route{{Prefix: "/lookup/", Kind: "safe", Service: plainService}}, playChannels},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	r, err := newRig(record, configuration(c.routes))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption %v", name, trouble)
	broken, err := c.run(r, trouble)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
