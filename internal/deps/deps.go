//go:build deps

// Package deps pins modules until the packages that need them import them.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/rs/zerolog"
	_ "github.com/sourcegraph/conc"
	_ "github.com/stretchr/testify/require"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
