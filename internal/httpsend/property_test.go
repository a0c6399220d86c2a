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

// Guards against a request that is reported as not sent, or sent once, and yet reaches the server, or reaches it twice,
// whatever the moment at which its context ends or the server drops the connection.
func TestNotSentNeverArrives(t *testing.T) {
	const requests, senders = 2000, 8
	var mu sync.Mutex
	arrived := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		mu.Lock()
		arrived[key]++
		mu.Unlock()
		if len(key)%3 == 0 && key[len(key)-1] < '3' {
			panic(http.ErrAbortHandler)
		}
	}))
	sender := New(Options{MaxConnsPerHost: 3})
	notSent := make([]bool, requests)
	var running sync.WaitGroup
	for worker := range senders {
		running.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for i := worker; i < requests; i += senders {
				timeout := time.Duration(random.IntN(600)) * time.Microsecond
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				request := post(t, ctx, server.URL, nil)
				request.Header.Set("Idempotency-Key", strconv.Itoa(i))
				response, err := sender.Do(request)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				} else {
					notSent[i] = !sentOf(t, err)
				}
				cancel()
			}
		})
	}
	running.Wait()
	server.Close()
	unsent := 0
	for i, not := range notSent {
		count := arrived[strconv.Itoa(i)]
		if not {
			unsent++
		}
		if count > 1 || (not && count > 0) {
			t.Errorf("request %d: not sent %t, arrived %d times", i, not, count)
		}
	}
	t.Logf("%d of %d not sent, %d arrived", unsent, requests, len(arrived))
}
