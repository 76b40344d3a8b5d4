package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/camphorlever/camphorlever/internal/prefix"
)

// client dials anew for each call: on a connection used before, the transport
// itself repeats a call that has an Idempotency-Key and got no answer.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

type bench struct {
	t   *testing.T
	e   *Engine
	url string
}

func newBench(t *testing.T, options Options) bench {
	options.Models = []string{"plots"}
	e := New(options)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return bench{t: t, e: e, url: server.URL}
}

func (b bench) call(method, path, id string, body any) (int, string, error) {
	raw, err := json.Marshal(body)
	require.NoError(b.t, err)
	ctx, cancel := context.WithTimeout(b.t.Context(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, b.url+path, bytes.NewReader(raw))
	require.NoError(b.t, err)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Idempotency-Key", id)
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(response.Body)
	return response.StatusCode, string(reply), err
}

func (b bench) faults(document string) {
	status, _, err := b.call(http.MethodPost, "/faults", "", json.RawMessage(document))
	require.NoError(b.t, err)
	require.Equal(b.t, http.StatusOK, status)
}

func ask(content string, stream bool) chatRequest {
	return chatRequest{Model: "plots", Messages: []Message{{Role: "user", Content: content}}, MaxTokens: 100, Stream: stream}
}

// contentOf puts the content of the chunks of one stream together.
func contentOf(t *testing.T, body, id string) (text string, u *usage, done bool) {
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok || data == "[DONE]" {
			done = done || ok
			continue
		}
		var c chunk
		require.NoError(t, json.Unmarshal([]byte(data), &c))
		if c.ID != id {
			continue
		}
		text += c.Choices[0].Delta.Content
		u = c.Usage
	}
	return text, u, done
}

func TestAnswersUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name, faults string
		status       int
		whole        bool
	}{
		{"none", `{}`, 200, true},
		{"slow and late", `{"mode":"slow","slow_ms":1,"late_ms":3}`, 200, true},
		{"crossed", `{"cross_answers":true}`, 200, true},
		{"down", `{"mode":"down"}`, 503, false},
		{"fails half way", `{"fail_ratio":1}`, 200, false},
		{"breaks", `{"mode":"lose_replies"}`, 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, Options{})
			b.faults(c.faults)
			request := ask("Where lies Ada Hollister?", true)
			status, body, _ := b.call(http.MethodPost, "/v1/chat/completions", "r1", request)
			require.Equal(t, c.status, status)
			text, u, done := contentOf(t, body, "r1")
			require.Equal(t, c.whole, done)
			if !c.whole {
				return
			}
			want := Answer("plots", "", request.Messages, 100)
			require.Equal(t, strings.Join(want, ""), text)
			require.Equal(t, usageOf(CountTokens(request.Messages), len(want)), u)
		})
	}
}

func TestWholeAnswerIsBoundedByMaxTokens(t *testing.T) {
	b := newBench(t, Options{})
	request := ask("[tokens=50]", false)
	request.MaxTokens = 3
	status, body, err := b.call(http.MethodPost, "/v1/chat/completions", "r1", request)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	var answer completion
	require.NoError(t, json.Unmarshal([]byte(body), &answer))
	require.Equal(t, strings.Join(Answer("plots", "", request.Messages, 3), ""), answer.Choices[0].Message.Content)
	require.Equal(t, int64(3), answer.Usage.Completion)
}

func TestBrokenStreamIsResumedAndCancelled(t *testing.T) {
	b := newBench(t, Options{})
	b.faults(`{"mode":"lose_replies"}`)
	_, _, err := b.call(http.MethodPost, "/v1/chat/completions", "r1", ask("x", true))
	require.Error(t, err)
	b.faults(`{"mode":"up"}`)
	_, all, err := b.call(http.MethodGet, "/streams/r1?from=0", "", nil)
	require.NoError(t, err)
	_, rest, err := b.call(http.MethodGet, "/streams/r1?from=2", "", nil)
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(all, rest))
	require.True(t, strings.HasPrefix(rest, "id: 2\n"))
	require.Equal(t, map[string]int{"r1": 1}, b.e.runs)

	b.faults(`{"mode":"freeze"}`)
	s := b.e.start("r2", ask("y", true))
	b.e.faults.apply(Faults{Mode: new(ModeUp), TokenMS: new(3600_000)})
	status, _, err := b.call(http.MethodPost, "/streams/r2/cancel", "", nil)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	<-s.done
	require.False(t, s.whole())
	status, _, _ = b.call(http.MethodGet, "/streams/r3?from=0", "", nil)
	require.Equal(t, 404, status)
}

func TestSlotsHonourPriorities(t *testing.T) {
	s := newSlots(1)
	require.True(t, s.acquire(t.Context(), 9))
	low, high, gone := s.enqueue(7), s.enqueue(1), s.enqueue(0)
	require.False(t, s.abandon(gone))
	running, queued := s.counts()
	require.Equal(t, [2]int{1, 2}, [2]int{running, queued})
	s.release()
	<-high.admitted
	select {
	case <-low.admitted:
		t.Fatal("two runs in one slot")
	default:
	}
	s.release()
	<-low.admitted
}

func TestOldFencesAreRefusedOnlyWhenChecked(t *testing.T) {
	for _, checked := range []bool{false, true} {
		b := newBench(t, Options{CheckFences: checked})
		for _, c := range []struct {
			fence   uint64
			model   string
			refused bool
		}{{5, "a", false}, {4, "b", checked}, {5, "c", false}} {
			status, body, err := b.call(http.MethodPost, "/orders", "", Order{Kind: "load_model", Model: c.model, Fence: c.fence})
			require.NoError(t, err)
			if c.refused {
				require.Equal(t, http.StatusConflict, status)
				require.JSONEq(t, `{"newest":5}`, body)
				continue
			}
			require.Equal(t, 200, status)
		}
		require.Equal(t, !checked, b.e.orders.holds("b", ""))
		require.True(t, b.e.orders.holds("c", ""))
	}
}

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	f := newFaults(Options{})
	c := newCache(3, f)
	blocks := prefix.BlockHashes(bytes.Repeat([]byte("section B row 7 "), 80)) // 5 blocks
	require.Zero(t, c.use(blocks[:2]))
	require.Equal(t, 2, c.use(blocks[:3]))
	require.Empty(t, c.after(0, time.Hour).Events)
	page := c.after(1, 0)
	require.Equal(t, []uint64{2, 3}, []uint64{page.Events[0].Seq, page.Events[1].Seq})
	require.Equal(t, uint64(4), page.Next)
	f.apply(Faults{CacheGapRatio: new(0.5)})
	c.use(blocks[3:]) // two stored, two removed, every second told
	page = c.after(3, 0)
	require.Len(t, page.Events, 2)
	require.Equal(t, uint64(8), page.Next)
}

func TestServiceCountsRunsByKey(t *testing.T) {
	b := newBench(t, Options{Service: true})
	status, body, err := b.call(http.MethodPost, "/orders/print", "k1", nil)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.JSONEq(t, `{"ok":true,"path":"/orders/print","n":1}`, body)
	b.faults(`{"mode":"lose_replies"}`)
	_, _, err = b.call(http.MethodPost, "/orders/print", "k2", nil)
	require.Error(t, err)
	b.faults(`{"mode":"down"}`)
	status, _, err = b.call(http.MethodPost, "/orders/print", "k3", nil)
	require.NoError(t, err)
	require.Equal(t, 503, status)
	_, body, err = b.call(http.MethodGet, "/stats", "", nil)
	require.NoError(t, err)
	require.JSONEq(t, `{"runs":{"k1":1,"k2":1}}`, body)
	require.Equal(t, fmt.Sprint(map[string]int{"k1": 1, "k2": 1}), fmt.Sprint(b.e.desk.counts()))
}
