package vmlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/ident"
	"github.com/camphorlever/camphorlever/internal/standin/platform"
	"github.com/camphorlever/camphorlever/internal/vmlist"
)

func vmIDs(s vmlist.Snapshot) []ident.VMID {
	result := []ident.VMID{}
	for _, vm := range s.VMs {
		result = append(result, vm.ID)
	}
	return result
}

func TestListLagsBehindChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := vmlist.NewMemory(vmlist.VM{ID: "a", State: vmlist.Live})
		m.SetLag(10 * time.Second)
		started := time.Now()
		time.Sleep(time.Minute)
		m.Put(vmlist.VM{ID: "b", State: vmlist.Leaving})
		m.Delete("a")
		for _, c := range []struct {
			wait time.Duration
			want []ident.VMID
		}{
			{0, []ident.VMID{"a"}},
			{9999 * time.Millisecond, []ident.VMID{"a"}},
			{time.Millisecond, []ident.VMID{"b"}},
			{time.Hour, []ident.VMID{"b"}},
		} {
			time.Sleep(c.wait)
			s, err := m.VMs(t.Context())
			require.NoError(t, err)
			require.Equal(t, c.want, vmIDs(s))
			require.Equal(t, 10*time.Second, time.Since(s.AsOf))
		}
		require.True(t, time.Since(started) > time.Hour)
	})
}

// TestMemoryAndHTTPClientAgree runs the same cases against Memory directly
// and through HTTPClient.
func TestMemoryAndHTTPClientAgree(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(m *vmlist.Memory)
		want   []ident.VMID
		err    error
	}{
		{"empty", func(*vmlist.Memory) {}, []ident.VMID{}, nil},
		{"put twice", func(m *vmlist.Memory) {
			m.Put(vmlist.VM{ID: "b", State: vmlist.Live})
			m.Put(vmlist.VM{ID: "a", State: vmlist.Live})
			m.Put(vmlist.VM{ID: "b", State: vmlist.Leaving})
		}, []ident.VMID{"a", "b"}, nil},
		{"deleted", func(m *vmlist.Memory) { m.Put(vmlist.VM{ID: "a"}); m.Delete("a"); m.Delete("none") }, []ident.VMID{}, nil},
		{"down", func(m *vmlist.Memory) { m.Put(vmlist.VM{ID: "a"}); m.SetDown(true) }, nil, vmlist.ErrUnavailable},
		{"up again", func(m *vmlist.Memory) { m.Put(vmlist.VM{ID: "a"}); m.SetDown(true); m.SetDown(false) }, []ident.VMID{"a"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := platform.New(platform.Options{})
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			c.change(p.VMs)
			for _, list := range []vmlist.Lister{p.VMs, vmlist.NewHTTPClient(server.URL+"/", server.Client())} {
				s, err := list.VMs(t.Context())
				require.ErrorIs(t, err, c.err)
				if c.err == nil {
					require.Equal(t, c.want, vmIDs(s))
				}
				if vm, ok := s.Find("b"); ok {
					require.Equal(t, vmlist.Leaving, vm.State)
				}
			}
		})
	}
}

func TestMalformedReplyIsUnavailable(t *testing.T) {
	for name, body := range map[string]string{
		"cut off": `{"vms":[{"id":"a"}`,
		"no time": `{"vms":[]}`,
		"empty":   ``,
		"html":    `<html>`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			defer server.Close()
			_, err := vmlist.NewHTTPClient(server.URL, nil).VMs(t.Context())
			require.ErrorIs(t, err, vmlist.ErrUnavailable)
		})
	}
}

func TestCallerDeadlineEndsUnansweredCall(t *testing.T) {
	p, on := platform.New(platform.Options{}), true
	require.True(t, p.Apply(platform.Faults{Silent: &on}))
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := vmlist.NewHTTPClient(server.URL, nil).VMs(ctx)
	require.ErrorIs(t, err, vmlist.ErrUnavailable)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
