package side

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/engine"
	"github.com/camphorlever/camphorlever/internal/gate"
	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/pipetest"
	standin "github.com/camphorlever/camphorlever/internal/standin/engine"
	"github.com/camphorlever/camphorlever/internal/wire"
)

func TestMonitorReportsUnreachableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipetest.New()
		server := &http.Server{Handler: standin.New(standin.Options{Models: []string{"m"}, Slots: 3}).Handler()}
		go server.Serve(network)
		defer server.Close()
		client := &http.Client{Transport: network.Transport()}
		mode := func(mode string) {
			response, err := client.Post("http://engine/faults", "application/json", strings.NewReader(`{"mode":"`+mode+`"}`))
			require.NoError(t, err)
			response.Body.Close()
		}
		m := NewMonitor(engine.New(engine.Config{URL: "http://engine", Logger: zerolog.Nop(), Transport: network.Transport()}),
			gate.New(gate.Config{Logger: zerolog.Nop()}), "s", zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { m.Run(ctx); close(done) }()
		defer func() { cancel(); <-done }()
		for _, step := range []struct {
			mode        string
			unreachable bool
		}{{"up", false}, {"silent", true}, {"up", false}, {"down", true}, {"up", false}} {
			mode(step.mode)
			time.Sleep(engine.DefaultCallTimeout + unreachableAfter)
			load := m.Load(wire.CacheMark{})
			require.Equal(t, step.unreachable, load.Unreachable, step.mode)
			require.Equal(t, []ident.ModelID{"m"}, load.Models)
			require.Equal(t, 3, load.Slots)
		}
	})
}
