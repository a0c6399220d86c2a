package httpsend

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Guards against a request that reaches the server although it was reported as not sent, and against a request that reaches it
// twice, for contexts that end and connections that the server drops at arbitrary moments.
func TestNotSentNeverArrives(t *testing.T) {
	const requests, workers = 2000, 8
	var mu sync.Mutex
	arrivals := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		mu.Lock()
		arrivals[key]++
		mu.Unlock()
		if len(key)%3 == 0 && key[len(key)-1] < '3' {
			panic(http.ErrAbortHandler)
		}
	}))
	sender := New(Options{MaxConnsPerHost: 3})
	notSent := make([]bool, requests)
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for i := worker; i < requests; i += workers {
				timeout := time.Duration(random.IntN(600)) * time.Microsecond
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				request := post(t, ctx, server.URL, nil)
				request.Header.Set("Idempotency-Key", strconv.Itoa(i))
				response, err := sender.Do(request)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				} else {
					notSent[i] = !maybeSent(t, err)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	server.Close()
	unsent := 0
	for i, wasNotSent := range notSent {
		count := arrivals[strconv.Itoa(i)]
		if wasNotSent {
			unsent++
		}
		if count > 1 || (wasNotSent && count > 0) {
			t.Errorf("request %d: not sent %t, arrived %d times", i, wasNotSent, count)
		}
	}
	t.Logf("%d of %d not sent, %d arrived", unsent, requests, len(arrivals))
}
