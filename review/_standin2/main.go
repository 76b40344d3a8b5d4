package main

import (
	"fmt"
	"os"
	"time"
)

// cases returns whether the rule was broken.
var cases = map[string]func(*world) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		cannotRun("usage: standin2 CASE RECORD")
	}
	file, err := os.Create(os.Args[2])
	check(err)
	dir, err := os.MkdirTemp("", "review")
	check(err)
	rec := &record{out: file, began: time.Now()}
	w := newWorld(rec, dir, os.Getenv("TROUBLE") != "0")
	broken := cases[os.Args[1]](w)
	w.close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs of the routers:", dir)
	} else {
		check(os.RemoveAll(dir))
	}
	if broken {
		rec.printf("the rule was broken")
		os.Exit(1)
	}
	rec.printf("the rule held")
}
