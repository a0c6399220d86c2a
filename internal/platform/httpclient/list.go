package httpclient

import (
	"context"
	"encoding/json"
	"math"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// instanceList reads the platform's instance list and caches the last copy with its entity tag. With 410 instances and 1,100
// backend servers the list has about 220 KB and changes about once a minute; without the tag each poll would transfer all
// of it.
type instanceList struct {
	client       *Client
	invalidEntry func(entry []byte, err error)

	mu      *lockorder.Mutex
	etag    string
	entries []api.InstanceEntry
}

func newInstanceList(client *Client, invalidEntry func(entry []byte, err error)) *instanceList {
	if invalidEntry == nil {
		invalidEntry = func([]byte, error) {}
	}
	return &instanceList{client: client, invalidEntry: invalidEntry, mu: lockorder.New(lockorder.RankPlatformClient)}
}

// List implements platform.Instances. Callers must not modify the entries, which are shared. Error: ErrUnavailable.
func (l *instanceList) List(ctx context.Context) ([]api.InstanceEntry, error) {
	etag, entries := l.cached()
	call := call{operation: "list instances", method: http.MethodGet, path: instancesPath, ifNoneMatch: etag}
	reply, err := l.client.do(ctx, call)
	if err != nil {
		return nil, err
	}
	switch reply.status {
	case http.StatusNotModified:
		return entries, nil
	case http.StatusOK:
	default:
		return nil, call.statusError(reply.status)
	}
	var list struct {
		Entries []json.RawMessage `json:"entries"`
	}
	if err := call.decode(reply, &list); err != nil {
		return nil, err
	}
	entries = l.decodeEntries(list.Entries)
	l.setCached(reply.etag, entries)
	return entries, nil
}

// decodeEntries decodes each entry by itself, so that an entry of another writer does not stop the list from being followed.
func (l *instanceList) decodeEntries(encoded []json.RawMessage) []api.InstanceEntry {
	entries := make([]api.InstanceEntry, 0, len(encoded))
	for _, text := range encoded {
		entry, err := decodeEntry(text)
		if err != nil {
			l.invalidEntry(text, err)
			continue
		}
		entries = append(entries, entry)
	}
	return entries
}

func decodeEntry(text []byte) (api.InstanceEntry, error) {
	var entry api.InstanceEntry
	if err := json.Unmarshal(text, &entry); err != nil {
		return entry, errors.Wrap(err, "decode instance entry")
	}
	if entry.Id == "" || entry.Port <= 0 || entry.Port > math.MaxUint16 {
		return entry, errors.Errorf("decode instance entry %q: id is missing or port %d is out of range", entry.Id, entry.Port)
	}
	return entry, nil
}

func (l *instanceList) cached() (string, []api.InstanceEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.entries
}

func (l *instanceList) setCached(etag string, entries []api.InstanceEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.entries = etag, entries
}
