package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

var cases = map[string]func(w *world, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	w, err := newWorld(r)
	if err != nil {
		r.note("%v", err)
		return unable
	}
	defer w.close()
	verdict, err := cases[name](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	r.note("verdict %d", verdict)
	if os.Getenv("KEEP_LOGS") != "" {
		for _, router := range w.routers {
			fmt.Println(w.routerLog(router))
		}
	}
	return verdict
}
