package main

import (
	"fmt"
	"os"
)

// cases are the cases by number. Each reports whether the rule held.
var cases = map[string]func(r *record, trouble bool) bool{}

const (
	held, broken, notRun = 0, 1, 2
)

func main() { os.Exit(run()) }

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: cases-2 NUMBER RECORD")
		return notRun
	}
	r, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer func() {
		if why := recover(); why != nil {
			r.printf("could not run: %v", why)
			fmt.Println("could not run:", why)
			code = notRun
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble %v", os.Args[1], trouble)
	if !cases[os.Args[1]](r, trouble) {
		r.printf("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return held
}
